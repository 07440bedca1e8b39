"""Passes requests on through other gateways that reach the servers."""
