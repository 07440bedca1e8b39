"""Helpers for the transports of connections."""
