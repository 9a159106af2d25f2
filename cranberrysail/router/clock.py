"""A clock that also counts the time while the host stands still."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["now", "replaced"]


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_read: Callable[[], float] = _boot_time


def now() -> float:
    """Return seconds since the host's start, suspended time included."""
    return _read()


@contextmanager
def replaced(read: Callable[[], float]) -> Iterator[None]:
    """Read another clock for a while.

    Args:
      read: Returns the time in seconds.
    """
    global _read
    before, _read = _read, read
    try:
        yield
    finally:
        _read = before
