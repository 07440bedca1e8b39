"""Metrics, structured logs and trace spans."""
