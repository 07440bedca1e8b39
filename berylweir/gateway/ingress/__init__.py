"""HTTP server for callers, and for health checks and metrics."""
