"""Messages between daemons and their codec."""
