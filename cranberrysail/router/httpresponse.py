"""Sending of HTTP/1.1 responses on one connection."""

import asyncio
import socket
import struct
from enum import Enum, auto

from cranberrysail.router.bodyframing import BODILESS_STATUSES
from cranberrysail.router.httprequest import HttpRequest

__all__ = [
    "CallerDisconnectedError",
    "ResponseSender",
    "ResponseStartedError",
    "ResponseState",
]

REASON_PHRASES = {
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
# Unsent response bytes above which writing to a slow caller waits, so that reading
# from the endpoint pauses too.
WRITE_HIGH_WATER_BYTES = 64 * 1024


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class ResponseStartedError(Exception):
    """A response was to be sent to a request that already has one."""

    def __init__(self, status: int) -> None:
        super().__init__(
            f"a response with status {status} was to follow the start of another; "
            "abort the connection instead"
        )


class ResponseState(Enum):
    """How much of the response to the current request has been sent."""

    NONE = auto()
    STARTED = auto()
    ENDED = auto()


class ResponseSender:
    """Sends one response after the other on a connection.

    Attributes:
      state: How much of the present response has been sent.
      close_after_response: True if the connection closes after it.
    """

    def __init__(self) -> None:
        """Create a sender for a connection that is not made yet."""
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._supports_chunked = True
        self._bodiless = False
        self.state = ResponseState.NONE
        self.close_after_response = False

    def connect(self, transport: asyncio.Transport) -> None:
        """Send on a transport, and set its write buffer limit."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def begin(self, request: HttpRequest | None) -> None:
        """Prepare for the response to a request.

        Args:
          request: The request, or None for one that is rejected.
        """
        self.state = ResponseState.NONE
        self._bodiless = request is not None and request.method == "HEAD"
        if request is None:
            self.close_after_response = True
            return
        self.close_after_response = request.wants_close
        self._supports_chunked = request.supports_chunked

    @property
    def is_writable(self) -> bool:
        """Return whether the caller reads what it is sent."""
        return self._writable.is_set()

    @property
    def unsent_bytes(self) -> int:
        """Return how much of what was written is still in this process."""
        return self._transport.get_write_buffer_size()

    def pause(self) -> None:
        """Make writers wait for a slow caller."""
        self._writable.clear()

    def resume(self) -> None:
        """Wake writers that wait for a slow caller."""
        self._writable.set()

    def _head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytearray:
        head = bytearray(
            b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"-"))
        )
        for name, value in headers:
            head += name + b": " + value + b"\r\n"
        if self.close_after_response:
            head += b"connection: close\r\n"
        return head

    def check_not_started(self, status: int) -> None:
        """Check that the request has no response yet.

        Raises:
          ResponseStartedError: If it has one.
        """
        if self.state is not ResponseState.NONE:
            raise ResponseStartedError(status)

    def send(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response.

        Args:
          status: HTTP status.
          headers: Headers without Content-Length, Transfer-Encoding or Connection.
          body: Whole body.
        """
        head = self._head(status, headers)
        self.state = ResponseState.ENDED
        if status not in BODILESS_STATUSES and (body or not self._bodiless):
            head += b"content-length: %d\r\n" % len(body)
        if self._bodiless or status in BODILESS_STATUSES:
            body = b""
        self._transport.write(bytes(head) + b"\r\n" + body)

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length.

        If the caller does not support chunks, the body is delimited by the end of the
        connection, which is reset if it ends before ``end``.
        """
        self._bodiless = self._bodiless or status in BODILESS_STATUSES
        if not self._supports_chunked and not self._bodiless:
            self.close_after_response = True
            self._reset_on_close(True)
        head = self._head(status, headers)
        self.state = ResponseState.STARTED
        if self._supports_chunked and not self._bodiless:
            head += b"transfer-encoding: chunked\r\n"
        self._transport.write(bytes(head) + b"\r\n")

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while too many bytes are unsent.

        Raises:
          CallerDisconnectedError: If the connection is closing.
        """
        if self._transport.is_closing():
            raise CallerDisconnectedError
        if self._bodiless or not data:
            return
        if self._supports_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    def end(self) -> None:
        """Send the last chunk, or let the connection end the body."""
        self.state = ResponseState.ENDED
        if self._bodiless or self._transport.is_closing():
            return
        if self._supports_chunked:
            self._transport.write(b"0\r\n\r\n")
        else:
            self._reset_on_close(False)

    def _reset_on_close(self, enabled: bool) -> None:
        """Set whether the end of the connection is a reset, whoever closes it."""
        sock = self._transport.get_extra_info("socket")
        if sock is None or self._transport.is_closing():
            return
        linger = struct.pack("ii", enabled, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
