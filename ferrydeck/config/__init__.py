"""Declarative options and validation findings."""
