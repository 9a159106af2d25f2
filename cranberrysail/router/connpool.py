"""Pool of keep-alive connections to endpoints, with a limit for each endpoint."""

from collections import Counter
from dataclasses import dataclass, field

from cranberrysail.errors import UpstreamError
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.httpclient import HttpClientConn, connect

__all__ = ["ConnectionPool"]

# Endpoints are in the same region, where a connect takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Idle timeout of connections to endpoints that announce none.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Fraction of an announced idle timeout after which a connection is not reused, since
# the endpoint may be about to close it.
IDLE_TIMEOUT_FRACTION = 0.6


@dataclass
class ConnectionPool:
    """The connections of one router to its endpoints.

    Attributes:
      opened: Number of connections opened so far.
    """

    opened: int = 0
    _idle: dict[tuple[str, int], list[HttpClientConn]] = field(default_factory=dict)
    _open_counts: Counter = field(default_factory=Counter)
    _open: dict[tuple[str, int], set[HttpClientConn]] = field(default_factory=dict)

    async def acquire(self, endpoint: Endpoint, max_connections: int) -> HttpClientConn:
        """Return an idle connection, or open one.

        Args:
          endpoint: The endpoint to connect to.
          max_connections: This router's limit for the endpoint; below 1 counts as 1.

        Raises:
          UpstreamError: If the limit is reached or the connect fails; nothing was
            sent.
        """
        idle_conn = self._pop_idle(endpoint)
        if idle_conn is not None:
            return idle_conn
        if self._open_counts[endpoint.incarnation] >= max(1, max_connections):
            raise UpstreamError("connection limit for the endpoint reached", sent=False)
        self._open_counts[endpoint.incarnation] += 1
        try:
            conn = await connect(endpoint.record.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._decrement_open(endpoint)
            raise
        self.opened += 1
        self._open.setdefault(endpoint.incarnation, set()).add(conn)
        return conn

    def is_connected(self, endpoint: Endpoint) -> bool:
        """Return whether a connection to an endpoint is open, idle or in use."""
        return any(conn.is_open for conn in self._open.get(endpoint.incarnation, ()))

    def _pop_idle(self, endpoint: Endpoint) -> HttpClientConn | None:
        idle = self._idle.get(endpoint.incarnation, [])
        while idle:
            conn = idle.pop()
            if self._is_reusable(conn):
                return conn
            self._close(endpoint, conn)
        return None

    def _is_reusable(self, conn: HttpClientConn) -> bool:
        max_idle_s = (
            conn.idle_timeout_s * IDLE_TIMEOUT_FRACTION
            if conn.idle_timeout_s
            else DEFAULT_IDLE_TIMEOUT_S
        )
        return conn.can_send and conn.idle_for_s < max_idle_s

    def _close(self, endpoint: Endpoint, conn: HttpClientConn) -> None:
        conn.close()
        self._forget(endpoint.incarnation, conn)
        self._decrement_open(endpoint)

    def _forget(self, incarnation: tuple[str, int], conn: HttpClientConn) -> None:
        conns = self._open.get(incarnation)
        if conns is None:
            return
        conns.discard(conn)
        if not conns:
            del self._open[incarnation]

    def _decrement_open(self, endpoint: Endpoint) -> None:
        self._open_counts[endpoint.incarnation] -= 1
        if self._open_counts[endpoint.incarnation] <= 0:
            del self._open_counts[endpoint.incarnation]

    def release(self, endpoint: Endpoint, conn: HttpClientConn) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if conn.can_send and conn.complete:
            conn.mark_idle()
            self._idle.setdefault(endpoint.incarnation, []).append(conn)
            return
        self._close(endpoint, conn)

    def sweep(self, incarnations: set[tuple[str, int]]) -> None:
        """Close idle connections that expired or whose endpoint is no longer known.

        Args:
          incarnations: Ids and start times of the known endpoints.
        """
        for incarnation, idle in list(self._idle.items()):
            reusable = [
                c for c in idle if incarnation in incarnations and self._is_reusable(c)
            ]
            for conn in idle:
                if conn not in reusable:
                    conn.close()
                    self._forget(incarnation, conn)
                    self._open_counts[incarnation] -= 1
            self._idle[incarnation] = reusable
            if not reusable:
                del self._idle[incarnation]
        for incarnation in [i for i, count in self._open_counts.items() if count <= 0]:
            del self._open_counts[incarnation]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
