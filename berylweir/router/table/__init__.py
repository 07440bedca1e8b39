"""The routing table: finds the selector, slice, owner and home of a request."""
