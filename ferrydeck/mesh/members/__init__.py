"""Other daemons and the store: links, failure detection, records, the policy."""
