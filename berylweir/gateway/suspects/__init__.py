"""Finds requests that crash servers, together with the other gateways."""
