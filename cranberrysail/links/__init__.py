"""Clients of the platform's log and host list, peer messages and table edits."""
