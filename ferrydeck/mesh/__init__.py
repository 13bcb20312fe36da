"""Decisions of a daemon whose policy and members come from the platform's store."""
