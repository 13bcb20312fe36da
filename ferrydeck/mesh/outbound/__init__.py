"""Outbound proxy: sends requests of this box's callers to targets."""
