"""Links to the platform's log and list of hosts, to peers and for operators."""
