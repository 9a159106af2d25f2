"""Decision log: JSON lines, rate-limited and written without blocking."""

import os
import sys
import time
from collections import Counter
from collections.abc import Callable

import msgspec
from loguru import logger

__all__ = ["DecisionLog", "NonBlockingSink", "configure"]

# Per kind of line; lines beyond the limit are counted but not written.
MAX_LINES_PER_S = 60
# Limit on lines buffered for a slow reader of standard output.
MAX_BACKLOG_BYTES = 256 * 1024


class NonBlockingSink:
    """Writes to a file descriptor without ever blocking on its reader.

    Attributes:
      dropped: Lines discarded because the buffer was full, plus writes that failed.
    """

    def __init__(self, fd: int) -> None:
        """Create a sink.

        Args:
          fd: File descriptor; switched to non-blocking mode.
        """
        self._fd = fd
        self._backlog = bytearray()
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Buffer a line and write as much of the buffer as possible."""
        data = line.encode()
        if len(self._backlog) + len(data) > MAX_BACKLOG_BYTES:
            self.dropped += 1
        else:
            self._backlog += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        try:
            written = os.write(self._fd, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            self.dropped += 1
            self._backlog.clear()
            return
        del self._backlog[:written]


def configure(sink: NonBlockingSink) -> None:
    """Send all log messages to a sink, without any prefix."""
    logger.remove()
    logger.add(sink.write, format="{message}", level="INFO", catch=True)


class DecisionLog:
    """Writes one line per decision.

    Attributes:
      suppressed: Lines over the rate limit since the last report, by kind.
    """

    def __init__(self, router: str, clock: Callable[[], float] = time.time) -> None:
        """Create a log.

        Args:
          router: Name of this router, included in each line.
          clock: Returns the Unix time in seconds.
        """
        self._router = router
        self._clock = clock
        self._second = 0
        self._lines_this_second: Counter = Counter()
        self.suppressed: Counter = Counter()

    def write(self, kind: str, **fields: object) -> None:
        """Write a line.

        Args:
          kind: Kind of decision.
          **fields: Inputs of the decision, their age or version, and its outcome.
        """
        now = self._clock()
        if int(now) != self._second:
            self._begin_second(int(now))
        self._lines_this_second[kind] += 1
        if self._lines_this_second[kind] > MAX_LINES_PER_S:
            self.suppressed[kind] += 1
            return
        self._emit({"at": round(now, 3), "router": self._router, "kind": kind} | fields)

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._lines_this_second.clear()
        if self.suppressed:
            counts = dict(self.suppressed)
            self.suppressed.clear()
            self._emit(
                {
                    "at": second,
                    "router": self._router,
                    "kind": "lines_left_out",
                    "counts": counts,
                }
            )

    def _emit(self, line: dict[str, object]) -> None:
        logger.info("{}", msgspec.json.encode(line).decode())


def stdout_sink() -> NonBlockingSink:
    """Return a sink that writes to standard output."""
    return NonBlockingSink(sys.stdout.fileno())
