"""The change log: who changed what, when and why."""
