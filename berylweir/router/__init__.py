"""The router of an entry VM, which forwards callers' requests to servers."""
