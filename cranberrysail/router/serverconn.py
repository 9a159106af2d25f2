"""HTTP/1.1 server connections, with one request handled at a time on each."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

from cranberrysail.router.clock import now
from cranberrysail.router.httprequest import HttpRequest, RequestReceiver
from cranberrysail.router.httpresponse import ResponseSender, ResponseState
from cranberrysail.router.model import CallerLimits

__all__ = ["ConnectionOwner", "ErrorResponder", "HttpServerConn", "RequestHandler"]

# Pipelined requests queued behind the current one before reading pauses.
MAX_PIPELINED_REQUESTS = 8
# How long the rest of a rejected request is received and discarded before its
# connection closes.
LINGER_S = 1.0

RequestHandler = Callable[[HttpRequest, "HttpServerConn"], Awaitable[None]]
ErrorResponder = Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]]


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it.

    Attributes:
      handler: Handles one request on a connection.
      error_response: Returns headers and body for a status and an error code.
      on_error: Called with each exception that a handler raises.
      limits: Size limits and timeouts of requests.
      draining: True if each response closes its connection.
      closing_idle: True if connections are closed as soon as they are idle.
      conns: The open connections.
    """

    handler: RequestHandler
    error_response: ErrorResponder
    on_error: Callable[[BaseException], None]
    limits: CallerLimits
    draining: bool
    closing_idle: bool
    conns: set["HttpServerConn"]


class HttpServerConn(asyncio.Protocol):
    """A connection from a client, such as a caller or another router."""

    def __init__(self, listener: ConnectionOwner) -> None:
        """Create a connection.

        Args:
          listener: The listener that accepted it.
        """
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._receiver = RequestReceiver(self)
        self._response = ResponseSender()
        self._queue: deque[HttpRequest] = deque()
        self._handler_task: asyncio.Task | None = None
        self._closing = False
        self._rejection: tuple[int, str] | None = None
        self._input_ended = False
        self._timeout_start_s = now()

    @property
    def busy(self) -> bool:
        """Return whether a request is in progress, queued or being received."""
        return bool(self._handler_task or self._queue or self._receiver.request)

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits that are in force."""
        return self._listener.limits

    @property
    def ignores_requests(self) -> bool:
        """Return whether what is received further is of no use."""
        return self._closing or self._input_ended or self._rejection is not None

    @property
    def close_after_response(self) -> bool:
        """Return whether the connection closes after the present response."""
        return self._response.close_after_response

    @close_after_response.setter
    def close_after_response(self, close: bool) -> None:
        self._response.close_after_response = close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its write buffer limit."""
        self._transport = transport
        self._response.connect(transport)
        self._listener.conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of a caller that disconnected."""
        self._listener.conns.discard(self)
        self._closing = True
        self._response.resume()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait for a slow caller."""
        self._response.pause()

    def resume_writing(self) -> None:
        """Wake writers that wait for a slow caller."""
        self._response.resume()

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        self._receiver.feed(data)

    def request_begun(self) -> None:
        """Start the timeout of a request."""
        self._timeout_start_s = now()

    def request_expects_continue(self) -> None:
        """Ask the caller for the body, unless a response is being sent."""
        if self._handler_task is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_received(self, request: HttpRequest) -> None:
        """Queue a request; it is handled after those before it."""
        self._queue.append(request)
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        self._start_next()

    def _start_next(self) -> None:
        if self._handler_task is not None or not self._queue or self._closing:
            return
        request = self._queue.popleft()
        self._transport.resume_reading()
        self._response.begin(request)
        self._handler_task = asyncio.ensure_future(
            self._listener.handler(request, self)
        )
        self._handler_task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task) -> None:
        self._handler_task = None
        self._timeout_start_s = now()
        failed = not task.cancelled() and task.exception() is not None
        if failed:
            self._listener.on_error(task.exception())
        if self._response.state is ResponseState.STARTED:
            self.abort()
        if self._closing:
            return
        no_response = self._response.state is ResponseState.NONE
        if failed and no_response:
            headers, body = self._listener.error_response(502, "internal_error")
            self.send_response(502, headers, body)
        if failed or no_response or self.close_after_response:
            self.close()
            return
        self._start_next()
        if self._handler_task is not None:
            return
        if self._rejection is not None:
            self._send_rejection()
        elif self._input_ended or (self._listener.closing_idle and not self.busy):
            self.close()

    def reject(self, status: int, error_code: str) -> None:
        """Respond to an invalid request with an error, after those before it."""
        if self.ignores_requests:
            return
        if self._receiver.request is None and self.busy:
            # No request has begun that could get a response of its own.
            self._input_ended = True
            return
        self._rejection = (status, error_code)
        if self._handler_task is None:
            self._send_rejection()

    def _send_rejection(self) -> None:
        status, error_code = self._rejection
        headers, body = self._listener.error_response(status, error_code)
        self._response.begin(None)
        self.send_response(status, headers, body)
        self._close_after_linger()

    def _close_after_linger(self) -> None:
        """Close the sending side, and the connection after a delay.

        Closing with unread data would send a reset, which can discard the response
        before the caller reads it.
        """
        self._closing = True
        if self._transport.is_closing():
            return
        try:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, which the event loop will tell next.
            self.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def check_timeouts(self) -> None:
        """Close an idle connection, or reject a request that arrives too slowly."""
        if self._handler_task is not None or self._queue:
            return
        limits = self._listener.limits
        elapsed_s = now() - self._timeout_start_s
        if self._receiver.request is None:
            if elapsed_s > limits.idle_timeout_s or self._listener.closing_idle:
                self.close()
            return
        timeout_s = (
            limits.header_timeout_s
            if self._receiver.reading_head
            else limits.header_timeout_s + limits.idle_timeout_s
        )
        if elapsed_s > timeout_s:
            self.reject(408, "request_timeout")

    def _close_if_draining(self) -> None:
        if self._listener.draining and not self._queue:
            # Requests that were received behind this one get their responses.
            self.close_after_response = True

    def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response.

        Args:
          status: HTTP status.
          headers: Headers without Content-Length, Transfer-Encoding or Connection.
          body: Whole body.

        Raises:
          ResponseStartedError: If the request already has a response.
        """
        if self._transport.is_closing():
            return
        self._response.check_not_started(status)
        self._close_if_draining()
        self._response.send(status, headers, body)

    def start_response(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length.

        Raises:
          ResponseStartedError: If the request already has a response.
        """
        self._response.check_not_started(status)
        self._close_if_draining()
        self._response.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while too many bytes are unsent.

        Raises:
          CallerDisconnectedError: If the connection is closing.
        """
        await self._response.write(data)

    def end_response(self) -> None:
        """End the body of a response of unknown length."""
        self._response.end()

    def abort(self) -> None:
        """Drop the connection, so that a truncated response cannot look complete."""
        self._closing = True
        self._transport.abort()

    def close(self) -> None:
        """Close the connection once buffered data is sent."""
        self._closing = True
        self._transport.close()
