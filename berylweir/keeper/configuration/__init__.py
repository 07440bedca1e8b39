"""Watches the platform and stores the newest version of each object."""
