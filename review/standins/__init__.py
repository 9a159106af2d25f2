"""Stand-ins of clients, workers, store and platform for the cases of the review."""
