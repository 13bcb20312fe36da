"""Detects requests that crash targets, and isolates or blocks them."""
