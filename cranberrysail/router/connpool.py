"""Kept connections to endpoints, within what each endpoint takes."""

from collections import Counter
from dataclasses import dataclass, field

from cranberrysail.errors import UpstreamError
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.httpclient import HttpClientConn, connect

__all__ = ["ConnectionPool"]

# An endpoint is in the same region; a new connection takes a few milliseconds.
CONNECT_S = 0.4
# Kept at most this long idle where an endpoint names no time.
IDLE_S = 4.0
# Part of the time that an endpoint names after which a connection is not used.
IDLE_SHARE = 0.6


@dataclass
class ConnectionPool:
    """The connections of one router by endpoint.

    Attributes:
      opened: Number of connections opened.
    """

    opened: int = 0
    _idle: dict[tuple[str, int], list[HttpClientConn]] = field(default_factory=dict)
    _open: Counter = field(default_factory=Counter)

    async def acquire(self, endpoint: Endpoint, most: int) -> HttpClientConn:
        """Return a connection on which nothing is pending.

        Args:
          endpoint: Where it leads.
          most: Connections that this router may have there.

        Raises:
          UpstreamError: If there is none to be had; nothing was sent.
        """
        kept = self._kept(endpoint)
        if kept is not None:
            return kept
        if self._open[endpoint.key] >= max(1, most):
            raise UpstreamError("all connections there are in use", sent=False)
        self._open[endpoint.key] += 1
        try:
            conn = await connect(endpoint.record.address, CONNECT_S)
        except BaseException:
            self._closed(endpoint)
            raise
        self.opened += 1
        return conn

    def _kept(self, endpoint: Endpoint) -> HttpClientConn | None:
        idle = self._idle.get(endpoint.key, [])
        while idle:
            conn = idle.pop()
            if self._fresh(conn):
                return conn
            conn.close()
            self._closed(endpoint)
        return None

    def _fresh(self, conn: HttpClientConn) -> bool:
        keep_s = conn.keep_s * IDLE_SHARE if conn.keep_s else IDLE_S
        return conn.usable and conn.idle_for_s < keep_s

    def _closed(self, endpoint: Endpoint) -> None:
        self._open[endpoint.key] -= 1
        if self._open[endpoint.key] <= 0:
            del self._open[endpoint.key]

    def release(self, endpoint: Endpoint, conn: HttpClientConn) -> None:
        """Keep a connection whose answer was taken whole, or close it."""
        if conn.usable and conn.complete:
            conn.rest()
            self._idle.setdefault(endpoint.key, []).append(conn)
            return
        conn.close()
        self._closed(endpoint)

    def sweep(self, keys: set[tuple[str, int]]) -> None:
        """Close idle connections that are old or lead to no known endpoint.

        Args:
          keys: The known incarnations of endpoints.
        """
        for key, idle in list(self._idle.items()):
            kept = [c for c in idle if key in keys and self._fresh(c)]
            for conn in idle:
                if conn not in kept:
                    conn.close()
                    self._open[key] -= 1
            self._idle[key] = kept
            if not kept:
                del self._idle[key]
        for key in [key for key, count in self._open.items() if count <= 0]:
            del self._open[key]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
