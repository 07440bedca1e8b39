"""Tasks that follow the kinds of the store."""
