"""Limits on the requests to a server that all VMs keep together."""
