"""Routers with simulated callers, workers and a store, in virtual time."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from cranberrysail.platform.headers import PlatformHeaderCodec
from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.router.coldlimit import ColdBound
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.memorystore import MemoryStore
from cranberrysail.router.process import Router
from cranberrysail.router.retrybudget import RetryBound
from cranberrysail.router.rolloutmodel import RolloutBound
from cranberrysail.router.store import Topic

CALLERS_PORT = 8000
SEAL = "Cranberrysail-Response-Seal: s\r\n"


def make_config(version: int = 1, **changes) -> dict:
    """Return the operators' configuration, with a route of each kind."""
    route = {"host": "h.example", "timeout_ms": 4000, "service": "engines"}
    document = {
        "version": version,
        "routes": [
            {
                **route,
                "name": "chat",
                "path_prefix": "/chat/",
                "kind": "streaming",
                "max_attempts": 1,
            },
            {
                **route,
                "name": "resumable",
                "path_prefix": "/resumable/",
                "kind": "streaming",
                "stream_resumption": True,
                "max_attempts": 2,
            },
            {
                **route,
                "name": "book",
                "path_prefix": "/book/",
                "kind": "non_idempotent",
                "service": "plain",
            },
            {
                **route,
                "name": "look",
                "path_prefix": "/look/",
                "kind": "idempotent",
                "service": "plain",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "engines",
                "connection_limit": 300,
                "cold_per_s": 10.0,
                "engine": {"slots": 64},
            },
            {"name": "plain", "connection_limit": 100},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "guide", "api_keys": ["k1"], "priority": 1}],
    }
    return document | changes


@dataclass
class ReceivedRequest:
    """A request that a worker received."""

    at_s: float
    path: str
    headers: dict[str, str]
    body: bytes


class WorkerConn(asyncio.Protocol):
    """The server side of a connection to a simulated worker."""

    def __init__(self, worker: "Worker") -> None:
        self.worker = worker
        self.parser = httptools.HttpRequestParser(self)
        self.open = True

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.worker.conns.append(self)

    def connection_lost(self, exc) -> None:
        self.open = False
        if self.worker.cancels_on_disconnect:
            for task in self.worker.tasks.get(self, []):
                task.cancel()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = b""
        self.path = b""

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        loop = asyncio.get_running_loop()
        received = ReceivedRequest(
            loop.time(), self.path.decode(), self.headers, self.body
        )
        self.worker.requests.append(received)
        task = loop.create_task(self.worker.answer(self, received))
        self.worker.tasks.setdefault(self, []).append(task)

    def reply(self, status: int, extra: str, body: bytes, attempt: str | None) -> None:
        """Send a complete response."""
        echo = f"Cranberrysail-Attempt-Id: {attempt}\r\n" if attempt else ""
        head = f"HTTP/1.1 {status} X\r\n{echo}{extra}Content-Length: {len(body)}\r\n"
        self.transport.write(head.encode() + b"\r\n" + body)


async def plain_answer(conn: WorkerConn, received: ReceivedRequest) -> None:
    """Respond after 50 ms with a fixed body."""
    await asyncio.sleep(0.05)
    conn.reply(200, SEAL, b"fine", received.headers["cranberrysail-attempt-id"])


