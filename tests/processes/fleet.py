"""Processes of a small fleet: routers as the platform starts them, and endpoints."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tests.processes.httpmessage import ClosedError, read_message, serialize
from tests.processes.logstore import LogStore
from tests.processes.proxy import Proxy

__all__ = ["GRACE_S", "Disturbance", "EndpointProcess", "Fleet", "RouterProcess"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("a", "b", "c")
GRACE_S = 8.0
RESTART_DELAY_S = 0.5
START_TIMEOUT_S = 30.0
SETTINGS = """
node_name = "{name}"
zone = "{zone}"
ip_address = "{ip}"
internal_port_range = [{peers}, {peers}]
note = {note}
[listen_addresses]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
grace_s = 8
cold_overage = 1.5
cold_slack = 5
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
[platform]
address = "{store}"
"""
KEY = "k1"


def make_config(version: int, later: list[str]) -> dict:
    """Return the operators' configuration.

    Args:
      version: Its version.
      later: Names of the routes besides the first ones.
    """
    common = {"host": "h.example", "timeout_ms": 4000, "priority": 1}
    look = {"kind": "idempotent", "max_attempts": 2, "service": "plain"}
    routes = [
        {
            "name": "chat",
            "kind": "streaming",
            "service": "engines",
            "session_affinity": True,
        },
        {"name": "book", "kind": "non_idempotent", "service": "plain"},
        {"name": "look"} | look,
        *({"name": name} | look for name in later),
    ]
    return {
        "version": version,
        "routes": [common | {"path_prefix": f"/{r['name']}/"} | r for r in routes],
        "services": [
            {"name": "engines", "connection_limit": 300, "engine": {"slots": 16}},
            {"name": "plain", "connection_limit": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "guide", "api_keys": [KEY], "priority": 1}],
    }


@dataclass
class Disturbance:
    """A fault, or planned work, on a process or for all.

    Attributes:
      target: Name of the process; empty for all.
      end_s: Time of its end; infinite while it lasts.
    """

    what: str
    target: str
    start_s: float
    end_s: float = float("inf")


@dataclass
class RouterProcess:
    """A router process, which is started again when it ends.

    Attributes:
      ends: Time and exit status of each end that nobody asked for.
      expected_end: True while an end is not the process's own.
      log_path: What all its processes wrote.
      memory_kb: Resident memory of the present process at the last samples.
      descriptors: Its open descriptors at the last samples.
      limits: Further lines of the settings file, such as a table of limits.
    """

    name: str
    zone: str
    ip: str
    front: int
    ready: int
    peers: int
    proxy: Proxy
    settings_path: Path
    log_path: Path
    ends: list[tuple[float, int]] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    expected_end: bool = False
    memory_kb: list[int] = field(default_factory=list)
    descriptors: list[int] = field(default_factory=list)
    notes: int = 0
    limits: str = ""

    def write_settings(self) -> None:
        """Write the settings file, with a change that has no effect."""
        self.notes += 1
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            ip=self.ip,
            peers=self.peers,
            front=self.front,
            ready=self.ready,
            store=self.proxy.address,
            note=self.notes,
        )
        self.settings_path.write_text(text + self.limits, encoding="utf-8")

    def sample(self) -> None:
        """Record memory and descriptors of the process."""
        if self.process is None:
            return
        folder = Path(f"/proc/{self.process.pid}")
        try:
            status = (folder / "status").read_text()
            self.descriptors.append(len(list((folder / "fd").iterdir())))
        except OSError:
            return
        line = next((x for x in status.splitlines() if x.startswith("VmRSS")), "0 0")
        self.memory_kb.append(int(line.split()[1]))


@dataclass
class EndpointProcess:
    """An endpoint process, its entry in the store, and the proxy before it."""

    id: str
    service: str
    zone: str
    proxy: Proxy
    process: asyncio.subprocess.Process
    born_ms: int
    sequence: int = 0
    state: str = "ready"

    def entry(self) -> bytes:
        """Return the next entry of the endpoint."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.proxy.address,
                "zone": self.zone,
                "state": self.state,
                "slots": 16,
                "born": self.born_ms,
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            }
        ).encode()

    def set_mode(self, mode: str) -> None:
        """Change how the endpoint behaves."""
        self.process.stdin.write(f"{mode}\n".encode())


