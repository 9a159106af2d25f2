"""The router that serves callers: decisions, connections and wiring."""
