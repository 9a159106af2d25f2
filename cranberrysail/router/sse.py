"""Splitting of a Server-Sent Events stream into complete events.

Source: HTML Living Standard, section 9.2.6. Lines end with CR LF, LF or CR, and a blank
line ends an event.
"""

import re

__all__ = ["EventSplitter"]

# Atomic, so that a CR LF is never taken for two line ends.
LINE_END = rb"(?>\r\n|\n|\r)"
BLANK_LINE = re.compile(LINE_END + LINE_END)
LINE_START = rb"(?:\A|[\r\n])"
# Lines that begin with a colon are comments.
FIELD_LINE = re.compile(LINE_START + rb"[^:\r\n]")
ID_LINE = re.compile(LINE_START + rb"id: ?([^\r\n]*)")


class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    Attributes:
      last_id: Id of the last complete event, empty if it has none.
      tail: Bytes after the last complete event.
      event_count: Number of complete events; blocks of comments are not counted.
    """

    def __init__(self) -> None:
        self.last_id = b""
        self.tail = b""
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that it completes."""
        data = self.tail + data
        end = 0
        for blank_line in BLANK_LINE.finditer(data):
            self._end_event(data[end : blank_line.end()])
            end = blank_line.end()
        self.tail = data[end:]
        return data[:end]

    def _end_event(self, event: bytes) -> None:
        if FIELD_LINE.search(event) is None:
            return
        self.event_count += 1
        ids = ID_LINE.findall(event)
        self.last_id = ids[-1] if ids else b""

    @property
    def in_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return FIELD_LINE.search(self.tail) is not None

    def discard_tail(self) -> None:
        """Drop the incomplete event, which a resumed stream sends again."""
        self.tail = b""
