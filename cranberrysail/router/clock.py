"""Monotonic clock that keeps counting while the host is suspended."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["now", "unix_time", "use_time_source"]


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_time_source: Callable[[], float] = _boot_time
_unix_time_source: Callable[[], float] = time.time


def now() -> float:
    """Return seconds since boot, including time spent suspended."""
    return _time_source()


def unix_time() -> float:
    """Return the Unix time in seconds, which may differ between hosts."""
    return _unix_time_source()


@contextmanager
def use_time_source(time_source: Callable[[], float]) -> Iterator[None]:
    """Use another time source for both clocks within a ``with`` block, as tests do.

    Args:
      time_source: Returns the time in seconds.
    """
    global _time_source, _unix_time_source
    previous = _time_source, _unix_time_source
    _time_source = _unix_time_source = time_source
    try:
        yield
    finally:
        _time_source, _unix_time_source = previous
