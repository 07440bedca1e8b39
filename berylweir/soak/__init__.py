"""Soak test of the gateway programs, with seeded faults around them."""
