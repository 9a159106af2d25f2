"""Splitting of a Server-Sent Events stream into complete events."""

__all__ = ["EVENT_END", "EventSplitter", "last_event_id"]

EVENT_END = b"\n\n"


def last_event_id(events: bytes) -> bytes:
    """Return the id of the last event that has one, or empty bytes."""
    start = events.rfind(b"\nid: ")
    if start < 0:
        return events[4 : events.find(b"\n")] if events.startswith(b"id: ") else b""
    start += len(b"\nid: ")
    return events[start : events.find(b"\n", start)]


class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    Attributes:
      last_id: Id of the last complete event that has one.
      tail: Bytes of the incomplete event at the end.
      event_count: Number of complete events.
    """

    def __init__(self) -> None:
        self.last_id = b""
        self.tail = b""
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that it completes."""
        data = self.tail + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.tail = data
            return b""
        end += len(EVENT_END)
        self.tail = data[end:]
        events = data[:end]
        self.event_count += events.count(EVENT_END)
        self.last_id = last_event_id(events) or self.last_id
        return events

    def discard_tail(self) -> None:
        """Drop the incomplete event, which a resumed stream sends again."""
        self.tail = b""
