"""Calls to endpoints and their load reports."""
