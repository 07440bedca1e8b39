"""Membership of entry VMs, from their heartbeats."""