async def stream_answer(conn: WorkerConn, received: ReceivedRequest) -> None:
    """Stream the events, three in all, that follow the last one received."""
    attempt = received.headers["cranberrysail-attempt-id"]
    conn.transport.write(
        (
            f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
    )
    for number in range(int(received.headers.get("last-event-id", 0)) + 1, 4):
        await asyncio.sleep(0.1)
        event = f"id: {number}\ndata: part {number}\n\n".encode()
        conn.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
    conn.transport.write(b"0\r\n\r\n")


Answer = Callable[[WorkerConn, ReceivedRequest], asyncio.Future]


@dataclass
class Worker:
    """A simulated worker.

    Attributes:
      answer: Responds to each received request.
      born: Number of its incarnation.
      sequence: Sequence number of its latest declaration.
      cold_ms: Time until it is warm, as declared.
      version: Version of its software, as declared.
      cancels_on_disconnect: True if it stops work when the connection closes.
    """

    name: str
    service: str
    address: str
    answer: Answer
    zone: str = "a"
    slots: int = 6
    version: str = "v1"
    born: int = 1
    sequence: int = 0
    cold_ms: int = 0
    state: str = "ready"
    cancels_on_disconnect: bool = True
    requests: list[ReceivedRequest] = field(default_factory=list)
    conns: list[WorkerConn] = field(default_factory=list)
    tasks: dict[WorkerConn, list[asyncio.Task]] = field(default_factory=dict)

    def next_declaration(self) -> bytes:
        """Return the next declaration of the worker for the store."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": self.cold_ms,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()


class Caller(asyncio.Protocol):
    """A simulated caller on one connection."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False
        self.was_reset = False
        self._changed = asyncio.Event()

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self._changed.set()

    def connection_lost(self, exc) -> None:
        self.closed = True
        self.was_reset = exc is not None
        self._changed.set()

    @property
    def is_complete(self) -> bool:
        """Return whether a complete response has been received."""
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return False
        if b"transfer-encoding: chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        length = head.partition(b"content-length: ")[2].split(b"\r\n")[0]
        if not length and b"connection: close" in head:
            return self.closed and not self.was_reset
        return len(body) >= int(length or 0)

    async def answer(self, within_s: float = 20.0) -> bytes:
        """Wait for a complete response or the end of the connection."""
        async with asyncio.timeout(within_s):
            while not self.is_complete and not self.closed:
                self._changed.clear()
                await self._changed.wait()
        return self.data

    @property
    def status(self) -> int:
        """Return the status of the response, 0 if there is none."""
        return int(self.data.split(b" ", 2)[1]) if self.data else 0


def make_request(path: str, attempt: str = "a1", body: bytes = b"", **headers) -> bytes:
    """Return a caller's request."""
    fields = {
        "Host": "h.example",
        "Cranberrysail-Attempt-Id": attempt,
        "Cranberrysail-Credential": "k1",
        "Cranberrysail-Deadline-Ms": "4000",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class SimulatedFleet:
    """Routers, their store and their workers.

    Attributes:
      router: The router that was started first.
      routers: All routers by name.
      log_lines: Kind and fields of each log line of all routers.
    """

    def __init__(self, loop) -> None:
        self.loop = loop
        self.store = MemoryStore()
        self.workers: dict[str, Worker] = {}
        self.router: Router | None = None
        self.routers: dict[str, Router] = {}
        self.log_lines: list[tuple[str, dict]] = []

    def add_worker(self, name: str, service: str, answer: Answer, **kw) -> Worker:
        """Start a worker and write its first declaration."""
        address = f"10.0.1.{len(self.workers) + 1}:80"
        worker = Worker(name, service, address, answer, **kw)
        self.workers[name] = worker
        self.listen(worker)
        self.write_declaration(worker)
        return worker

    def listen(self, worker: Worker) -> None:
        """Let a worker accept connections."""
        host, _, port = worker.address.partition(":")
        self.loop.servers[host, int(port)] = lambda: WorkerConn(worker)

    def write_declaration(self, worker: Worker) -> None:
        """Write a worker's next declaration to the store."""
        self.store.append(Topic.ENDPOINTS, worker.name, worker.next_declaration())

    def write_config(self, document: dict) -> None:
        """Write the operators' configuration to the store."""
        self.store.append(Topic.OPERATORS, "config", json.dumps(document).encode())

    async def start_router(
        self,
        wait_s: float = 2.0,
        name: str = "r1",
        host: str = "10.0.0.1",
        relays: bool = True,
        zone: str = "a",
        rollout: RolloutBound | None = None,
    ) -> Router:
        """Start a router and wait until it has read the store."""
        cfg = RouterConfig(
            name,
            zone,
            f"{host}:{CALLERS_PORT}",
            f"{host}:8001",
            f"{host}:8002",
            "store",
            f"{host}:8003",
            relays=relays,
            cold=ColdBound(1.5, 5),
            repeats=RetryBound(0.2, 50, 10.0),
            rollout=rollout,
        )
        store = self.store.view_for(name)
        router = Router(cfg, store, PlatformDecoder(), PlatformHeaderCodec())
        # Choices among endpoints are random; tests have the same ones each time.
        router.selector.rng = random.Random(len(self.routers))
        router.log.write = lambda kind, **f: self.log_lines.append((kind, f))
        self.router = self.router or router
        self.routers[name] = router
        await router.start()
        await asyncio.sleep(wait_s)
        return router

    def kill(self, router: Router, host: str) -> None:
        """End a router abruptly, with its listeners and connections."""
        for address in [a for a in self.loop.servers if a[0] == host]:
            del self.loop.servers[address]
        for transport in self.loop.transports:
            if transport.host == host:
                transport.abort()
        router.close()

    async def send(self, data: bytes, host: str = "10.0.0.1") -> Caller:
        """Send a request on a new connection, without waiting for the response."""
        _, caller = await self.loop.create_connection(Caller, host, CALLERS_PORT)
        caller.transport.write(data)
        return caller

    async def send_and_wait(self, data: bytes, within_s: float = 20.0) -> Caller:
        """Send a request on a new connection and wait for the response."""
        caller = await self.send(data)
        await caller.answer(within_s)
        return caller

    def log_kinds(self) -> list[str]:
        """Return the kinds of all log lines."""
        return [kind for kind, _ in self.log_lines]
