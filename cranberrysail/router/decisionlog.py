"""Decisions as JSON lines: bounded in number, and never waiting."""

import os
import sys
import time
from collections import Counter
from collections.abc import Callable

import msgspec
from loguru import logger

__all__ = ["DecisionLog", "NonBlockingSink", "configure"]

# Lines of one kind in a second; more are counted and left out.
LINES_PER_S = 60
# Lines that wait for a slow reader of standard output.
BACKLOG_BYTES = 256 * 1024


class NonBlockingSink:
    """Writes to a file descriptor without ever waiting for its reader.

    Attributes:
      dropped: Lines left out because the reader was too slow.
    """

    def __init__(self, fd: int) -> None:
        """Create a sink.

        Args:
          fd: File descriptor; it is made non-blocking.
        """
        self._fd = fd
        self._backlog = bytearray()
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it until the reader has caught up."""
        data = line.encode()
        if len(self._backlog) + len(data) > BACKLOG_BYTES:
            self.dropped += 1
        else:
            self._backlog += data
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
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
    """Send all log lines, as they are, to a sink."""
    logger.remove()
    logger.add(sink.write, format="{message}", level="INFO", catch=True)


class DecisionLog:
    """Writes one line for each decision.

    Attributes:
      left_out: Lines that were not written, by kind.
    """

    def __init__(self, router: str, clock: Callable[[], float] = time.time) -> None:
        """Create a log.

        Args:
          router: Name of this router, part of each line.
          clock: Source of the time of day.
        """
        self._router = router
        self._clock = clock
        self._second = 0
        self._lines: Counter = Counter()
        self.left_out: Counter = Counter()

    def write(self, kind: str, **fields: object) -> None:
        """Write a line.

        Args:
          kind: Name of the decision.
          **fields: Its inputs, their age or version, and the outcome.
        """
        now = self._clock()
        if int(now) != self._second:
            self._begin_second(int(now))
        self._lines[kind] += 1
        if self._lines[kind] > LINES_PER_S:
            self.left_out[kind] += 1
            return
        self._emit({"at": round(now, 3), "router": self._router, "kind": kind} | fields)

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._lines.clear()
        if self.left_out:
            counts = dict(self.left_out)
            self.left_out.clear()
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


def standard_output() -> NonBlockingSink:
    """Return a sink on standard output."""
    return NonBlockingSink(sys.stdout.fileno())
