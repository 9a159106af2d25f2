"""HTTP client for a store or peer, with a persistent connection for each channel."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cranberrysail.errors import UpstreamError
from cranberrysail.router.httpclient import HttpClientConn, connect
from cranberrysail.router.store import (
    OffsetConflictError,
    OffsetOutOfRangeError,
    StoreError,
)

__all__ = ["HttpStoreClient", "StoreResponse"]

Headers = list[tuple[bytes, bytes]]

# Maximum size of a response. The records of thousands of endpoints take a few
# megabytes, and a router may use 32 MB for all of its control traffic.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Maximum time without data while a response arrives.
READ_TIMEOUT_S = 0.6
# Maximum time for a whole body. Large tables take seconds on a link of a few Mbit/s.
BODY_TIMEOUT_S = 10.0
# HTTP status if the requested records have been dropped, or are not cached by a peer.
STATUS_GONE = 410
# Status of a write under a condition that does not hold.
STATUS_PRECONDITION_FAILED = 412


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """A successful response.

    Attributes:
      headers: Headers, names in lower case.
    """

    headers: Headers
    body: bytes


def _ignore_headers(headers: Headers) -> None:
    """Do nothing; the default callback."""


class HttpStoreClient:
    """Sends requests and reads responses; failed connections are not reused."""

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        on_headers: Callable[[Headers], None] = _ignore_headers,
    ) -> None:
        """Create a client.

        Args:
          address: ``ip:port`` of the server.
          connect_timeout_s: Maximum time to connect, in seconds.
          on_headers: Called with the headers of each response, also of errors.
        """
        self._on_headers = on_headers
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._conns: dict[str, HttpClientConn] = {}

    async def request(
        self, channel: str, method: str, target: str, body: bytes, timeout_s: float
    ) -> StoreResponse:
        """Return a successful response.

        Args:
          channel: Name of the connection; requests on one channel are sequential.
          method: HTTP method.
          target: Path and query.
          body: Body of the request.
          timeout_s: Maximum time until the response begins, in seconds.

        Raises:
          OffsetOutOfRangeError: If the requested records have been dropped, or are not
            cached by a peer.
          OffsetConflictError: If the log does not end at the offset that a write named.
          StoreError: If there is no successful response.
        """
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._send(channel, method, target, body)
            self._on_headers(conn.headers)
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await self._read_body(conn)
        except TimeoutError as exc:
            self._discard(channel)
            raise StoreError(
                f"no response within {timeout_s:.1f} s, or it stopped for "
                f"{READ_TIMEOUT_S} s or did not end within {BODY_TIMEOUT_S:.0f} s"
            ) from exc
        except UpstreamError as exc:
            self._discard(channel)
            raise StoreError(
                f"no response from {self._address} ({exc.reason})"
            ) from exc
        except asyncio.CancelledError:
            self._discard(channel)
            raise

    def _discard(self, channel: str) -> None:
        conn = self._conns.pop(channel, None)
        if conn is not None:
            conn.close()

    async def _send(
        self, channel: str, method: str, target: str, body: bytes
    ) -> HttpClientConn:
        conn = self._conns.get(channel)
        if conn is None or not conn.can_send:
            self._discard(channel)
            conn = await connect(self._address, self._connect_timeout_s)
            self._conns[channel] = conn
        head = f"{method} {target} HTTP/1.1\r\nhost: {self._address}\r\n"
        if method == "POST":
            head += f"content-length: {len(body)}\r\n"
        conn.send(head.encode() + b"\r\n" + body)
        await conn.wait_for_head()
        return conn

    async def _read_body(self, conn: HttpClientConn) -> StoreResponse:
        data = await conn.read_all(MAX_RESPONSE_BYTES, READ_TIMEOUT_S)
        conn.mark_idle()
        if conn.status == STATUS_GONE:
            raise OffsetOutOfRangeError(
                "the requested records have been dropped; read a snapshot", body=data
            )
        if conn.status == STATUS_PRECONDITION_FAILED:
            raise OffsetConflictError(
                "another record was appended since the last read; read again"
            )
        if conn.status != 200:
            raise StoreError(
                f"{self._address} returned status {conn.status}; try again later"
            )
        return StoreResponse(conn.headers, data)

    def close(self) -> None:
        """Close all connections."""
        for channel in list(self._conns):
            self._discard(channel)
