"""Routes: from a request to a server group."""
