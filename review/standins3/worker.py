"""A stand-in of a worker, with its heartbeats.

It can crash, and start again under its id and address, cold for a time.
"""

import asyncio
import time
from collections.abc import Callable

from review.standins3.store import Store
from review.standins3.wire import ClosedError, Request, read_request, response

HEARTBEAT_S = 1.2


class Worker:
    """A worker that answers each request after the same work.

    Attributes:
      arrivals: Times of the requests that were for this worker, ids included.
      cold_until_s: Time until which it is cold.
      cold_limit: Requests within one second at which it crashes while it is cold.
      crashed_s: Time of its last crash.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        zone: str,
        store: Store,
        record: Callable[..., None],
    ) -> None:
        """Create a worker that is not started."""
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.address = ""
        self.arrivals: list[tuple[float, str]] = []
        self.cold_until_s = 0.0
        self.cold_limit = float("inf")
        self.work_s = 0.02
        self.slots = 64
        self.crashed_s = 0.0
        self.is_up = False
        self.state = "ready"
        self._store = store
        self._record = record
        self._born_ms = 0
        self._sequence = 0
        self._written: dict[str, object] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self, ip: str, cold_s: float = 0.0, beat_after_s: float = 0.0):
        """Listen, and write the first heartbeat after a time."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._born_ms = int(time.time() * 1000)
        self._sequence, self._written = 0, {}
        self.cold_until_s = time.monotonic() + cold_s
        self.is_up = True
        self._record("worker starts", id=self.id, born=self._born_ms, cold_s=cold_s)
        self._beats = asyncio.ensure_future(self._beat(beat_after_s))

    async def _beat(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    @property
    def entry(self) -> dict[str, object]:
        """Return the entry that was written last, with its sequence."""
        return self._written | {"sequence": self._sequence}

    def write_entry(self) -> None:
        """Write the entry, if more than its sequence has changed."""
        self._sequence += 1
        cold_s = max(0.0, self.cold_until_s - time.monotonic())
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": int(cold_s * 1000),
            "born": self._born_ms,
        }
        if entry == self._written:
            return
        self._written = entry
        sequence = self._sequence
        self._store.put("keyed.servers", self.id, entry | {"sequence": sequence})
        self._record("entry", id=self.id, **entry, sequence=sequence)

    def crash(self) -> None:
        """End at once: connections are reset, and heartbeats stop."""
        self.is_up = False
        self.crashed_s = time.monotonic()
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record("worker crashes", id=self.id)

    async def _serve(self, reader, writer) -> None:
        if not self.is_up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            # The stand-in ends with its connections.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Request) -> bytes:
        request_id = request.headers.get("cranberrysail-attempt-id", "")
        headers = {"Cranberrysail-Attempt-Id": request_id}
        if request.headers.get("cranberrysail-expected-instance") != self.id:
            return response(421, headers, b"")
        self.arrivals.append((time.monotonic(), request_id))
        self._record("run", worker=self.id, id=request_id)
        if self._is_overloaded():
            self.crash()
            raise ClosedError("the worker has crashed")
        await asyncio.sleep(self.work_s)
        headers["Cranberrysail-Response-Seal"] = f"seal.{request_id}"
        return response(200, headers, request_id.encode() * 20)

    def _is_overloaded(self) -> bool:
        now_s = time.monotonic()
        lately = sum(at_s > now_s - 1.0 for at_s, _ in self.arrivals[-200:])
        return now_s < self.cold_until_s and lately >= self.cold_limit

    def close(self) -> None:
        """End without a record."""
        if self.is_up:
            self.crash()
