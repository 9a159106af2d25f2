"""A worker as PROTOCOL.md describes it, which runs in the process of the script."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from review.standins2.wire import Message, ReadError, read_message, serialize

__all__ = ["Worker"]

Behaviour = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[None]]


async def answer(worker: "Worker", request: Message, writer) -> None:
    """Run a request for the usual time and answer it with its own id as body."""
    await asyncio.sleep(worker.work_s)
    worker.send(request, writer, request.headers["cranberrysail-attempt-id"].encode())


class Worker:
    """Serves one request at a time on a connection.

    Attributes:
      runs: Time, attempt id and body length of each request that it began to run.
      ended: Time and attempt id of each request that it ran to its end.
      behaviour: Runs a request and answers it.
      work_s: Time for which a request runs.
    """

    def __init__(self, worker_id: str, service: str, zone: str) -> None:
        """Create a worker that does not listen yet."""
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.slots = 6
        self.work_s = 0.06
        self.behaviour: Behaviour = answer
        self.runs: list[tuple[float, str, int]] = []
        self.ended: list[tuple[float, str]] = []
        self.running = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0, backlog=512)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def entry(self) -> dict[str, object]:
        """Return the next entry for the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self._born,
            "sequence": self._sequence,
        }

    def headers(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        request_id = request.headers.get("cranberrysail-attempt-id", "")
        return {
            "Cranberrysail-Attempt-Id": request_id,
            "Cranberrysail-Response-Seal": f"seal.{request_id}",
            "Cranberrysail-Server-Load": f"{self.running},0,{self.slots}",
        }

    def send(self, request: Message, writer, body: bytes) -> None:
        """Send a success."""
        writer.write(serialize("HTTP/1.1 200 OK", self.headers(request), body))

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                expected = request.headers.get("cranberrysail-expected-instance")
                if expected not in (None, self.id):
                    headers = {"Cranberrysail-Instance-Id": self.id}
                    writer.write(serialize("HTTP/1.1 421 Misdirected", headers))
                    continue
                await self._run(request, reader, writer)
        except (ReadError, OSError):
            pass
        finally:
            writer.close()

    async def _run(self, request: Message, reader, writer) -> None:
        request_id = request.headers.get("cranberrysail-attempt-id", "")
        self.runs.append((time.monotonic(), request_id, len(request.body)))
        self.running += 1
        work = asyncio.ensure_future(self.behaviour(self, request, writer))
        # Most workers drop a request when its connection closes.
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ReadError("the connection closed while the request ran")
            await work
            await writer.drain()
            self.ended.append((time.monotonic(), request_id))
        finally:
            self.running -= 1
            work.cancel()
            if gone.done() and not gone.cancelled():
                raise ReadError("the connection closed")
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
