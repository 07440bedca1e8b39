"""Routing: from the host and path of a request to a server group."""
