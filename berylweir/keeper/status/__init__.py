"""Read-only HTTP endpoint that reports the object versions in force."""
