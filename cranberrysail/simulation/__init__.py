"""Discrete-event simulation of a router fleet, and replay of recorded traces."""
