"""Stand-ins of what the gateway connects to: store, servers and callers."""
