"""A small fleet with stand-ins, on loopback."""
