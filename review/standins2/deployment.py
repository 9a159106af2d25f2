"""A small deployment: store, workers, and routers by the deploy file's command."""

import asyncio
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from pathlib import Path

from review.standins2.store import Store
from review.standins2.wire import ReadError, read_head
from review.standins2.worker import Worker

__all__ = ["GRACE_S", "KEY", "Deployment", "Record", "Router", "run_until_told"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("bosco-nord", "vulcano", "colline")
GRACE_S = 8.0
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
START_TIMEOUT_S = 20.0
# The settings of sites/funghi-rete.toml, as the bench's `wire` shows them.
SETTINGS = """
node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "isola"
internal_port_range = [{peers}, {peers}]
seed_nodes = []
first_start = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","places","platform"]
[zones]
bosco-nord = "isola"
vulcano = "isola"
colline = "isola"
[listen_addresses]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
cold_overage = 1.5
cold_slack = 5
[platform]
address = "{store}"
form = "log"
"""


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        """Open the file."""
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        print(line, file=self._file, flush=True)


class Router:
    """A router process."""

    def __init__(self, name: str, zone: str, ip: str, folder: Path) -> None:
        """Create a router that is not started."""
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front, self.ready, self.peers = _free_ports(ip, 3)
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, store_address: str) -> None:
        """Start the process as the deploy file says, and wait until it is ready."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            front=self.front,
            ready=self.ready,
            peers=self.peers,
            store=store_address,
        )
        self.settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        env = {
            "CRANBERRYSAIL_NODE_FILE": str(self.settings),
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["router"]["run"].split(" "),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether the router answers the platform's question with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: platform\r\n\r\n")
                status = (await read_head(reader)).status
                writer.close()
        except (OSError, ReadError, TimeoutError):
            return False
        return status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def stop(self) -> float:
        """Stop as the platform does, and return how long the process ran on.

        SIGTERM, and SIGKILL after the grace time.
        """
        begun_s = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        return time.monotonic() - begun_s


class Deployment:
    """Store, workers and routers on loopback addresses of their own."""

    def __init__(self) -> None:
        """Create a deployment that is not started."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        rng = random.SystemRandom()
        self._net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        self._addresses = 0
        self._version = 0
        self.store = Store()
        self.workers: list[Worker] = []
        self.routers: list[Router] = []

    def next_ip(self) -> str:
        """Return an unused loopback address."""
        self._addresses += 1
        return f"{self._net}.{self._addresses}"

    async def start_store(self, routes: list[dict], services: list[dict]) -> None:
        """Start the store and write the first configuration."""
        await self.store.start(self.next_ip())
        await self.configure(routes, services)

    async def configure(self, routes: list[dict], services: list[dict]) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        common = {"host": HOST, "priority": 1, "max_attempts": 1, "public": False}
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        config = {
            "version": self._version,
            "routes": [common | route for route in routes],
            "services": services,
            "limits": limits,
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
        }
        await self.store.put_json("keyed.op", "config", config)

    async def add_worker(self, worker: Worker) -> Worker:
        """Start a worker and register it."""
        await worker.start(self.next_ip())
        self.workers.append(worker)
        await self.store.put_json("keyed.servers", worker.id, worker.entry())
        return worker

    async def add_router(self, number: int) -> Router:
        """Start a router and wait until it is ready."""
        router = Router(
            f"front-{number}", ZONES[number % 3], self.next_ip(), self.folder
        )
        self.routers.append(router)
        await router.start(self.store.address)
        return router

    async def close(self) -> None:
        """End all processes that were started."""
        for router in self.routers:
            if router.running:
                router.signal(signal.SIGCONT)
                router.process.kill()
                await router.process.wait()
        for worker in self.workers:
            worker.close()
        self.store.close()


async def run_until_told(case: Coroutine[None, None, int]) -> int:
    """Run a case; on SIGTERM end it, with all its processes, and return 2."""
    task = asyncio.ensure_future(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 2


def _free_ports(ip: str, count: int) -> list[int]:
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
