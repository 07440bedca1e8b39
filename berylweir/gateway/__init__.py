"""Router and keeper for an entry VM of the users' platform, in one process."""
