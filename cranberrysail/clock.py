"""Clock that gives the time of day and never goes backwards."""

import time

__all__ = ["Clock"]


class Clock:
    """Seconds since the epoch, read once at start and advanced by the monotonic clock.

    Later corrections of the system clock have no effect.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._offset_s + time.monotonic()
