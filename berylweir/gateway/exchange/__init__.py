"""Processing of a caller's request, from its arrival to its answer."""
