"""HTTP/1.1 server connections, with one request handled at a time on each."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

from cranberrysail.router.clock import now
from cranberrysail.router.httprequest import HttpRequest, RequestReceiver
from cranberrysail.router.httpresponse import ResponseSender, ResponseState
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.memoryaccount import (
    CONNECTION_BYTES,
    HoldingKind,
    MemoryHolding,
)
from cranberrysail.router.model import CallerLimits
from cranberrysail.router.resourcelimits import ResourceLimits, ShedReason

__all__ = [
    "KERNEL_BUFFER_BYTES",
    "ConnectionOwner",
    "ErrorResponder",
    "HttpServerConn",
    "RefusalResponder",
    "RequestHandler",
]

# Pipelined requests queued behind the current one before reading pauses.
MAX_PIPELINED_REQUESTS = 8
# Memory of those requests above which reading pauses, too. A head of 16,384 bytes can
# take 0.5 MB, and one such request may always wait.
MAX_PIPELINED_BYTES = 64 * 1024
# Data in the kernel's buffers in each direction of an accepted connection. They fill if
# this process does not read, or the caller does not. 128 KiB carry 100 Mbit/s over
# 10 ms; the kernel takes up to twice as much for them.
KERNEL_BUFFER_BYTES = 128 * 1024
FULL_KERNEL_BUFFER_BYTES = 2 * KERNEL_BUFFER_BYTES
# Objects of a call besides its request: task, call, timers and the connection to the
# endpoint. An estimate; the task and a bare handler take 1.6 KB.
CALL_BYTES = 8 * 1024
# How long the rest of a rejected request is received and discarded before its
# connection closes.
LINGER_S = 1.0
# Error code of a request that is refused because memory is short.
MEMORY_SHORT = "memory_short"

RequestHandler = Callable[[HttpRequest, "HttpServerConn"], Awaitable[None]]
ErrorResponder = Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]]
# Returns further headers of the response to a request that is refused.
RefusalResponder = Callable[[HttpRequest], list[tuple[bytes, bytes]]]


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it.

    Attributes:
      handler: Handles one request on a connection.
      error_response: Returns headers and body for a status and an error code.
      on_error: Called with each exception that a handler raises.
      refusal_headers: Returns further headers of the response to a refused request.
      name: Name of the listener in log lines.
      resources: Memory and connections, shared with other listeners.
      limits: Size limits and timeouts of requests.
      draining: True if each response closes its connection.
      closing_idle: True if connections are closed as soon as they are idle.
      conns: The open connections.
    """

    handler: RequestHandler
    error_response: ErrorResponder
    on_error: Callable[[BaseException], None]
    refusal_headers: RefusalResponder
    name: str
    resources: ResourceLimits
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
        self._rejection_headers: list[tuple[bytes, bytes]] = []
        self._input_ended = False
        self._timeout_start_s = now()
        self.resources = listener.resources
        self._incoming = MemoryHolding(self._shed_incoming, HoldingKind.INCOMING)
        self._served = MemoryHolding(self._shed_call, HoldingKind.RUNNING)
        self._queued_bytes = 0
        self._reading_paused = False
        # Of the request that is being handled.
        self._request_bytes = 0
        self._unsent_request_bytes = 0
        self._unsent_at_check = 0

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
    def takes_requests(self) -> bool:
        """Return whether there is room for another request in the queue."""
        return (
            len(self._queue) <= MAX_PIPELINED_REQUESTS
            and self._queued_bytes <= MAX_PIPELINED_BYTES
        )

    @property
    def close_after_response(self) -> bool:
        """Return whether the connection closes after the present response."""
        return self._response.close_after_response

    @close_after_response.setter
    def close_after_response(self, close: bool) -> None:
        self._response.close_after_response = close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; close another connection if there are too many."""
        self._transport = transport
        self._response.connect(transport)
        victim = self.resources.connections.accept(self)
        if victim is not None:
            victim.shed(ShedReason.DESCRIPTORS)
        if victim is self:
            return
        self._listener.conns.add(self)
        self._charge_served()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of a caller that disconnected."""
        self._listener.conns.discard(self)
        self.resources.connections.discard(self)
        self._closing = True
        if self._handler_task is not None:
            self._handler_task.cancel()
        self._response.resume()
        self._queue.clear()
        run_isolated(
            self._receiver.discard,
            partial(self.resources.charge, self._incoming, 0),
            partial(self.resources.charge, self._served, 0),
        )

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait for a slow caller."""
        self._response.pause()
        self._set_served_kind(HoldingKind.UNREAD)
        self._charge_served()

    def resume_writing(self) -> None:
        """Wake writers that wait for a slow caller, and go on with its requests."""
        self._response.resume()
        run_isolated(
            partial(self._set_served_kind, HoldingKind.RUNNING),
            self._charge_served,
            self._start_next,
        )

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        self._receiver.feed(data)
        self._update_incoming()

    def _update_incoming(self) -> None:
        """Pause or resume reading, and charge what was received."""
        if (
            self._receiver.is_empty
            and not self._queue
            and not self._incoming.held_bytes
        ):
            # As after most reads: one whole request, which is being handled.
            return
        self._pause_or_resume_reading()
        self._charge_incoming()

    def _pause_or_resume_reading(self) -> None:
        pause = not self.takes_requests and not self.ignores_requests
        if pause is self._reading_paused or self._transport.is_closing():
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _charge_incoming(self) -> None:
        held_bytes = self._queued_bytes + self._receiver.held_bytes
        if self._reading_paused:
            held_bytes += FULL_KERNEL_BUFFER_BYTES
        if not self._closing:
            self.resources.charge(self._incoming, held_bytes)

    def _charge_served(self) -> None:
        if self._closing and not self._served.held_bytes:
            # The connection ends at once, and its memory with it.
            return
        held_bytes = CONNECTION_BYTES + self._request_bytes + self._unsent_request_bytes
        if not self._response.is_writable:
            held_bytes += FULL_KERNEL_BUFFER_BYTES + self._response.unsent_bytes
        self.resources.charge(self._served, held_bytes)

    def _set_served_kind(self, kind: HoldingKind) -> None:
        self.resources.account.set_kind(self._served, kind, now())

    def charge_unsent_request(self, unsent_bytes: int) -> None:
        """Charge the bytes of a request that its endpoint has not read.

        Args:
          unsent_bytes: Their number now.
        """
        if unsent_bytes != self._unsent_request_bytes:
            self._unsent_request_bytes = unsent_bytes
            self._charge_served()

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
        self._queued_bytes += request.held_bytes
        self._start_next()

    @property
    def _can_start(self) -> bool:
        """Return whether a request can be handled now.

        A caller that does not read its responses gets no more of them.
        """
        idle = self._handler_task is None and not self._closing
        return bool(idle and self._queue and self._response.is_writable)

    def _start_next(self) -> None:
        """Handle the next request; go on with the input that waited for its place."""
        if not self._queue:
            return
        started = False
        while self._can_start:
            started = True
            request = self._queue.popleft()
            self._queued_bytes -= request.held_bytes
            if self._incoming.held_bytes:
                # The request is charged once, to what is served from now on.
                self._charge_incoming()
            # An endpoint that does not read leaves a copy of the body here.
            new_bytes = CALL_BYTES + request.held_bytes + len(request.body)
            if self.resources.account.has_room(new_bytes):
                self._start(request)
            else:
                self._refuse(request)
            self._receiver.resume()
        if not started:
            return
        if not self._closing and not self._receiver.is_parsing:
            self._update_incoming()
        if self._handler_task is None:
            self._end_if_nothing_follows()

    def _end_if_nothing_follows(self) -> None:
        """Send the rejection of the last request, or close, after all responses.

        Requests that wait until the caller has read earlier responses come before it.
        """
        if self._closing or self._queue:
            return
        if self._rejection is not None:
            self._send_rejection()
        elif self._input_ended or (self._listener.closing_idle and not self.busy):
            self.close()

    def _refuse(self, request: HttpRequest) -> None:
        """Respond that memory is short to a request that was not passed on."""
        self._report(ShedReason.REFUSED, request.held_bytes)
        headers, body = self._listener.error_response(503, MEMORY_SHORT)
        self._response.begin(request)
        headers = headers + self._listener.refusal_headers(request)
        self.send_response(503, headers, body)
        if self.close_after_response:
            self.close()

    def _start(self, request: HttpRequest) -> None:
        self.resources.connections.request_completed(self)
        self._request_bytes = CALL_BYTES + request.held_bytes
        self._served.since_s = request.arrived_s
        self._charge_served()
        self._response.begin(request)
        self._handler_task = asyncio.ensure_future(
            self._listener.handler(request, self)
        )
        self._handler_task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task) -> None:
        self._handler_task = None
        try:
            self._end_request(task)
        except Exception as exc:
            # Nothing else would end the request or the connection.
            is_sent = self._response.state is ResponseState.ENDED
            run_isolated(
                self.close if is_sent else self.abort,
                partial(self._listener.on_error, exc),
            )

    def _end_request(self, task: asyncio.Task) -> None:
        self._timeout_start_s = now()
        if not self._response.unsent_bytes:
            self.resources.connections.request_ended(self)
        self._request_bytes = self._unsent_request_bytes = 0
        self._charge_served()
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
        if self._handler_task is None:
            self._end_if_nothing_follows()

    def reject(self, status: int, error_code: str) -> None:
        """Respond to an invalid request with an error, after those before it."""
        if self.ignores_requests:
            return
        if self._receiver.request is None and self.busy:
            # No request has begun that could get a response of its own.
            self._input_ended = True
            return
        self._rejection = (status, error_code)
        self._receiver.discard()
        self._charge_incoming()
        if self._handler_task is None and not self._queue:
            self._send_rejection()

    def _send_rejection(self) -> None:
        status, error_code = self._rejection
        headers, body = self._listener.error_response(status, error_code)
        headers = headers + self._rejection_headers
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

    def shed(self, why: str) -> None:
        """Close the connection at once, for the sake of others.

        Args:
          why: Why, for log lines and metrics.
        """
        self._report(why, self._incoming.held_bytes + self._served.held_bytes)
        self.resources.account.charge(self._incoming, 0, now())
        self.resources.account.charge(self._served, 0, now())
        self.abort()

    def _shed_call(self) -> None:
        self.shed(f"memory_{self._served.kind.value}")

    def _shed_incoming(self) -> None:
        """Refuse what was not passed on: an incomplete request, and queued ones."""
        request = self._receiver.request
        if self._closing or (request is None and self._handler_task is None):
            self.shed(f"memory_{self._incoming.kind.value}")
            return
        self._report(f"memory_{self._incoming.kind.value}", self._incoming.held_bytes)
        first = self._queue[0] if self._queue else request
        if self._rejection is None and first is not None:
            self._rejection = (503, MEMORY_SHORT)
            self._rejection_headers = self._listener.refusal_headers(first)
        self._input_ended = True
        self._queue.clear()
        self._queued_bytes = 0
        self._receiver.discard()
        self._pause_or_resume_reading()
        self.resources.account.charge(self._incoming, 0, now())
        if self._handler_task is None:
            self._send_rejection()

    def _report(self, why: str, held_bytes: int) -> None:
        peer = self._transport.get_extra_info("peername")
        client = peer[0] if isinstance(peer, tuple) else ""
        self.resources.report(self._listener.name, client, why, held_bytes)

    def _abort_if_stuck(self) -> None:
        """Drop a connection whose caller reads nothing of what is left to send."""
        unsent_bytes = self._response.unsent_bytes
        if not unsent_bytes or unsent_bytes != self._unsent_at_check:
            self._timeout_start_s = now()
        elif now() - self._timeout_start_s > self._listener.limits.idle_timeout_s:
            self.shed(ShedReason.STUCK)
        self._unsent_at_check = unsent_bytes

    def check_timeouts(self) -> None:
        """Close an idle connection, or reject a request that arrives too slowly."""
        if self._handler_task is not None:
            return
        if self._response.unsent_bytes in (0, self._unsent_at_check):
            # The response was sent, or is not read.
            self.resources.connections.request_ended(self)
        if self._closing or not self._response.is_writable:
            self._abort_if_stuck()
            return
        if self._queue:
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
