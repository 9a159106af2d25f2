"""An event loop with virtual time and connections in memory."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from cranberrysail.router import clock

DELAY_S = 0.001
# Timers of the same moment run in any order; what follows on a link is later.
ORDER_S = 1e-6


class MemoryTransport(asyncio.Transport):
    """One end of a connection; data arrives after a delay, in order."""

    def __init__(self, loop: "VirtualLoop", protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.peer: MemoryTransport | None = None
        self.silent = False
        self.host = ""
        self.written = bytearray()
        self._closing = False
        self._ended = False
        self._paused = False
        self._held: list[bytes] = []
        self._last_s = 0.0

    def _later(self, work: Callable[..., None], *args: Any) -> None:
        """Do something at the other end, after all that was done there before."""
        at_s = max(self.loop.time() + DELAY_S, self._last_s + ORDER_S)
        self._last_s = at_s
        self.loop.call_at(at_s, work, *args)

    def write(self, data: bytes) -> None:
        if self._closing or self._ended:
            return
        self.written += data
        if not self.silent:
            self._later(self.peer._arrive, bytes(data))

    def _arrive(self, data: bytes) -> None:
        if self._ended or self._closing:
            return
        if self._paused:
            self._held.append(data)
            return
        self.protocol.data_received(data)

    def _arrive_eof(self) -> None:
        if self._ended or self._closing:
            return
        if not self.protocol.eof_received():
            self.close()

    def _arrive_reset(self) -> None:
        if not self._ended:
            self._end(ConnectionResetError("reset"))

    def _end(self, exc: Exception | None) -> None:
        if self._ended:
            return
        self._closing = True
        self._ended = True
        self.loop.call_soon(self.protocol.connection_lost, exc)

    def write_eof(self) -> None:
        if not self.silent:
            self._later(self.peer._arrive_eof)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if self._closing:
            return
        self._closing = True
        if not self.silent:
            self._later(self.peer._arrive_eof)
        self._end(None)

    def abort(self) -> None:
        if self._ended:
            return
        if not self.silent:
            self._later(self.peer._arrive_reset)
        self._end(None)

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        held, self._held = self._held, []
        for data in held:
            self.loop.call_soon(self._arrive, data)

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


class MemoryServer:
    """A listener in memory."""

    def __init__(self, loop: "VirtualLoop", address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def close(self) -> None:
        self._loop.servers.pop(self._address, None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time jumps to the next timer once nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 1000.0
        self.servers: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.dark: set[tuple[str, int]] = set()
        self.links: list[MemoryTransport] = []

    def time(self) -> float:
        return self._virtual_s

    def _run_once(self) -> None:
        live = [h for h in self._scheduled if not h._cancelled]
        if not self._ready and live:
            self._virtual_s = max(self._virtual_s, min(h._when for h in live))
        super()._run_once()

    async def create_connection(self, factory, host, port, **kw):
        address = (host, port)
        await asyncio.sleep(DELAY_S)
        if address in self.dark:
            await asyncio.sleep(3600)
        if address not in self.servers:
            raise ConnectionRefusedError(f"nobody listens on {host}:{port}")
        near = MemoryTransport(self, factory())
        far = MemoryTransport(self, self.servers[address]())
        near.peer, far.peer = far, near
        far.host = host
        self.links += [near, far]
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol

    async def create_server(self, factory, host, port, **kw):
        self.servers[host, port] = factory
        return MemoryServer(self, (host, port))


def play(main: Callable[[VirtualLoop], Coroutine]) -> Any:
    """Run a coroutine in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        with clock.replaced(loop.time):
            return loop.run_until_complete(main(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        asyncio.set_event_loop(None)
        loop.close()
