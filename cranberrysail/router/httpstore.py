"""Calls to a store over HTTP, on one kept connection for each kind of call."""

import asyncio

from cranberrysail.errors import UpstreamError
from cranberrysail.router.httpclient import HttpClientConn, connect
from cranberrysail.router.store import StoreError, StoreGapError

__all__ = ["HttpStoreClient"]

# Largest answer; a whole list of thousands of entries is a few megabytes.
MOST_BYTES = 64 * 1024 * 1024
# An answer may take as long as it needs while it comes: a link of a few Mbit/s
# carries large tables in seconds. One that stops for this long has failed.
STALL_S = 0.6
# Status where records were dropped.
GAP = 410


class HttpStoreClient:
    """Carries calls and answers; a connection that fails is not used again."""

    def __init__(self, address: str, connect_s: float) -> None:
        """Create a client.

        Args:
          address: ``ip:port`` of the server.
          connect_s: Longest time to connect, in seconds.
        """
        self._address = address
        self._connect_s = connect_s
        self._conns: dict[str, HttpClientConn] = {}

    async def call(
        self, lane: str, method: str, target: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the body of a good answer.

        Args:
          lane: Calls of one lane follow each other on one connection.
          method: HTTP method.
          target: Path and query.
          body: Body of the request.
          timeout_s: Longest time until the answer begins, in seconds.

        Raises:
          StoreGapError: If the records asked for were dropped.
          StoreError: If there is no good answer.
        """
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._ask(lane, method, target, body)
            return await self._answer(conn)
        except TimeoutError as exc:
            self._drop(lane)
            raise StoreError(
                f"no answer in {timeout_s:.1f} s, or it stopped for {STALL_S} s"
            ) from exc
        except UpstreamError as exc:
            self._drop(lane)
            raise StoreError(f"no answer ({exc.reason})") from exc
        except asyncio.CancelledError:
            self._drop(lane)
            raise

    def _drop(self, lane: str) -> None:
        conn = self._conns.pop(lane, None)
        if conn is not None:
            conn.close()

    async def _ask(
        self, lane: str, method: str, target: str, body: bytes
    ) -> HttpClientConn:
        conn = self._conns.get(lane)
        if conn is None or not conn.usable:
            self._drop(lane)
            conn = await connect(self._address, self._connect_s)
            self._conns[lane] = conn
        head = f"{method} {target} HTTP/1.1\r\nhost: {self._address}\r\n"
        if method == "POST":
            head += f"content-length: {len(body)}\r\n"
        conn.send(head.encode() + b"\r\n" + body)
        await conn.head()
        return conn

    async def _answer(self, conn: HttpClientConn) -> bytes:
        answer = await conn.read_up_to(MOST_BYTES, STALL_S)
        conn.rest()
        if conn.status == GAP:
            raise StoreGapError("the records asked for were dropped; list them anew")
        if conn.status != 200:
            raise StoreError(f"the answer was {conn.status}; try again later")
        return answer

    def close(self) -> None:
        """Close all connections."""
        for lane in list(self._conns):
            self._drop(lane)
