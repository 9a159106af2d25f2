"""An event loop with virtual time and in-memory connections."""

import asyncio
import heapq
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

from cranberrysail.router import clock

LATENCY_S = 0.001
# Timers due at the same time run in any order, so successive deliveries of a
# connection are spaced by this.
DELIVERY_SPACING_S = 1e-6


class MemorySocket:
    """The options of an in-memory connection."""

    def __init__(self) -> None:
        self.resets_on_close = False

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        if option == socket.SO_LINGER:
            enabled, seconds = struct.unpack("ii", value)
            self.resets_on_close = bool(enabled and not seconds)

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return nothing: there is no kernel that knows of the connection."""
        return b""

    def dup(self) -> socket.socket:
        raise OSError("the connection has no socket")


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection; data arrives after a delay, in order.

    As with a socket, the other end sees the same if a connection is closed or aborted,
    unless the socket option is set by which that resets it.
    """

    def __init__(self, loop: "VirtualLoop", protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.peer: MemoryTransport | None = None
        self.drops_writes = False
        self.socket = MemorySocket()
        self.host = ""
        self.written = bytearray()
        self._closing = False
        self._finished = False
        self._paused = False
        self._buffered: list[bytes] = []
        self._last_delivery_s = 0.0

    def _schedule_delivery(self, callback: Callable[..., None], *args: Any) -> None:
        """Call back at the other end, after all earlier deliveries."""
        latency_s = LATENCY_S
        if self.host and self.loop.response_delay_s is not None:
            latency_s += self.loop.response_delay_s()
        at_s = max(
            self.loop.time() + latency_s, self._last_delivery_s + DELIVERY_SPACING_S
        )
        self._last_delivery_s = at_s
        self.loop.call_at(at_s, callback, *args)

    def write(self, data: bytes) -> None:
        if self._closing or self._finished:
            return
        self.written += data
        if not self.drops_writes:
            self._schedule_delivery(self.peer._receive, bytes(data))

    def _receive(self, data: bytes) -> None:
        if self._finished or self._closing:
            return
        if self._paused:
            self._buffered.append(data)
            return
        if not data:
            self._receive_eof()
            return
        self.protocol.data_received(data)

    def _receive_eof(self) -> None:
        if self._finished or self._closing:
            return
        if self._paused:
            self._buffered.append(b"")
            return
        if not self.protocol.eof_received():
            self.close()

    def _receive_reset(self) -> None:
        if not self._finished:
            self._finish(ConnectionResetError("reset"))

    def _finish(self, exc: Exception | None) -> None:
        if self._finished:
            return
        self._closing = True
        self._finished = True
        self.loop.call_soon(self.protocol.connection_lost, exc)

    def write_eof(self) -> None:
        if not self.drops_writes:
            self._schedule_delivery(self.peer._receive_eof)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._end()

    def abort(self) -> None:
        if self._finished:
            return
        self._end()

    def reset(self) -> None:
        """Abort the connection, which the other end sees as a reset."""
        self.socket.resets_on_close = True
        self.abort()

    def _end(self) -> None:
        resets = self.socket.resets_on_close
        if not self.drops_writes:
            self._schedule_delivery(
                self.peer._receive_reset if resets else self.peer._receive_eof
            )
        self._finish(None)

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self.loop.call_soon(self._receive, data)

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.socket if name == "socket" else default


class MemoryServer:
    """An in-memory listener."""

    def __init__(self, loop: "VirtualLoop", address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def setsockopt(self, level: int, option: int, value: int) -> None:
        pass

    def dup(self) -> "MemoryServer":
        return self

    def __enter__(self) -> "MemoryServer":
        return self

    def __exit__(self, *exc: object) -> None:
        pass

    def listen(self, backlog: int) -> None:
        pass

    def close(self) -> None:
        self._loop.servers.pop(self._address, None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances to the next timer when nothing is ready.

    Attributes:
      servers: Protocol factories by the address that they listen on.
      unreachable: Addresses at which connection attempts get no response.
      transports: Both ends of all connections.
      response_delay_s: Returns the additional time until what a listener's end sends
        arrives, in seconds; None for no delay.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 1000.0
        self.servers: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.unreachable: set[tuple[str, int]] = set()
        self.transports: list[MemoryTransport] = []
        self.response_delay_s: Callable[[], float] | None = None

    def time(self) -> float:
        return self._virtual_s

    def _run_once(self) -> None:
        # As the base class does, which keeps cancelled timers until they are due.
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready and self._scheduled:
            self._virtual_s = max(self._virtual_s, self._scheduled[0]._when)
        super()._run_once()

    async def create_connection(self, factory, host, port, **kw):
        address = (host, port)
        await asyncio.sleep(LATENCY_S)
        if address in self.unreachable:
            await asyncio.sleep(3600)
        if address not in self.servers:
            raise ConnectionRefusedError(f"no listener on {host}:{port}")
        client = MemoryTransport(self, factory())
        server = MemoryTransport(self, self.servers[address]())
        client.peer, server.peer = server, client
        server.host = host
        self.transports += [client, server]
        server.protocol.connection_made(server)
        client.protocol.connection_made(client)
        return client, client.protocol

    async def create_server(self, factory, host, port, **kw):
        self.servers[host, port] = factory
        return MemoryServer(self, (host, port))


def run_virtual(main: Callable[[VirtualLoop], Coroutine]) -> Any:
    """Run a coroutine in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        with clock.use_time_source(loop.time):
            return loop.run_until_complete(main(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        asyncio.set_event_loop(None)
        loop.close()
