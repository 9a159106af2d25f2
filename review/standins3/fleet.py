"""Routers as the platform starts them, and clients that call them.

Needs the build of the deploy file, from whose folder the routers take their libraries.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from review.standins3.store import Store
from review.standins3.wire import ClosedError, Response, read_response, request

ROOT = Path(__file__).resolve().parents[2]
HOST = "h.example"
KEY = "key-of-guide"
GRACE_S = 8.0
SETTINGS = """
node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "isola"
internal_port_range = [{peers}, {peers}]
first_start = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "tenants", "places", "platform"]
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
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
[platform]
address = "{store}"
form = "log"
"""


class Recorder:
    """Writes what was sent, answered and run, a line of JSON each."""

    def __init__(self, path: Path) -> None:
        """Create the file, or empty it."""
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def __call__(self, what: str, **fields: object) -> None:
        """Write a line."""
        at_s = round(time.monotonic() - self._start_s, 4)
        self._file.write(json.dumps({"at_s": at_s, "what": what} | fields) + "\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


class Router:
    """A router process."""

    def __init__(self, name: str, zone: str, ip: str, store: Store, folder: Path):
        """Choose free ports and write the settings file."""
        self.name = name
        self.ip = ip
        self.front, self.ready, self.peers = _free_ports(ip, 3)
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            front=self.front,
            ready=self.ready,
            peers=self.peers,
            store=store.address,
        )
        self._settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        _, *arguments = deploy["roles"]["router"]["run"].split(" ")
        env = {
            "CRANBERRYSAIL_NODE_FILE": str(self._settings),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness page says so."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(request("GET", "/v1/readiness", {"Host": HOST}, b""))
                found = await read_response(reader)
                writer.close()
        except (OSError, ClosedError, TimeoutError):
            return False
        return found.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until it is ready, for 20 seconds at most."""
        async with asyncio.timeout(20.0):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End the process: SIGTERM, and SIGKILL after the grace time."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            async with asyncio.timeout(GRACE_S + 1.0):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """The store, the routers, and what clients send."""

    def __init__(self, recorder: Recorder) -> None:
        """Create a fleet that is not started."""
        rng = random.SystemRandom()
        self.net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.routers: list[Router] = []
        self.record = recorder
        self._number = 0

    async def start(self, zones: str, config: dict[str, object]) -> None:
        """Start the store and a router for each letter, which is its zone."""
        await self.store.start(f"{self.net}.1")
        self.store.put("keyed.op", "config", config)
        for number, zone in enumerate(zones):
            ip = f"{self.net}.{10 + number}"
            self.routers.append(Router(f"r{number}", zone, ip, self.store, self.folder))
        for router in self.routers:
            await router.start()

    async def wait_until_ready(self) -> None:
        """Wait until all routers are ready."""
        await asyncio.gather(*(router.wait_until_ready() for router in self.routers))

    def next_id(self) -> str:
        """Return the id of a new client attempt."""
        self._number += 1
        return f"{self._number:016x}"

    async def call(
        self,
        router: Router,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        deadline_s: float = 4.0,
        connection: list | None = None,
    ) -> tuple[str, Response | None]:
        """Send one request; return its id and the response, None without one.

        Args:
          router: The router.
          method: HTTP method.
          target: Path and query.
          body: Body of the request.
          headers: Further headers.
          deadline_s: How long the client waits.
          connection: Reader and writer of a kept connection, or an empty list into
            which a new one is put; None for one that is used once.
        """
        request_id = self.next_id()
        all_headers = {
            "Host": HOST,
            "Cranberrysail-Attempt-Id": request_id,
            "Cranberrysail-Credential": KEY,
            "Cranberrysail-Deadline-Ms": str(int(deadline_s * 1000)),
        } | (headers or {})
        self.record("sent", id=request_id, router=router.name, target=target)
        kept = connection if connection is not None else []
        found: Response | None = None
        why = ""
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                if not kept:
                    kept += await asyncio.open_connection(router.ip, router.front)
                kept[1].write(request(method, target, all_headers, body))
                found = await read_response(kept[0])
        except (OSError, ClosedError, TimeoutError) as exc:
            why = type(exc).__name__
        closes = found is None or found.headers.get("connection", "") == "close"
        if kept and (connection is None or closes or not found.whole):
            kept[1].transport.abort()
            kept.clear()
        self.record(
            "answered",
            id=request_id,
            status=found.status if found else 0,
            whole=found.whole if found else False,
            sealed="cranberrysail-response-seal" in found.headers if found else False,
            why=why,
        )
        return request_id, found

    async def close(self) -> None:
        """End all processes that were started."""
        await asyncio.gather(*(router.stop() for router in self.routers))
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(ip: str, count: int) -> list[int]:
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
