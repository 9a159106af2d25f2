"""HTTP calls to endpoints, each on a new connection."""

from dataclasses import dataclass, replace

from cranberrysail.errors import UpstreamError
from cranberrysail.router.httpclient import HttpClientConn, connect
from cranberrysail.router.sse import EventSplitter, is_event_stream

__all__ = ["OUTCOME_HEADER", "UpstreamCall", "UpstreamRequest", "open_call"]

LAST_EVENT_ID = b"last-event-id"
OUTCOME_HEADER = "x-outcome"
NOT_RUN = "not_run"


@dataclass(frozen=True)
class UpstreamRequest:
    """A request to an endpoint."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""

    def resumed_after(self, event_id: bytes) -> "UpstreamRequest":
        """Return the request that continues its stream after an event.

        Args:
          event_id: Id of the event.
        """
        others = tuple(item for item in self.headers if item[0] != LAST_EVENT_ID)
        return replace(self, headers=(*others, (LAST_EVENT_ID, event_id)))

    def head(self, address: str) -> bytes:
        """Return the encoded request line and headers.

        Args:
          address: Value of the Host header.
        """
        lines = [
            f"{self.method} {self.target} HTTP/1.1".encode("latin-1"),
            b"host: " + address.encode(),
            b"connection: close",
            b"content-length: %d" % len(self.body),
        ]
        lines.extend(name + b": " + value for name, value in self.headers)
        return b"\r\n".join(lines) + b"\r\n\r\n"


class UpstreamCall(HttpClientConn):
    """A request and its response on a dedicated connection.

    Attributes:
      sent: True once part of the request may have reached the endpoint.
      reads: Number of completed reads of the body.
      is_event_stream: Whether the response is a stream of Server-Sent Events.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sent = False
        self.reads = 0
        self.is_event_stream = False
        self._events = EventSplitter()

    def write(self, request: UpstreamRequest, address: str) -> None:
        """Send the request.

        Args:
          request: The request.
          address: ``host:port`` of the endpoint.
        """
        self.sent = True
        bodiless = request.method == "HEAD"
        self.send(request.head(address) + request.body, bodiless=bodiless)

    async def wait_for_response(self) -> None:
        """Wait for the headers of the response.

        Raises:
          UpstreamError: If the connection ends first, or the endpoint reports
            that it did not run the request.
        """
        await self.wait_for_head()
        self.is_event_stream = is_event_stream(self.headers)
        outcome = self.header(OUTCOME_HEADER.encode())
        if self.status >= 429 and outcome == NOT_RUN.encode():
            raise UpstreamError(
                "the endpoint did not run the request", sent=True, refused=True
            )

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a response header, or None."""
        return next((value for key, value in self.headers if key == name), None)

    async def read(self) -> bytes:
        """Return the body bytes received since the last read, empty at the end.

        Raises:
          UpstreamError: If the connection ends before the body does, or a stream of
            events was broken off.
        """
        data = await super().read()
        self.reads += 1
        if self.is_event_stream:
            self._events.feed(data)
            fault = "" if data else self._events.fault_at_end(self.framing)
            if fault:
                raise UpstreamError(fault, sent=True, started=True)
        return data


async def open_call(address: str, connect_s: float) -> UpstreamCall:
    """Connect to an endpoint.

    Args:
      address: ``host:port`` of the endpoint.
      connect_s: Connect timeout, in seconds.

    Raises:
      UpstreamError: If the connection fails.
    """
    try:
        return await connect(address, connect_s, protocol_class=UpstreamCall)
    except UpstreamError as exc:
        raise UpstreamError(f"{address}: {exc.reason}", sent=False) from exc
