"""The router: routing decisions, connections and process set-up."""
