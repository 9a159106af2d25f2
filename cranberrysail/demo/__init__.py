"""A small fleet with simulated services, on loopback."""
