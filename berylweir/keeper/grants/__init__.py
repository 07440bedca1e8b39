"""Grants that a home VM sends to its backend servers."""
