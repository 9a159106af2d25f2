"""Splitting of a Server-Sent Events stream into complete events.

Source: HTML Living Standard, section 9.2.6. Lines end with CR LF, LF or CR, and a blank
line ends an event.
"""

import re

from cranberrysail.errors import UpstreamError
from cranberrysail.router.bodyframing import BodyFraming

__all__ = ["EventSplitter", "is_event_stream"]

CONTENT_TYPE = b"text/event-stream"
# An event is buffered until it is complete.
MAX_EVENT_BYTES = 1024 * 1024
# Two line ends in a row, of which CR LF is one.
BLANK_LINE = re.compile(rb"\n\n|[\r\n]\r\n?")
COMMENT = b":"
ID_FIELD = b"id:"
# Begin of a response head. It stands in a body without a length if an endpoint sends
# another response before the first has ended.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def _fields(data: bytes) -> list[bytes]:
    """Return the lines that are neither blank nor comments."""
    return [line for line in data.splitlines() if line and line[:1] != COMMENT]


def is_event_stream(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a response is a stream of events that can be split.

    Args:
      headers: Headers of the response, names in lower case.
    """
    by_name = dict(headers)
    is_encoded = b"content-encoding" in by_name
    return by_name.get(b"content-type", b"").startswith(CONTENT_TYPE) and not is_encoded


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
        self._fault = ""

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that it completes.

        Events before a fault are returned; ``check`` tells of it.

        Raises:
          UpstreamError: If data that completes no event is no part of a stream: another
            response stands there, or an event exceeds the size limit.
        """
        data = self.tail + data
        end = 0
        for blank_line in BLANK_LINE.finditer(data):
            if STATUS_LINE.match(data, end):
                self._fault = "another response stands in the stream"
                break
            self._end_event(data[end : blank_line.end()])
            end = blank_line.end()
        self.tail = data[end:]
        if len(self.tail) > MAX_EVENT_BYTES:
            self._fault = f"an event exceeds the limit of {MAX_EVENT_BYTES} bytes"
        if not end:
            self.check()
        return data[:end]

    def check(self) -> None:
        """Check that what follows the complete events may be part of the stream.

        Raises:
          UpstreamError: If it is not.
        """
        if self._fault:
            raise UpstreamError(self._fault, sent=True, started=True)

    def _end_event(self, event: bytes) -> None:
        fields = _fields(event)
        if not fields:
            return
        self.event_count += 1
        ids = [line for line in fields if line.startswith(ID_FIELD)]
        self.last_id = ids[-1][len(ID_FIELD) :].removeprefix(b" ") if ids else b""

    @property
    def in_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(_fields(self.tail))

    def fault_at_end(self, framing: BodyFraming) -> str:
        """Return why a stream whose body has ended was broken off, empty if it was not.

        Args:
          framing: What delimits the body that has ended.
        """
        if self._fault:
            return self._fault
        if self.in_event:
            return "the stream ended inside an event"
        # The end of the connection does not tell an empty stream from one that was
        # broken off before its first event.
        if framing is BodyFraming.CLOSE and not self.event_count:
            return "the connection closed before the first event"
        return ""

    def discard_tail(self) -> None:
        """Drop the incomplete event, which a resumed stream sends again."""
        self.tail = b""
        self._fault = ""
