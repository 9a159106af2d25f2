"""HTTP/1.1 on kept connections, one request at a time on each."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import TypeVar

import httptools

from cranberrysail.errors import UpstreamError
from cranberrysail.router.clock import now

__all__ = ["HttpClientConn", "connect"]

# Bytes of an answer that wait for a slow caller before reading stops.
HIGH_WATER_BYTES = 64 * 1024
# Headers of an answer beyond this many are passed over.
MAX_HEADERS = 128
# A peer that acknowledges nothing for this long is taken as gone.
UNACKED_MS = 1000
# An idle peer is probed after a second, and is gone after two lost probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2

C = TypeVar("C", bound="HttpClientConn")
Match = Callable[[int, list[tuple[bytes, bytes]]], bool]


def watch_peer(transport: asyncio.BaseTransport) -> None:
    """Let the kernel find a peer that went silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class HttpClientConn(asyncio.Protocol):
    """A connection to a server; answers to other requests are passed over.

    Attributes:
      status: Status of the answer, 0 before its head came.
      headers: Headers of the answer, names in lower case.
      complete: True once the whole answer came.
      reusable: False once the connection must not take another request.
      idle_since_s: When the last answer was complete.
      keep_s: How long it may stay idle.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._paused = False
        self._broken: str | None = None
        self._busy = False
        self._skipping = False
        self._framed = True
        self._pending: list[tuple[bytes, bytes]] = []
        self._match: Match | None = None
        self._bodiless = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.complete = False
        self.reusable = True
        self.idle_since_s = now()
        self.keep_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        watch_peer(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; bytes that answer no request end the connection."""
        if not self._busy:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._break(f"the answer is not valid HTTP ({type(exc).__name__})")
            self.close()

    def eof_received(self) -> bool:
        """Take the end of an answer that has no length."""
        if self._busy and self.status and not self._framed and not self._skipping:
            self._finish()
        self.reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.reusable = False
        self._break("the connection was reset" if exc else "the connection closed")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if len(self._pending) < MAX_HEADERS:
            self._pending.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the head, or pass over an answer to another request."""
        status = self._parser.get_status_code()
        headers, self._pending = self._pending, []
        if status < 200 or self.complete:
            return
        if self._match is not None and not self._match(status, headers):
            self._skipping = True
            self.reusable = False
            return
        names = {name for name, _ in headers}
        self.status, self.headers = status, headers
        self._framed = bool(names & {b"content-length", b"transfer-encoding"})
        self._framed = self._framed or self._bodiless or status in (204, 304)
        if self._bodiless:
            self._finish()
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self._skipping:
            return
        if self.complete:
            self.reusable = False
            return
        self._chunks.append(body)
        self._buffered += len(body)
        if self._buffered > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Take the end of an answer with a length."""
        if self._skipping:
            self._skipping = False
            return
        if self.complete:
            self.reusable = False
            return
        if self.status and self._framed:
            self._finish()

    def _finish(self) -> None:
        self.complete = True
        self.idle_since_s = now()
        if not self._framed or self._transport.get_write_buffer_size():
            self.reusable = False
        self._wake()

    def _break(self, why: str) -> None:
        if self._broken is None:
            self._broken = why
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        if not self.reusable or self._broken is not None:
            return False
        return not (self._busy and not self.complete) and not self._skipping

    @property
    def waiting(self) -> bool:
        """Return whether a reader waits for the server."""
        return self._waiter is not None

    @property
    def idle_for_s(self) -> float:
        """Return how long ago the last answer was complete."""
        return now() - self.idle_since_s

    def send(
        self, request: bytes, match: Match | None = None, bodiless: bool = False
    ) -> None:
        """Send a request.

        Args:
          request: Head and body.
          match: Tells whether an answer's status and headers are to this request.
          bodiless: True if no body follows the answer's head, as for HEAD.

        Raises:
          UpstreamError: If the connection has ended; nothing was sent.
        """
        if self._broken is not None or self._transport.is_closing():
            raise UpstreamError("the kept connection has ended", sent=False)
        self._parser = httptools.HttpResponseParser(self)
        self._match = match
        self._bodiless = bodiless
        self._busy = True
        self.status = 0
        self.headers = []
        self.complete = False
        self._chunks.clear()
        self._buffered = 0
        self._transport.write(request)

    async def head(self) -> None:
        """Wait for the head of the answer.

        Raises:
          UpstreamError: If the connection ends first.
        """
        while not self.status:
            if self._broken is not None:
                raise UpstreamError(self._broken, sent=True)
            await self._wait()

    async def read(self) -> bytes:
        """Return what has come of the body, or nothing at its end.

        Raises:
          UpstreamError: If the connection ends before the body does.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self._broken is not None:
                raise UpstreamError(self._broken, sent=True, started=True)
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def read_up_to(self, limit: int, stall_s: float | None = None) -> bytes:
        """Return the body as far as the limit; ``complete`` tells if it is whole.

        Args:
          limit: Bytes after which no more is read.
          stall_s: Longest time between its parts, None for any.

        Raises:
          UpstreamError: If the connection ends before the body does.
          TimeoutError: If the body stops for longer.
        """
        parts = bytearray()
        while len(parts) <= limit:
            async with asyncio.timeout(stall_s):
                data = await self.read()
            if not data:
                break
            parts += data
        return bytes(parts)

    def rest(self) -> None:
        """Note that the answer was taken and the connection is idle."""
        self._busy = False

    def close(self) -> None:
        """End the connection at once, which cancels an unfinished call."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: str,
    timeout_s: float,
    tls: object = None,
    kind: type[C] = HttpClientConn,
) -> C:
    """Open a connection.

    Args:
      address: ``ip:port`` of the server.
      timeout_s: Longest time to connect.
      tls: TLS context, or None for plain TCP.
      kind: Class of the connection.

    Raises:
      UpstreamError: If no connection is made; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(kind, host, int(port), ssl=tls)
    except TimeoutError as exc:
        raise UpstreamError(f"no connection in {timeout_s} s", sent=False) from exc
    except (OSError, ValueError) as exc:
        raise UpstreamError(f"no connection ({exc})", sent=False) from exc
    return conn
