"""Ownership of key ranges: lease, key tables, moves and grants."""
