"""`ferrydeckd`: the daemon with signed bundles and at-most-once keys."""
