"""A router on the real event loop, with endpoints on raw sockets at loopback addresses.

Scripts of endpoints run in the router's own thread. What a script does without waiting
is seen by the router at once, so the order of events is the same in each run.
"""

import asyncio
import random
import selectors
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cranberrysail.platform.headers import PlatformHeaderCodec
from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.process import Router
from cranberrysail.router.retrybudget import RetryBound
from tests.router.simulatedfleet import (
    CALLERS_PORT,
    SEAL,
    Caller,
    SimulatedFleet,
    Worker,
    make_config,
    make_request,
)

__all__ = [
    "PART",
    "STEP_S",
    "Ending",
    "EndpointSocket",
    "RealFleet",
    "call",
    "head",
    "length",
    "run_real",
]

PART = b"part of a body"
# Time in which the router sees what happened before.
STEP_S = 0.05

ENDPOINT_PORT = 8100
# Receive buffer of endpoints, of which the kernel doubles the size. Together with the
# router's send buffer (4 MiB) it does not hold all of LONG_BODY_BYTES.
RECEIVE_BUFFER_BYTES = 16 * 1024
RECV_BYTES = 64 * 1024
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 8 * 1024 * 1024,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}

Script = Callable[["EndpointSocket"], Awaitable[None]]


class WriterFirstSelector(selectors.DefaultSelector):
    """Reports that a socket can be read only while it cannot be written to.

    The event loop calls readers before writers, so with other selectors a reset is
    mostly seen by the reader first.
    """

    def select(self, timeout=None):
        both = selectors.EVENT_READ | selectors.EVENT_WRITE
        return [
            (key, selectors.EVENT_WRITE if events & both == both else events)
            for key, events in super().select(timeout)
        ]


class EndpointSocket:
    """An endpoint's side of one connection.

    Attributes:
      received: All bytes of the router so far.
      ended: True once the router has ended the connection.
    """

    def __init__(self, conn: socket.socket) -> None:
        self._conn = conn
        self.received = b""
        self.ended = False

    async def _receive(self) -> None:
        try:
            data = await asyncio.get_running_loop().sock_recv(self._conn, RECV_BYTES)
        except ConnectionError:
            data = b""
        self.received += data
        self.ended = not data

    async def read_head(self) -> None:
        """Read until the head of a request was received."""
        while b"\r\n\r\n" not in self.received and not self.ended:
            await self._receive()

    async def read_request(self) -> None:
        """Read a whole request."""
        await self.read_head()
        head, _, body = self.received.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        missing = length - len(body)
        while missing > 0 and not self.ended:
            before = len(self.received)
            await self._receive()
            missing -= len(self.received) - before

    async def read_on(self) -> None:
        """Read until the router ends the connection."""
        while not self.ended:
            await self._receive()

    def send(self, data: bytes) -> None:
        """Send data, which must fit into the socket's buffer."""
        assert self._conn.send(data) == len(data)

    def end_input(self) -> None:
        """Send an end of input (FIN); the connection stays open."""
        self._conn.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """End the connection with a reset."""
        linger = struct.pack("ii", 1, 0)
        self._conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def close(self) -> None:
        """Close the connection; the kernel resets it if there are unread bytes."""
        self._conn.close()


