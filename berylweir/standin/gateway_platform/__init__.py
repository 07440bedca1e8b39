"""Small stand-ins of the users' platform: its store and its servers."""
