"""HTTP listeners of the router and the forwarding of requests."""