class RealFleet:
    """A router, and one endpoint of each service that answers as scripted.

    Attributes:
      conns: Connections of the router to endpoints, in the order of their requests.
      log_lines: Kind and fields of each log line of the router.
    """

    def __init__(self, scripts: list[Script]) -> None:
        self._scripts = iter(scripts)
        # Independent of seeds, which would give suites that run at once the same one.
        rng = random.SystemRandom()
        self._net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        self._tasks: list[asyncio.Task] = []
        self._listeners: list[socket.socket] = []
        self.conns: list[EndpointSocket] = []
        self.log_lines: list[tuple[str, dict]] = []

    async def start(self) -> None:
        """Start endpoints and router."""
        records = SimulatedFleet(None)
        records.write_config(make_config(limits=LIMITS))
        for number, service in enumerate(("engines", "engines", "plain", "plain")):
            host = f"{self._net}.{10 + number}"
            self._listen(host)
            worker = Worker(f"w{number}", service, f"{host}:{ENDPOINT_PORT}", None)
            records.workers[worker.name] = worker
            records.write_declaration(worker)
        host = f"{self._net}.1"
        cfg = RouterConfig(
            "r1",
            "a",
            f"{host}:{CALLERS_PORT}",
            f"{host}:8001",
            f"{host}:8002",
            "store",
            f"{host}:8003",
            repeats=RetryBound(0.2, 50, 10.0),
        )
        store = records.store.view_for("r1")
        self._router = Router(cfg, store, PlatformDecoder(), PlatformHeaderCodec())
        self._router.log.write = lambda kind, **f: self.log_lines.append((kind, f))
        await self._router.start()
        async with asyncio.timeout(10.0):
            while not self._router.ready or len(self._router.endpoints) < 4:
                await asyncio.sleep(0.02)

    def _listen(self, host: str) -> None:
        listener = socket.create_server((host, ENDPOINT_PORT))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        self._listeners.append(listener)
        self._tasks.append(asyncio.create_task(self._accept(listener)))

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            conn, _ = await asyncio.get_running_loop().sock_accept(listener)
            conn.setblocking(False)
            endpoint = EndpointSocket(conn)
            self._tasks.append(asyncio.create_task(self._answer(endpoint)))

    async def _answer(self, endpoint: EndpointSocket) -> None:
        await endpoint.read_head()
        if endpoint.ended:
            return
        self.conns.append(endpoint)
        await next(self._scripts)(endpoint)

    async def call(self, data: bytes, within_s: float = 10.0) -> Caller:
        """Send a request, wait for a response and return the caller."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(Caller, f"{self._net}.1", CALLERS_PORT)
        caller.transport.write(data)
        await caller.answer(within_s)
        caller.transport.close()
        return caller

    def stop(self) -> None:
        """End the router and the endpoints."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()
        self._router.listener.stop_listening()
        self._router.close()


def run_real(scripts, scenario, writer_first=False):
    """Run a scenario with a fleet whose endpoints answer in turn as scripted.

    Args:
      scripts: What endpoints do when the head of a request was received.
      scenario: Coroutine function that is given the fleet.
      writer_first: True to let writers see the end of a connection before readers.
    """

    async def main():
        fleet = RealFleet(scripts)
        try:
            await fleet.start()
            return await scenario(fleet)
        finally:
            fleet.stop()

    selector = WriterFirstSelector() if writer_first else None
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector)
    ) as runner:
        return runner.run(main())


def head(framing=b"", status_line=b"HTTP/1.1 200 OK", attempt=b"a1"):
    """Return a response head.

    Args:
      framing: Header lines by which the body is delimited, each with its line end.
      status_line: Status line, without its line end.
      attempt: Id of the request.
    """
    echo = b"Cranberrysail-Attempt-Id: " + attempt + b"\r\n"
    return status_line + b"\r\n" + echo + SEAL.encode() + framing + b"\r\n"


def length(body):
    """Return the header line of a length."""
    return b"Content-Length: %d\r\n" % len(body)


def call(
    script, path="/book/1", upload=0, writer_first=False, further=(), attempt="a1"
):
    """Return a caller after its call, and the fleet."""

    async def scenario(fleet):
        data = make_request(path, body=b"u" * upload, attempt=attempt)
        return await fleet.call(data), fleet

    return run_real([script, *further], scenario, writer_first)


@dataclass(frozen=True)
class Ending:
    """How an endpoint ends a connection after a part of its response.

    Attributes:
      steps: Names of methods of the endpoint's socket, or ``wait``.
    """

    steps: tuple[str, ...]

    def after(self, data, read="read_head"):
        """Return a script that reads, sends data and ends the connection.

        Args:
          data: What is sent.
          read: Name of the method that reads.
        """

        async def script(endpoint):
            await getattr(endpoint, read)()
            endpoint.send(data)
            for step in self.steps:
                if step == "wait":
                    await asyncio.sleep(STEP_S)
                elif step == "read_on":
                    await endpoint.read_on()
                else:
                    getattr(endpoint, step)()

        return script
