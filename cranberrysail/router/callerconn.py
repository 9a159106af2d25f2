"""Callers' connections: HTTP/1.1 in, one answer at a time out."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from cranberrysail.router.clock import now
from cranberrysail.router.model import CallerLimits

__all__ = ["CallerConn", "CallerFront", "CallerLeftError", "CallerRequest"]

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Requests that may wait behind the one being answered before reading stops.
PIPELINE = 8
# Bytes of answers that wait for a slow caller before the endpoint is held back.
WRITE_HIGH_BYTES = 64 * 1024
# How long the rest of a rejected request is read before its connection closes.
LINGER_S = 1.0
# How often connections are looked at for timeouts.
SWEEP_S = 0.5
# How often a stopping front looks whether its last answer is out.
FINISH_POLL_S = 0.05
# Answers with these statuses have no body (RFC 9110, section 6.4.1).
BODILESS = frozenset((204, 304))


class CallerLeftError(Exception):
    """The caller closed its connection."""


@dataclass(slots=True)
class CallerRequest:
    """A whole request.

    Attributes:
      target: Path and query as the caller sent them.
      headers: Headers in order, names in lower case.
      arrived_s: When its head was complete.
      last: True if the caller wants the connection closed after the answer.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    arrived_s: float = 0.0
    last: bool = False

    def header(self, name: bytes) -> bytes:
        """Return a header, or nothing."""
        return next((value for key, value in self.headers if key == name), b"")

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


Handler = Callable[[CallerRequest, "CallerConn"], Awaitable[None]]
Refuse = Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]]


class CallerFront:
    """Accepts callers' connections and closes those that stay idle.

    Attributes:
      limits: Bounds on what callers send; changed by new tables.
      draining: True once answers ask callers to leave.
      closing_idle: True once idle connections are closed.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refuse,
        failed: Callable[[BaseException], None],
    ) -> None:
        """Create a front.

        Args:
          handler: Answers one request on a connection.
          refuse: Returns headers and body for a status and a reason.
          failed: Called with an error that a handler did not expect.
        """
        self.handler = handler
        self.refuse = refuse
        self.failed = failed
        self.limits = CallerLimits()
        self.draining = False
        self.closing_idle = False
        self.conns: set[CallerConn] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int, tls: object = None) -> int:
        """Listen and return the port.

        Args:
          host: IP number to bind.
          port: Port to bind, or 0 for any.
          tls: TLS context, or None for plain TCP.

        Raises:
          OSError: If the port cannot be bound.
        """
        loop = asyncio.get_running_loop()
        secured = {}
        if tls is not None:
            secured = {"ssl": tls, "ssl_handshake_timeout": self.limits.header_s}
        self._server = await loop.create_server(
            lambda: CallerConn(self), host, port, backlog=1024, **secured
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    async def finish(self, until_s: float) -> None:
        """Take no new connections, wait for the open ones and break off the rest.

        Args:
          until_s: When to stop waiting, on the router's clock.
        """
        self.stop_listening()
        self.closing_idle = True
        for conn in list(self.conns):
            conn.check_time()
        while self.conns and now() < until_s:
            await asyncio.sleep(FINISH_POLL_S)
        for conn in list(self.conns):
            conn.break_off()

    @property
    def busy(self) -> int:
        """Return the number of connections with a request under way."""
        return sum(conn.busy for conn in self.conns)

    async def sweep(self) -> None:
        """Close connections whose time is over, for ever."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for conn in list(self.conns):
                conn.check_time()


