"""Stand-ins for the second review: platform store, workers, clients and routers."""
