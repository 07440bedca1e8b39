"""Records concurrent requests under faults and checks their consistency."""
