"""Replays recorded traces through the decision code on virtual time."""
