"""Adapter between the platform's formats and the router's own types.

Only this package knows the platform's names of headers, topics and fields. It makes
no routing decisions.
"""