class CallerConn(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, front: CallerFront) -> None:
        """Create a connection.

        Args:
          front: Where it was accepted.
        """
        self._front = front
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[CallerRequest] = deque()
        self._request: CallerRequest | None = None
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_head = True
        self._task: asyncio.Task | None = None
        self._drained: asyncio.Event = asyncio.Event()
        self._drained.set()
        self._closing = False
        self._answered = False
        self._since_s = now()
        self._chunked = True
        self._no_body = False
        self.last_answer = False

    @property
    def busy(self) -> bool:
        """Return whether a request is under way or has begun to arrive."""
        return bool(self._task or self._queue or self._request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._front.conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that left."""
        self._front.conns.discard(self)
        self._closing = True
        self._drained.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Take the end of the caller's side as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Hold the answer back for a slow caller."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Go on with the answer."""
        self._drained.set()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self._closing:
            return
        if self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > self._front.limits.header_bytes * 2 + 65536:
                self._reject(431, "headers_too_large")
                return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400, "bad_request")

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._request = CallerRequest()
        self._since_s = now()
        self._body = []
        self._body_bytes = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head before the body comes."""
        request = self._request
        self._in_head = False
        self._head_bytes = 0
        request.arrived_s = now()
        request.method = self._parser.get_method().decode("latin-1")
        request.last = not self._parser.should_keep_alive()
        self._chunked = self._parser.get_http_version() == "1.1"
        size = sum(len(n) + len(v) + 4 for n, v in request.headers)
        if size + len(request.target) > self._front.limits.header_bytes:
            self._reject(431, "headers_too_large")
        elif not _framing_is_clear(request):
            self._reject(400, "bad_request")
        elif _declared_length(request) > self._front.limits.body_bytes:
            self._reject(413, "body_too_large")
        elif request.header(b"expect").lower() == b"100-continue" and not self._task:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._closing:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._front.limits.body_bytes:
            self._reject(413, "body_too_large")

    def on_message_complete(self) -> None:
        """Answer the request once those before it are answered."""
        if self._closing:
            return
        request, self._request = self._request, None
        self._in_head = True
        request.body = b"".join(self._body)
        self._body = []
        self._queue.append(request)
        if len(self._queue) > PIPELINE:
            self._transport.pause_reading()
        self._next()

    def _next(self) -> None:
        if self._task is not None or not self._queue or self._closing:
            return
        request = self._queue.popleft()
        self._transport.resume_reading()
        self._answered = False
        self.last_answer = request.last
        self._no_body = request.method == "HEAD"
        self._task = asyncio.ensure_future(self._front.handler(request, self))
        self._task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task) -> None:
        self._task = None
        self._since_s = now()
        failed = not task.cancelled() and task.exception() is not None
        if failed:
            self._front.failed(task.exception())
        if self._closing:
            return
        if failed and not self._answered:
            headers, body = self._front.refuse(502, "internal_error")
            self.send_whole(502, headers, body)
        if failed or not self._answered or self.last_answer:
            self.end()
            return
        self._next()
        if self._front.closing_idle and not self.busy:
            self.end()

    def _reject(self, status: int, reason: str) -> None:
        """Answer what is no proper request; those before it are cut off last."""
        if self._task is None and not self._queue:
            headers, body = self._front.refuse(status, reason)
            self._no_body = False
            self.last_answer = True
            self.send_whole(status, headers, body)
            self._linger()
            return
        self._closing = True
        self._request = None

    def _linger(self) -> None:
        """Read on for a moment: unread bytes would reset the answer away."""
        self._closing = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def check_time(self) -> None:
        """Close the connection if the caller takes too long."""
        if self._task is not None or self._queue:
            return
        limits = self._front.limits
        waited_s = now() - self._since_s
        if self._request is None:
            if waited_s > limits.idle_s or self._front.closing_idle:
                self.end()
            return
        most_s = limits.header_s if self._in_head else limits.header_s + limits.idle_s
        if waited_s > most_s:
            self._reject(408, "request_timeout")

    def _head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytearray:
        if self._front.draining:
            self.last_answer = True
        head = bytearray(b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"-")))
        for name, value in headers:
            head += name + b": " + value + b"\r\n"
        if self.last_answer:
            head += b"connection: close\r\n"
        self._answered = True
        return head

    def send_whole(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send an answer at once.

        Args:
          status: HTTP status.
          headers: Headers without framing.
          body: Whole body.
        """
        if self._transport.is_closing():
            return
        head = self._head(status, headers)
        if status not in BODILESS and (body or not self._no_body):
            head += b"content-length: %d\r\n" % len(body)
        if self._no_body or status in BODILESS:
            body = b""
        self._transport.write(bytes(head) + b"\r\n" + body)

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer whose length is not known."""
        self._no_body = self._no_body or status in BODILESS
        if not self._chunked and not self._no_body:
            self.last_answer = True
        head = self._head(status, headers)
        if self._chunked and not self._no_body:
            head += b"transfer-encoding: chunked\r\n"
        self._transport.write(bytes(head) + b"\r\n")

    async def write(self, data: bytes) -> None:
        """Send a part of the body and wait while the caller reads slowly.

        Raises:
          CallerLeftError: If the caller has left.
        """
        if self._transport.is_closing():
            raise CallerLeftError
        if self._no_body or not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)
        if not self._drained.is_set():
            await self._drained.wait()

    def finish(self) -> None:
        """Send the end of the body."""
        ended = self._no_body or self._transport.is_closing()
        if self._chunked and not ended:
            self._transport.write(b"0\r\n\r\n")

    def break_off(self) -> None:
        """Reset the connection, so that the answer can't look complete."""
        self._closing = True
        self._transport.abort()

    def end(self) -> None:
        """Close the connection once all is sent."""
        self._closing = True
        self._transport.close()


def _framing_is_clear(request: CallerRequest) -> bool:
    lengths = [v for n, v in request.headers if n == b"content-length"]
    codings = [v for n, v in request.headers if n == b"transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        return False
    if codings and codings[0].strip().lower() != b"chunked":
        return False
    hosts = sum(n == b"host" for n, _ in request.headers)
    return hosts == 1 and request.target.startswith(b"/")


def _declared_length(request: CallerRequest) -> int:
    value = request.header(b"content-length").strip()
    return int(value) if value.isdigit() else 0
