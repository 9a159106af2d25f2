"""Stand-ins of the platform, the workers and the clients, for the scripts."""
