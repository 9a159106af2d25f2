"""HTTP interfaces for callers and operators, and forwarding of calls."""
