"""Sockets and HTTP on the circuits loop, shared by both daemons."""
