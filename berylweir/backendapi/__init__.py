"""Protocol between routers and backend servers: grants, status, headers."""
