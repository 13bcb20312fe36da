"""Replay of recorded traces through the core in virtual time."""
