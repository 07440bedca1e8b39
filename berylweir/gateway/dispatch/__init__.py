"""Load balancing over backend servers, with the limits on their use."""
