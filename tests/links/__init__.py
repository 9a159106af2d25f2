"""Tests of the connections to other routers, the log and the list of hosts."""
