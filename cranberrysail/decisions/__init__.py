"""What a node decides, without clock, sockets or hidden randomness."""
