"""HTTP/1.1 listeners, which accept connections and check their timeouts."""

import asyncio
import socket
from collections.abc import Callable

from cranberrysail.router.clock import now
from cranberrysail.router.httprequest import HttpRequest
from cranberrysail.router.httpresponse import (
    CallerDisconnectedError,
    ResponseStartedError,
)
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.model import CallerLimits
from cranberrysail.router.resourcelimits import ResourceLimits
from cranberrysail.router.serverconn import (
    KERNEL_BUFFER_BYTES,
    ErrorResponder,
    HttpServerConn,
    RefusalResponder,
    RequestHandler,
)

__all__ = [
    "CallerDisconnectedError",
    "HttpListener",
    "HttpRequest",
    "HttpServerConn",
    "ResponseStartedError",
]

# Interval of the check for timed-out connections.
TIMEOUT_CHECK_INTERVAL_S = 0.5
# Interval of the check for open connections during shutdown.
SHUTDOWN_POLL_INTERVAL_S = 0.05
# Connections that wait in the kernel to be accepted.
BACKLOG = 1024
# Connections that are accepted in one pass of the event loop. Those above the limit are
# closed in the next pass only, so their number has to be below the reserve.
ACCEPT_BATCH = 32
RETRY_AFTER_HEADERS = [(b"retry-after", b"1")]


class HttpListener:
    """Accepts connections and closes those that time out.

    Attributes:
      limits: Size limits and timeouts of requests; replaced when new tables are
        applied.
      draining: True if each response closes its connection.
      closing_idle: True if connections are closed as soon as they are idle.
    """

    def __init__(
        self,
        handler: RequestHandler,
        error_response: ErrorResponder,
        on_error: Callable[[BaseException], None],
        resources: ResourceLimits | None = None,
        name: str = "",
        refusal_headers: RefusalResponder = lambda request: RETRY_AFTER_HEADERS,
    ) -> None:
        """Create a listener that is not bound yet.

        Args:
          handler: Handles one request on a connection.
          error_response: Returns headers and body for a status and an error code.
          on_error: Called with each exception that a handler raises.
          resources: Memory and connections of the process, shared by its listeners;
            None for limits of its own.
          name: Name of the listener in log lines.
          refusal_headers: Returns further headers of the response to a request that
            is refused because memory is short.
        """
        self.handler = handler
        self.error_response = error_response
        self.on_error = on_error
        self.resources = resources or ResourceLimits()
        self.name = name
        self.refusal_headers = refusal_headers
        self.limits = CallerLimits()
        self.draining = False
        self.closing_idle = False
        self.conns: set[HttpServerConn] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int, tls: object = None) -> int:
        """Listen and return the port.

        Args:
          host: IP address to bind.
          port: Port to bind, or 0 for any free port.
          tls: TLS context, or None for plain TCP.

        Raises:
          OSError: If the port cannot be bound.
        """
        loop = asyncio.get_running_loop()
        tls_options = {}
        if tls is not None:
            tls_options = {
                "ssl": tls,
                "ssl_handshake_timeout": self.limits.header_timeout_s,
            }
        self._server = await loop.create_server(
            lambda: HttpServerConn(self),
            host,
            port,
            backlog=ACCEPT_BATCH,
            **tls_options,
        )
        _set_buffers(self._server.sockets[0])
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def shutdown(self, deadline_s: float) -> None:
        """Stop accepting, wait for open connections to end and abort the rest.

        Args:
          deadline_s: Time at which to stop waiting, on the router's clock.
        """
        self.stop_listening()
        self.closing_idle = True
        self._check_timeouts()
        while self.conns and now() < deadline_s:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        run_isolated(*(conn.abort for conn in self.conns))

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(conn.busy for conn in self.conns)

    async def check_timeouts_forever(self) -> None:
        """Check all connections for timeouts periodically; never returns."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self._check_timeouts()

    def _check_timeouts(self) -> None:
        run_isolated(*(conn.check_timeouts for conn in self.conns))


def _set_buffers(sock: asyncio.trsock.TransportSocket) -> None:
    """Set the kernel's buffers of a listener; accepted connections inherit them.

    The event loop accepts as many connections in one pass as its backlog, which is
    therefore short; the kernel's may be longer.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
    with sock.dup() as duplicate:
        duplicate.listen(BACKLOG)
