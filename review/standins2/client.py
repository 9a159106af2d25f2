"""A client that keeps its connection and notes what it sent and was answered."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from review.standins2.deployment import HOST, KEY, Router
from review.standins2.wire import Message, ReadError, read_message, serialize

__all__ = ["Client", "Exchange"]

_numbers = itertools.count(1)


@dataclass
class Exchange:
    """One request and what came of it.

    Attributes:
      kept: True if the connection had carried a request before.
      sent_s: Time at which its last byte was written.
      ended_s: Time of the answer, or of the connection's end.
      answer: The whole answer, None if there was none.
      why: Why there was none.
    """

    id: str
    path: str
    kept: bool
    sent_s: float = 0.0
    ended_s: float = 0.0
    answer: Message | None = None
    why: str = ""

    @property
    def status(self) -> int:
        """Return the status, 0 without an answer."""
        return self.answer.status if self.answer else 0


class Client:
    """One connection to a router, opened as needed.

    Attributes:
      exchanges: All requests so far.
    """

    def __init__(self, router: Router) -> None:
        """Create a client without a connection."""
        self.router = router
        self.exchanges: list[Exchange] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.used = False

    async def connect(self) -> None:
        """Open a connection, for which a client allows one second."""
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                self.router.ip, self.router.front
            )
        self.used = False

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Exchange:
        """Send a request and wait for its answer until the deadline."""
        exchange = Exchange(f"{next(_numbers):016x}", path, self.used)
        self.exchanges.append(exchange)
        head = {
            "Host": HOST,
            "Cranberrysail-Attempt-Id": exchange.id,
            "Cranberrysail-Deadline-Ms": str(deadline_ms),
            "Cranberrysail-Credential": KEY,
        }
        exchange.sent_s = time.monotonic()
        try:
            if self.writer is None:
                await self.connect()
                exchange.kept = False
            start = f"{method} {path} HTTP/1.1"
            data = serialize(start, head | (headers or {}), body or None)
            self.writer.write(data)
            exchange.sent_s = time.monotonic()
            # The answer at the deadline may take some time to arrive.
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                exchange.answer = await read_message(self.reader)
            self.used = True
        except TimeoutError:
            exchange.why = "nothing until the deadline"
        except ReadError as exc:
            exchange.why = f"closed: {exc}"
        except OSError as exc:
            exchange.why = f"not connected: {exc!r}"
        exchange.ended_s = time.monotonic()
        answer = exchange.answer
        if answer is None or answer.headers.get("connection", "") == "close":
            self.close()
        return exchange
