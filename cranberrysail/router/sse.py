"""Whole events of a Server-Sent Events stream."""

__all__ = ["EVENT_END", "EventSplitter", "last_event_id"]

EVENT_END = b"\n\n"


def last_event_id(events: bytes) -> bytes:
    """Return the id of the last event that has one, or nothing."""
    start = events.rfind(b"\nid: ")
    if start < 0:
        return events[4 : events.find(b"\n")] if events.startswith(b"id: ") else b""
    start += len(b"\nid: ")
    return events[start : events.find(b"\n", start)]


class EventSplitter:
    """Holds back the bytes of an event until it is whole.

    Attributes:
      last_id: Id of the last whole event.
      tail: Bytes of an event that is not whole yet.
    """

    def __init__(self) -> None:
        self.last_id = b""
        self.tail = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that end within the data."""
        data = self.tail + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self.tail = data
            return b""
        cut += len(EVENT_END)
        self.tail = data[cut:]
        events = data[:cut]
        self.last_id = last_event_id(events) or self.last_id
        return events

    def restart(self) -> None:
        """Drop a part of an event; another endpoint sends it whole."""
        self.tail = b""
