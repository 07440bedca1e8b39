"""Authentication by bearer token and permissions by role and team."""
