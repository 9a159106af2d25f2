"""A stand-in of a client with a connection that it keeps."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from standins.message import ClosedError, Message, read_message, serialize

__all__ = ["Client", "Outcome"]

_numbers = itertools.count(1)


@dataclass
class Outcome:
    """What a client saw of one request.

    Attributes:
      sent_s: Time at which it was sent.
      kept: True if an earlier request was answered on the same connection.
      answer: The whole answer; None if there was none.
      why: Why there was none.
    """

    request_id: str
    method: str
    target: str
    router: str
    sent_s: float
    kept: bool
    body: bytes = b""
    answer: Message | None = None
    why: str = ""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def succeeded(self) -> bool:
        """Return whether it was answered with a success that bears the seal."""
        if self.answer is None or self.answer.status >= 300:
            return False
        return "cranberrysail-response-seal" in self.answer.headers

    @property
    def closed(self) -> bool:
        """Return whether the connection ended without an answer."""
        return self.answer is None and self.why == "closed"


class Client:
    """Sends one request after the other on one connection while it lasts."""

    def __init__(self, router: str, host: str, port: int, key: str) -> None:
        """Create a client.

        Args:
          router: Name of the router, for the record.
          host: Address of the router for clients.
          port: Its port.
          key: API key.
        """
        self.router = router
        self._address = (host, port)
        self._key = key
        self._streams = None
        self._answered = False

    async def send(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        deadline_s: float = 4.0,
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Send a request and wait for its answer, for the deadline at most."""
        outcome = Outcome(
            f"{next(_numbers):016x}",
            method,
            target,
            self.router,
            time.monotonic(),
            self._streams is not None and self._answered,
            body,
            headers=headers or {},
        )
        try:
            async with asyncio.timeout(deadline_s):
                outcome.answer = await self._exchange(outcome, deadline_s)
            self._answered = True
        except TimeoutError:
            outcome.why = "deadline"
        except ClosedError:
            outcome.why = "closed"
        except OSError as exc:
            outcome.why = f"not connected: {exc}"
        answer = outcome.answer
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return outcome

    async def _exchange(self, outcome: Outcome, deadline_s: float) -> Message:
        if self._streams is None:
            self._answered = False
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        headers = {
            "Host": "course.example",
            "Cranberrysail-Attempt-Id": outcome.request_id,
            "Cranberrysail-Credential": self._key,
            "Cranberrysail-Deadline-Ms": str(int(deadline_s * 1000)),
        } | outcome.headers
        start = f"{outcome.method} {outcome.target} HTTP/1.1"
        body = outcome.body if outcome.method != "GET" else None
        try:
            writer.write(serialize(start, headers, body))
            await writer.drain()
        except ConnectionError as exc:
            raise ClosedError(False) from exc
        return await read_message(reader)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None
