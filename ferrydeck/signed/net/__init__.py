"""Networking of `ferrydeckd`."""