class Fleet:
    """Starts and ends all processes, and keeps what was seen and done.

    Attributes:
      runs: What endpoints ran, as they printed it.
      disturbances: Faults and planned work so far.
    """

    def __init__(self, folder: str) -> None:
        """Create a fleet that is not started.

        Args:
          folder: Folder for settings and logs.
        """
        self._folder = Path(folder)
        # Independent of seeds, which would give suites that run at once the same one.
        rng = random.SystemRandom()
        self._net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        self._tasks: set[asyncio.Task] = set()
        self._stopping = False
        self._addresses = 0
        self.store = LogStore()
        self.routers: list[RouterProcess] = []
        self.endpoints: dict[str, EndpointProcess] = {}
        self.runs: list[dict] = []
        self.disturbances: list[Disturbance] = []

    def spawn(self, coro) -> None:
        """Run a coroutine until the fleet ends."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def disturb(self, what: str, target: str = "") -> Disturbance:
        """Record the start of a fault or of planned work."""
        disturbance = Disturbance(what, target, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def _next_ip(self) -> str:
        self._addresses += 1
        return f"{self._net}.{self._addresses}"

    async def start(self, routers: int) -> None:
        """Start the store, endpoints and routers, and wait until these are ready."""
        await self.store.start(self._next_ip())
        await self.publish(1, [])
        for number in range(6):
            await self.start_endpoint(f"p{number}", "plain", ZONES[number % 3])
            await self.start_endpoint(f"e{number}", "engines", ZONES[number % 3])
        for number in range(routers):
            router = await self._add_router(number)
            self.spawn(self._supervise(router))
        self.spawn(self._sample_forever())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all([await self._is_ready(r) for r in self.routers]):
                await asyncio.sleep(0.1)

    async def start_one_router(self, limits: str) -> RouterProcess:
        """Start the store, one endpoint of each service and one router; return that.

        Args:
          limits: Further lines of its settings file.
        """
        await self.store.start(self._next_ip())
        await self.publish(1, [])
        await self.start_endpoint("p0", "plain", ZONES[0])
        await self.start_endpoint("e0", "engines", ZONES[0])
        router = await self._add_router(0)
        router.limits = limits
        router.write_settings()
        self.spawn(self._supervise(router))
        await self.wait_until_ready(router)
        return router

    async def publish(self, version: int, later: list[str]) -> None:
        """Write a configuration."""
        document = json.dumps(make_config(version, later)).encode()
        await self.store.put("keyed.op", "config", document)

    async def start_endpoint(self, endpoint_id: str, service: str, zone: str) -> None:
        """Start an endpoint process and register it."""
        ip = self._next_ip()
        # The proxy has its port before the other one is chosen.
        proxy = Proxy()
        await proxy.start(ip)
        (port,) = _free_ports(ip, 1)
        proxy.target = f"{ip}:{port}"
        settings = {
            "id": endpoint_id,
            "host": ip,
            "port": port,
            "slots": 16,
            "work_s": 0.03,
            "streams": service == "engines",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "tests" / "processes" / "endpoint.py"),
            json.dumps(settings),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        endpoint = EndpointProcess(
            endpoint_id, service, zone, proxy, process, int(time.time() * 1000)
        )
        self.endpoints[endpoint_id] = endpoint
        await process.stdout.readline()
        self.spawn(self._read_runs(endpoint))
        await self.store.put("keyed.servers", endpoint_id, endpoint.entry())

    async def _read_runs(self, endpoint: EndpointProcess) -> None:
        while line := await endpoint.process.stdout.readline():
            self.runs.append(json.loads(line))

    async def remove_endpoint(self, endpoint_id: str, after_s: float) -> None:
        """Remove the entry of an endpoint, and end its process, after a time."""
        await asyncio.sleep(after_s)
        endpoint = self.endpoints[endpoint_id]
        await self.store.put("keyed.servers", endpoint_id, b"")
        if endpoint.process.returncode is None:
            endpoint.process.kill()
        await endpoint.proxy.close()

    async def _add_router(self, number: int) -> RouterProcess:
        ip = self._next_ip()
        proxy = Proxy(self.store.address)
        await proxy.start(ip)
        front, ready, peers = _free_ports(ip, 3)
        name = f"r{number}"
        router = RouterProcess(
            name,
            ZONES[number % len(ZONES)],
            ip,
            front,
            ready,
            peers,
            proxy,
            self._folder / f"{name}.toml",
            self._folder / f"{name}.log",
        )
        router.write_settings()
        self.routers.append(router)
        return router

    async def _supervise(self, router: RouterProcess) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        _, *arguments = deploy["roles"]["router"]["run"].split(" ")
        env = {
            "CRANBERRYSAIL_NODE_FILE": str(router.settings_path),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(Path(msgspec.__file__).parents[1]),
        }
        while not self._stopping:
            router.memory_kb.clear()
            router.descriptors.clear()
            with router.log_path.open("ab") as log:
                router.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *arguments,
                    cwd=ROOT,
                    env=env,
                    stdout=log,
                    stderr=log,
                    preexec_fn=_reset_signals,
                )
            status = await router.process.wait()
            router.process = None
            if not router.expected_end:
                router.ends.append((time.monotonic(), status))
            await asyncio.sleep(RESTART_DELAY_S)

    async def wait_until_ready(self, router: RouterProcess) -> None:
        """Wait until a router that was ended or started is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready(router):
                await asyncio.sleep(0.05)

    async def _is_ready(self, router: RouterProcess) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(router.ip, router.ready)
                start = "GET /v1/readiness HTTP/1.1"
                writer.write(serialize(start, {"Host": "platform"}, None))
                response = await read_message(reader)
                writer.close()
        except (OSError, ClosedError, TimeoutError):
            return False
        return response.status == 200

    async def _sample_forever(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for router in self.routers:
                router.sample()

    async def close(self) -> None:
        """End all processes that were started."""
        self._stopping = True
        for router in self.routers:
            router.expected_end = True
            if router.process is not None:
                router.process.send_signal(signal.SIGCONT)
                router.process.terminate()
        deadline_s = time.monotonic() + GRACE_S
        while any(r.process for r in self.routers) and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        processes = [r.process for r in self.routers]
        processes += [e.process for e in self.endpoints.values()]
        for process in processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for proxy in [r.proxy for r in self.routers] + [
            e.proxy for e in self.endpoints.values()
        ]:
            await proxy.close()
        self.store.close()


def _reset_signals() -> None:
    """Give a process that is started the default effect of signals."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)


def _free_ports(ip: str, count: int) -> list[int]:
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
