"""The prepared platform's words, translated to the router's own types.

Nothing outside this folder knows the platform's names, and nothing in it
decides.
"""
