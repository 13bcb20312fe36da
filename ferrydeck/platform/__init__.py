"""Adapter to the platform: its names, formats and API calls.

Converts the platform's messages to and from the project's types, so that the platform's
names are used in this package only. Stateless.
"""
