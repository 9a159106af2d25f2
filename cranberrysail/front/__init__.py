"""The way in: listeners for callers and operators, and calls on their way."""
