"""Sans-I/O decision logic of a router; time and randomness are passed in."""
