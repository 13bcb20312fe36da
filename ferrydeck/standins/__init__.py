"""Stand-ins for the platform and for targets, used by the demo and the tests."""
