"""HTTP/1.1 client connections with keep-alive, one request in flight on each."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TypeVar

import httptools

from cranberrysail.errors import UpstreamError
from cranberrysail.router.bodyframing import (
    FRAMING_HEADERS,
    BodyFraming,
    InvalidResponseError,
    MessageTooLongError,
    OverheadMeter,
    check_status_line,
    is_interim,
    response_framing,
)
from cranberrysail.router.clock import now
from cranberrysail.router.deadpeer import WindowWatch, enable_dead_peer_detection
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.tcpstate import read_tcp_state, read_unread_bytes

__all__ = ["HttpClientConn", "connect"]

# Unread response bytes above which reading from the socket pauses.
HIGH_WATER_BYTES = 64 * 1024
# Response headers beyond this number are ignored, but those that delimit the body.
MAX_HEADERS = 128
# Limit on the bodies of responses to other requests, which are discarded.
MAX_DISCARDED_BYTES = 256 * 1024
# Limit on the bytes that are still read from a connection that was reset; the rest of a
# response that is larger is lost.
MAX_BYTES_AFTER_RESET = 1024 * 1024

C = TypeVar("C", bound="HttpClientConn")
ResponseMatcher = Callable[[int, list[tuple[bytes, bytes]]], bool]


class HttpClientConn(asyncio.Protocol):
    """A connection to a server; skips responses that belong to other requests.

    Attributes:
      status: Status of the response, 0 before its head was received.
      headers: Headers of the response, names in lower case.
      framing: What delimits the body of the response.
      body_bytes: Bytes of the body received so far.
      complete: True once the whole response was received.
      requests_sent: Number of requests sent on this connection.
      has_surplus: True once bytes arrived behind the last response.
      reusable: False once the connection must not carry another request.
      idle_since_s: Time at which the last response was complete.
      idle_timeout_s: Idle timeout announced by the server, 0 if none.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._watch: WindowWatch | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._reading_paused = False
        self._failure_reason: str | None = None
        self._disconnected = False
        self._busy = False
        self._skipping = False
        self._parsed_headers: list[tuple[bytes, bytes]] = []
        self._match: ResponseMatcher | None = None
        self._bodiless = False
        self._overhead = OverheadMeter()
        self._discarded_bytes = 0
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.framing = BodyFraming.NONE
        self.body_bytes = 0
        self.complete = False
        self.requests_sent = 0
        self.has_surplus = False
        self.reusable = True
        self.idle_since_s = now()
        self.idle_timeout_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        self._transport = transport
        self._watch = WindowWatch(transport, self._on_peer_gone)
        enable_dead_peer_detection(transport)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; unsolicited data closes the connection."""
        if not self._busy or self.complete:
            self.has_surplus = True
            self.close()
            return
        self._overhead.add_received(len(data))
        try:
            self._parser.feed_data(data)
            if not self.complete:
                self._overhead.check()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(f"invalid HTTP response ({_parser_error_reason(exc)})")
            self.close()
        except MessageTooLongError as exc:
            self._fail(f"invalid HTTP response ({exc})")
            self.close()

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        self.reusable = False
        if (
            self._busy
            and self.status
            and self.framing is BodyFraming.CLOSE
            and not self.complete
            and not self._skipping
            and self._ended_by_server()
        ):
            fault = self._fault_at_end()
            if fault:
                self._disconnected = True
                self._fail(fault)
            else:
                self._finish()
        return False

    def _fault_at_end(self) -> str:
        """Return why a body that the connection's end delimits is not whole.

        The result is empty if nothing indicates that. A server that ends its response
        before it has received the whole request has failed or given up, and then the
        end tells nothing of the response. What the server received but did not read is
        not known; if it closes its socket before it reads that, it sends a reset.
        """
        if self._transport.get_write_buffer_size():
            return "the connection ended before the request was sent"
        tcp_state = read_tcp_state(self._transport)
        if tcp_state is None:
            return ""
        if tcp_state.was_reset:
            return "the connection was reset after its end"
        if tcp_state.has_unacknowledged:
            return "the connection ended before the request was received"
        return ""

    def _ended_by_server(self) -> bool:
        """Return whether the server ended the connection, as TLS shows by an alert.

        Without TLS, the end of the connection is all there is (RFC 9112, section 9.8).
        """
        tls = self._transport.get_extra_info("ssl_object")
        if tls is None:
            return True
        try:
            return not tls.read(1)
        except OSError:
            return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request, unless its response has arrived."""
        self.reusable = False
        self._watch.stop()
        if exc is not None:
            run_isolated(self._receive_rest)
        # Other errors, such as a timeout, tell that the server cannot be reached.
        if self._failure_reason is None:
            self._disconnected = exc is None or isinstance(exc, ConnectionError)
        self._fail(f"connection lost ({exc})" if exc else "connection closed")

    def _on_peer_gone(self) -> None:
        self._fail("connection lost (no acknowledgement)")
        self.close()

    def _receive_rest(self) -> None:
        """Parse what arrived before a reset that a write has met.

        A complete response to a request that was still being sent may be among it.
        """
        is_unfinished = self._busy and not self.complete
        if not is_unfinished or self._failure_reason is not None:
            return
        if self._transport.get_extra_info("ssl_object") is not None:
            return
        data = read_unread_bytes(self._transport, MAX_BYTES_AFTER_RESET)
        if data:
            self.data_received(data)

    def on_message_begin(self) -> None:
        """Note that bytes follow the response, which belong to no request."""
        if self.complete:
            self.has_surplus = True
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or a trailer field of a chunked response."""
        name = name.lower()
        if len(self._parsed_headers) < MAX_HEADERS or name in FRAMING_HEADERS:
            self._parsed_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the response head; ignore interim (1xx) responses.

        Skips responses to other requests.

        Raises:
          InvalidResponseError: If it is no response, or its end is not known; the
            parser then reads no further.
        """
        status = self._parser.get_status_code()
        headers, self._parsed_headers = self._parsed_headers, []
        if self.complete:
            return
        check_status_line(status, self._parser.get_http_version())
        if is_interim(status):
            return
        if self._match is not None and not self._match(status, headers):
            self._skipping = True
            self.reusable = False
            return
        self.framing = response_framing(status, headers, self._bodiless)
        self.status, self.headers = status, headers
        if self._bodiless:
            self._finish()
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pause reading at the high-water mark.

        Raises:
          InvalidResponseError: If it is the body of an interim response, which has
            none.
        """
        self._overhead.add_body(len(body))
        if self._skipping:
            self._discard(len(body))
            return
        if self.complete:
            self.reusable = False
            return
        if not self.status:
            raise InvalidResponseError("an interim response has a body")
        self._chunks.append(body)
        self.body_bytes += len(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail(
                "a response to another request exceeds the limit of "
                f"{MAX_DISCARDED_BYTES} bytes"
            )
            self.close()

    def on_message_complete(self) -> None:
        """Complete a response that has a length or is chunked."""
        if self._skipping:
            self._skipping = False
            return
        if self.complete:
            self.reusable = False
            return
        if self.status and self.framing is not BodyFraming.CLOSE:
            self._finish()

    def _finish(self) -> None:
        self.complete = True
        self.idle_since_s = now()
        if (
            self.framing is BodyFraming.CLOSE
            or self._watch.has_closed
            or self._is_request_unread()
        ):
            self.reusable = False
        self._wake()

    def _is_request_unread(self) -> bool:
        """Return whether the server responded before it received the whole request.

        It may never read the rest, and the next request would wait behind it.
        """
        if self._transport.get_write_buffer_size():
            return True
        tcp_state = read_tcp_state(self._transport)
        return tcp_state is not None and tcp_state.has_unacknowledged

    def _fail(self, reason: str) -> None:
        if self._failure_reason is None:
            self._failure_reason = reason
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
    def can_send(self) -> bool:
        """Return whether another request may be sent."""
        if not self.reusable or self._failure_reason is not None:
            return False
        return not (self._busy and not self.complete) and not self._skipping

    @property
    def is_open(self) -> bool:
        """Return whether neither side has ended the connection, as far as known."""
        if self._failure_reason is not None or self._transport is None:
            return False
        return not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of the request that the server has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def waiting(self) -> bool:
        """Return whether a coroutine is waiting for data from the server."""
        return self._waiter is not None

    @property
    def idle_for_s(self) -> float:
        """Return the time since the last response was complete."""
        return now() - self.idle_since_s

    def send(
        self,
        request: bytes,
        match: ResponseMatcher | None = None,
        bodiless: bool = False,
    ) -> None:
        """Send a request.

        Args:
          request: Head and body.
          match: Returns whether a response, given its status and headers,
            belongs to this request.
          bodiless: True if the response has no body, as for HEAD.

        Raises:
          UpstreamError: If the connection is closed; nothing was sent.
        """
        if self._failure_reason is not None or self._transport.is_closing():
            raise UpstreamError(
                "connection closed before the request was sent", sent=False
            )
        self._parser = httptools.HttpResponseParser(self)
        # The trailers of the last response are still there.
        self._parsed_headers = []
        self._match = match
        self._bodiless = bodiless
        self._busy = True
        self.requests_sent += 1
        self._overhead = OverheadMeter()
        self._discarded_bytes = 0
        self.status = 0
        self.headers = []
        self.framing = BodyFraming.NONE
        self.body_bytes = 0
        self.complete = False
        self._chunks.clear()
        self._buffered_bytes = 0
        self._transport.write(request)
        self._watch.request_written(len(request))

    async def wait_for_head(self) -> None:
        """Wait for the head of the response.

        Raises:
          UpstreamError: If the connection ends first.
        """
        while not self.status:
            if self._failure_reason is not None:
                raise UpstreamError(
                    self._failure_reason, sent=True, disconnected=self._disconnected
                )
            await self._wait()

    async def read(self) -> bytes:
        """Return the body bytes received since the last read, empty at the end.

        Raises:
          UpstreamError: If the connection ends before the body does.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self._failure_reason is not None:
                raise UpstreamError(
                    self._failure_reason,
                    sent=True,
                    started=True,
                    disconnected=self._disconnected,
                )
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    async def read_up_to(
        self, stop_after_bytes: int, read_timeout_s: float | None = None
    ) -> bytes:
        """Read the body until it ends or more than a number of bytes were read.

        The result may exceed that number by the data read last. Afterwards ``complete``
        tells whether the whole body was read.

        Args:
          stop_after_bytes: Size above which reading stops.
          read_timeout_s: Longest time without new data, or None for no limit.

        Raises:
          UpstreamError: If the connection ends before the body does.
          TimeoutError: If no data arrives for ``read_timeout_s``.
        """
        parts = bytearray()
        while len(parts) <= stop_after_bytes:
            async with asyncio.timeout(read_timeout_s):
                data = await self.read()
            if not data:
                break
            parts += data
        return bytes(parts)

    async def read_all(
        self, max_bytes: int, read_timeout_s: float | None = None
    ) -> bytes:
        """Return the whole body.

        Args:
          max_bytes: Maximum size of the body.
          read_timeout_s: Longest time without new data, or None for no limit.

        Raises:
          UpstreamError: If the connection ends before the body does, or the body
            exceeds the limit.
          TimeoutError: If no data arrives for ``read_timeout_s``.
        """
        body = await self.read_up_to(max_bytes, read_timeout_s)
        if len(body) > max_bytes:
            raise UpstreamError(
                f"the response exceeds the limit of {max_bytes} bytes",
                sent=True,
                started=True,
            )
        return body

    def mark_idle(self) -> None:
        """Make the connection as new, once its response is complete.

        What is left of the response is dropped, and reading goes on.
        """
        self._busy = False
        self._match = None
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """Abort the connection, which cancels an unfinished request."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


def _parser_error_reason(exc: Exception) -> str:
    """Return what is invalid: the error of a callback, or that of the parser."""
    cause = exc.__context__
    return str(cause) if isinstance(cause, ValueError) else type(exc).__name__


async def connect(
    address: str,
    timeout_s: float,
    tls: object = None,
    protocol_class: type[C] = HttpClientConn,
) -> C:
    """Open a connection.

    Args:
      address: ``ip:port`` of the server.
      timeout_s: Connect timeout.
      tls: TLS context, or None for plain TCP.
      protocol_class: Protocol class of the connection.

    Raises:
      UpstreamError: If the connection fails; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                protocol_class, host, int(port), ssl=tls
            )
    except TimeoutError as exc:
        raise UpstreamError(
            f"connect timed out after {timeout_s} s", sent=False
        ) from exc
    except (OSError, ValueError, OverflowError) as exc:
        raise UpstreamError(f"connect failed ({exc})", sent=False) from exc
    return conn
