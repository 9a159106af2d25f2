"""A clock that also counts the time while the host stands still."""

import time

__all__ = ["now"]


def now() -> float:
    """Return seconds since the host's start, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
