"""Keeper of an entry VM: partition leases, grants and configuration."""
