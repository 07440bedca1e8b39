"""A request router for backend servers that each own their keys exclusively."""
