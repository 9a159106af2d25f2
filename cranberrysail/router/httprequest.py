"""Receiving of HTTP/1.1 requests on one connection."""

from dataclasses import dataclass, field
from typing import Protocol

import httptools

from cranberrysail.router.bodyframing import (
    MAX_OVERHEAD_BYTES,
    MessageTooLongError,
    OverheadMeter,
)
from cranberrysail.router.clock import now
from cranberrysail.router.model import CallerLimits
from cranberrysail.router.upgradeoffer import BodyParserCallbacks, head_without_offer

__all__ = ["HttpRequest", "RequestReceiver", "RequestSink"]

# A head may have this many times the bytes that count towards its limit, which leaves
# out white space and the request line.
HEAD_SIZE_MARGIN = 2


@dataclass(slots=True)
class HttpRequest:
    """A request; handlers receive it with its whole body.

    Attributes:
      target: Path and query as sent by the caller.
      headers: Headers in order, names in lower case.
      arrived_s: Time at which the request head was complete.
      wants_close: True if the connection closes after the response, as the caller
        asked or its HTTP version implies.
      supports_chunked: True if the response may be chunked, as from HTTP/1.1 on.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    arrived_s: float = 0.0
    wants_close: bool = False
    supports_chunked: bool = True

    def header(self, name: bytes) -> bytes:
        """Return the first header of a name, or empty bytes."""
        return next((value for key, value in self.headers if key == name), b"")

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RequestSink(Protocol):
    """What a receiver of requests needs of its connection."""

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits that are in force."""

    @property
    def ignores_requests(self) -> bool:
        """Return whether what is received further is of no use."""

    def request_begun(self) -> None:
        """Take note of the first line of a request."""

    def request_expects_continue(self) -> None:
        """Take note of a valid head whose body the caller has not sent yet."""

    def request_received(self, request: HttpRequest) -> None:
        """Take a complete request."""

    def reject(self, status: int, error_code: str) -> None:
        """Respond to an invalid request with an error."""


class RequestReceiver:
    """Parses what is received on a connection, and checks it against the limits.

    Attributes:
      request: The request that is incomplete, or None.
      reading_head: True until its head is complete.
    """

    def __init__(self, sink: RequestSink) -> None:
        """Create a receiver of a connection on which nothing was received.

        Args:
          sink: The connection.
        """
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self._overhead = self._create_meter()
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self.request: HttpRequest | None = None
        self.reading_head = True

    def _create_meter(self) -> OverheadMeter:
        max_head_bytes = HEAD_SIZE_MARGIN * self._sink.caller_limits.max_header_bytes
        return OverheadMeter(max(MAX_OVERHEAD_BYTES, max_head_bytes))

    def feed(self, data: bytes) -> None:
        """Parse request bytes; reject a malformed or overlong request."""
        if self._sink.ignores_requests:
            return
        self._overhead.add_received(len(data))
        try:
            self._parse(data)
            self._overhead.check()
        except httptools.HttpParserError:
            self._sink.reject(400, "bad_request")
        except MessageTooLongError:
            self._sink.reject(431, "headers_too_large")

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                if self._sink.ignores_requests:
                    return
                (parsed_bytes,) = exc.args
                data = data[parsed_bytes:]
            head = head_without_offer(
                self.request.headers, self.request.wants_close, self._parser
            )
            self._parser = httptools.HttpRequestParser(BodyParserCallbacks(self))
            self._parser.feed_data(head)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.request = HttpRequest()
        self._body_chunks = []
        self._body_bytes = 0
        self.reading_head = True
        self._sink.request_begun()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailer fields are discarded (RFC 9110, section 6.5.1)."""
        if self.reading_head:
            self.request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the request head before its body is read."""
        request, limits = self.request, self._sink.caller_limits
        self.reading_head = False
        request.arrived_s = now()
        request.method = self._parser.get_method().decode("latin-1")
        request.wants_close = not self._parser.should_keep_alive()
        request.supports_chunked = self._parser.get_http_version() == "1.1"
        size = sum(len(n) + len(v) + 4 for n, v in request.headers)
        if size + len(request.target) > limits.max_header_bytes:
            self._sink.reject(431, "headers_too_large")
        elif not _is_well_formed(request):
            self._sink.reject(400, "bad_request")
        elif _content_length(request) > limits.max_body_bytes:
            self._sink.reject(413, "body_too_large")
        elif request.header(b"expect").lower() == b"100-continue":
            self._sink.request_expects_continue()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; reject one that is too large."""
        self._overhead.add_body(len(body))
        if self._sink.ignores_requests:
            return
        self._body_chunks.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._sink.caller_limits.max_body_bytes:
            self._sink.reject(413, "body_too_large")

    def on_message_complete(self) -> None:
        """Pass a complete request on."""
        if self._sink.ignores_requests:
            return
        if self._parser.should_upgrade():
            # The parser stops behind the head; the body follows.
            return
        if self._body_bytes < _content_length(self.request):
            self._sink.reject(400, "bad_request")
            return
        request, self.request = self.request, None
        self._overhead = self._create_meter()
        self.reading_head = True
        request.body = b"".join(self._body_chunks)
        self._body_chunks = []
        self._sink.request_received(request)


def _is_well_formed(request: HttpRequest) -> bool:
    if request.method == "CONNECT":
        return False
    lengths = [v for n, v in request.headers if n == b"content-length"]
    codings = [v for n, v in request.headers if n == b"transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        return False
    if codings and codings[0].strip().lower() != b"chunked":
        return False
    hosts = sum(n == b"host" for n, _ in request.headers)
    return hosts == 1 and request.target.startswith(b"/")


def _content_length(request: HttpRequest) -> int:
    value = request.header(b"content-length").strip()
    return int(value) if value.isdigit() else 0
