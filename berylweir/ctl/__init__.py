"""`berylweirctl`, the command line for operators."""
