"""Models of the router's objects, and a client of the platform's object API."""
