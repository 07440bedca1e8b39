"""The memory that a VM uses for the bodies of requests and responses."""
