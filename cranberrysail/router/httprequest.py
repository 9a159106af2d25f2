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
from cranberrysail.router.memoryaccount import HEADER_OBJECT_BYTES
from cranberrysail.router.model import CallerLimits
from cranberrysail.router.upgradeoffer import BodyParserCallbacks, head_without_offer

__all__ = ["HttpRequest", "RequestReceiver", "RequestSink"]

# A head may have this many times the bytes that count towards its limit, which leaves
# out white space and the request line.
HEAD_SIZE_MARGIN = 2
# Limit on the raw bytes of a head whatever the tables say, as a slice of input may
# contain the end of the request before it.
MIN_RAW_HEAD_BYTES = 32 * 1024
# Input is parsed in slices of this size, so that a request that is rejected, or a full
# queue, stops the parser early. 256 KiB, which is read from a socket at once, can
# contain 9,000 requests. Most requests fit into one slice.
SLICE_BYTES = 4 * 1024
# A request with its list of headers.
REQUEST_BYTES = 512
# Bytes of a header line that count towards its limit besides name and value.
LINE_BYTES = 4


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
      held_bytes: Memory that the request takes, with its objects.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    arrived_s: float = 0.0
    wants_close: bool = False
    supports_chunked: bool = True
    held_bytes: int = 0

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

    @property
    def takes_requests(self) -> bool:
        """Return whether there is room for another request in the queue."""

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
      is_parsing: True while input is being parsed.
    """

    def __init__(self, sink: RequestSink) -> None:
        """Create a receiver of a connection on which nothing was received.

        Args:
          sink: The connection.
        """
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self._overhead = self._create_meter()
        self._unparsed = b""
        self._offset = 0
        self._raw_head_bytes = 0
        # Those that count towards the limit of the tables.
        self._head_bytes = 0
        self._max_head_bytes = 0
        self._body = bytearray()
        self._content_length = 0
        self._max_body_bytes = 0
        self.request: HttpRequest | None = None
        self.reading_head = True
        self.is_parsing = False

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is held, neither a request nor input."""
        return self.request is None and not self._unparsed

    @property
    def held_bytes(self) -> int:
        """Return the memory that an incomplete request and unparsed input take."""
        unparsed = len(self._unparsed)
        if self.request is None:
            return unparsed
        return self._head_held_bytes + self._body.__sizeof__() + unparsed

    @property
    def _head_held_bytes(self) -> int:
        objects = HEADER_OBJECT_BYTES * len(self.request.headers)
        return REQUEST_BYTES + objects + self._head_bytes

    def discard(self) -> None:
        """Release what was received of an incomplete request, and unparsed input."""
        self._unparsed, self._offset = b"", 0
        self._body = bytearray()
        if self.request is not None:
            self.request = HttpRequest()

    def _create_meter(self) -> OverheadMeter:
        max_head_bytes = HEAD_SIZE_MARGIN * self._sink.caller_limits.max_header_bytes
        return OverheadMeter(max(MAX_OVERHEAD_BYTES, max_head_bytes))

    def feed(self, data: bytes) -> None:
        """Parse what was received, or keep it while the queue is full."""
        if self._sink.ignores_requests:
            return
        if self._unparsed:
            data = self._unparsed[self._offset :] + data
        self._unparsed, self._offset = data, 0
        self.resume()

    def resume(self) -> None:
        """Parse input that was kept, as far as there is room for requests."""
        if self.is_parsing or not self._unparsed:
            return
        self.is_parsing = True
        try:
            while self._unparsed and self._sink.takes_requests:
                self._parse_slice(self._next_slice())
                if self._sink.ignores_requests:
                    self.discard()
        finally:
            self.is_parsing = False

    def _next_slice(self) -> bytes:
        size = SLICE_BYTES
        if not self.reading_head:
            size = max(size, self._content_length - len(self._body))
        data, start = self._unparsed, self._offset
        if start + size < len(data):
            self._offset += size
            return data[start : start + size]
        self._unparsed, self._offset = b"", 0
        return data[start:]

    def _parse_slice(self, data: bytes) -> None:
        """Parse a part of the input; reject a malformed or overlong request."""
        overhead, body_bytes = self._overhead, len(self._body)
        overhead.add_received(len(data))
        if self.reading_head:
            self._raw_head_bytes += len(data)
        try:
            self._parse(data)
            if overhead is self._overhead:
                # The same request goes on.
                overhead.add_body(max(0, len(self._body) - body_bytes))
                overhead.check()
        except httptools.HttpParserError:
            self._sink.reject(400, "bad_request")
        except MessageTooLongError:
            self._sink.reject(431, "headers_too_large")
        if self.reading_head and self._raw_head_bytes > MIN_RAW_HEAD_BYTES:
            self._check_raw_head()

    def _check_raw_head(self) -> None:
        max_head_bytes = self._sink.caller_limits.max_header_bytes
        if self._raw_head_bytes > HEAD_SIZE_MARGIN * max_head_bytes:
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
        self._body = bytearray()
        self._content_length = 0
        self._head_bytes = 0
        self._max_head_bytes = self._sink.caller_limits.max_header_bytes
        self.reading_head = True
        self._sink.request_begun()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._head_bytes += len(url)
        if self._head_bytes > self._max_head_bytes:
            self._sink.reject(431, "headers_too_large")
            return
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailer fields are discarded (RFC 9110, section 6.5.1)."""
        if not self.reading_head:
            return
        self._head_bytes += len(name) + len(value) + LINE_BYTES
        if self._head_bytes > self._max_head_bytes:
            self._sink.reject(431, "headers_too_large")
            return
        self.request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the request head before its body is read."""
        self.reading_head = False
        self._raw_head_bytes = 0
        if self._sink.ignores_requests:
            return
        request, limits = self.request, self._sink.caller_limits
        request.arrived_s = now()
        request.method = self._parser.get_method().decode("latin-1")
        request.wants_close = not self._parser.should_keep_alive()
        request.supports_chunked = self._parser.get_http_version() == "1.1"
        if not _is_well_formed(request):
            self._sink.reject(400, "bad_request")
            return
        self._content_length = _content_length(request)
        self._max_body_bytes = limits.max_body_bytes
        if self._content_length > limits.max_body_bytes:
            self._sink.reject(413, "body_too_large")
        elif request.header(b"expect").lower() == b"100-continue":
            self._sink.request_expects_continue()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; reject one that is too large."""
        # Called for each chunk, of which a body has two million if they have two bytes.
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._sink.reject(413, "body_too_large")

    def on_message_complete(self) -> None:
        """Pass a complete request on."""
        if self._sink.ignores_requests:
            return
        if self._parser.should_upgrade():
            # The parser stops behind the head; the body follows.
            return
        if len(self._body) < self._content_length:
            self._sink.reject(400, "bad_request")
            return
        request = self.request
        request.body = bytes(self._body)
        request.held_bytes = self._head_held_bytes + len(self._body)
        self.request = None
        self._overhead = self._create_meter()
        self.reading_head = True
        self._raw_head_bytes = 0
        self._body = bytearray()
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
