"""A small deployment: routers as the platform starts them, workers and a store."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.client import Client, Outcome
from standins.message import ClosedError, read_message, serialize
from standins.store import Store

__all__ = ["CannotRunError", "Deployment", "Router", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("bosco-nord", "vulcano", "colline")
KEY = "key-of-the-first-tenant"
TENANT = "guide"
HEARTBEAT_S = 1.2
# Delay after which the platform starts a process again that has ended.
RESTART_DELAY_S = 1.0
# Time for all routers to say that they are ready.
START_TIMEOUT_S = 20.0
GRACE_S = 8.0
# Time after a start, with a margin, from which on rules with a time bound hold.
STABILITY_WINDOW_S = 3.5
SETTINGS = """
node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "isola"
internal_port_range = [{internal}, {internal_end}]
seed_nodes = []
first_start = true
counted_in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = {contracts}
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
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stability_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
cap_x = 2
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "places",
    "platform",
]
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "manual",
            "host": "course.example",
            "path_prefix": "/manual/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": "models",
            "max_attempts": 1,
            "public": False,
            "session_affinity": True,
            "stream_resumption": False,
            "gap_aim_ms": 250,
        },
        {
            "name": "enrol",
            "host": "course.example",
            "path_prefix": "/enrol/",
            "kind": "non_idempotent",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
            "priority": 2,
            "service": "courses",
            "max_attempts": 1,
            "public": False,
        },
        {
            "name": "places",
            "host": "course.example",
            "path_prefix": "/places/",
            "kind": "idempotent",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
            "priority": 2,
            "service": "courses",
            "max_attempts": 2,
            "public": False,
        },
    ],
    "services": [
        {
            "name": "models",
            "health_check_path": "/health",
            "connection_limit": 370,
            "protocol": "h1",
            "transport_layer_security": False,
            "cold_start_s": 3.0,
            "cold_per_s": 16.0,
            "engine": {"slots": 64, "kv_cache_tokens": 660267},
        },
        {
            "name": "courses",
            "health_check_path": "/health",
            "connection_limit": 110,
            "protocol": "h1",
            "transport_layer_security": False,
            "cold_start_s": 0.0,
            "cold_per_s": 0.0,
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
}


class CannotRunError(Exception):
    """The case could not be set up."""


def _free_ports(ip: str, count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


@dataclass
class Router:
    """A router process, which the platform starts again when it ends.

    Attributes:
      ends: Time and exit status of each end that the platform did not ask for.
      starts: Time of each start.
      stopping: True once the case ends.
    """

    name: str
    zone: str
    ip: str
    front: int
    ready: int
    settings: Path
    log: Path
    ends: list[tuple[float, int]] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    stopping: bool = False


@dataclass
class Worker:
    """A worker process and its entry in the store."""

    id: str
    service: str
    zone: str
    address: str
    slots: int
    process: asyncio.subprocess.Process
    killed: bool = False


class Deployment:
    """Starts and ends all processes of a case, and keeps its record."""

    def __init__(self, folder: Path) -> None:
        """Create a deployment without starting it.

        Args:
          folder: Folder of the case, in which ``record.txt`` is written.
        """
        self.started_s = time.monotonic()
        self.store = Store()
        self.routers: list[Router] = []
        self.workers: dict[str, Worker] = {}
        self.runs: list[dict] = []
        self.outcomes: list[Outcome] = []
        self.failures: list[BaseException] = []
        self.on_router_started: Callable[[Router], Awaitable[None]] | None = None
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._temp = tempfile.TemporaryDirectory()
        self._tasks: set[asyncio.Task] = set()
        self._net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._store_address = ""

    def write(self, what: str, **fields: object) -> None:
        """Write a line of the record."""
        at = f"{time.monotonic() - self.started_s:8.3f}"
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{at} {what} {text}\n")

    def say(self, text: str) -> None:
        """Write a line of the record and print it."""
        self.write("note", text=text)
        print(text, flush=True)

    def spawn(self, coro) -> asyncio.Task:
        """Run a coroutine until the case ends."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def start_store(self) -> None:
        """Start the store, and write the configuration."""
        ip = f"{self._net}.2"
        (port,) = _free_ports(ip, 1)
        await self.store.start(ip, port)
        self._store_address = f"{ip}:{port}"
        await self.store.put("keyed.op", "config", json.dumps(CONFIG).encode())

    async def start_worker(
        self, worker_id: str, service: str, zone: str, slots: int, **settings: float
    ) -> Worker:
        """Start a worker, which registers itself once it listens."""
        ip = f"{self._net}.{100 + len(self.workers)}"
        (port,) = _free_ports(ip, 1)
        settings = settings | {"id": worker_id, "host": ip, "port": port}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "standins" / "worker.py"),
            json.dumps(settings | {"slots": slots}),
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        worker = Worker(worker_id, service, zone, f"{ip}:{port}", slots, process)
        self.workers[worker_id] = worker
        if not await process.stdout.readline():
            raise CannotRunError(f"worker {worker_id} did not start")
        self.spawn(self._read_runs(worker))
        await self.register(worker)
        return worker

    async def register(self, worker: Worker) -> None:
        """Write the entry of a worker."""
        entry = {
            "service": worker.service,
            "address": worker.address,
            "zone": worker.zone,
            "version": "v1",
            "slots": worker.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": int(time.time() * 1000),
            "sequence": 1,
        }
        await self.store.put("keyed.servers", worker.id, json.dumps(entry).encode())

    async def _read_runs(self, worker: Worker) -> None:
        while line := await worker.process.stdout.readline():
            run = json.loads(line)
            self.runs.append(run)
            self.write("worker", **run)

    def crash_worker(self, worker: Worker) -> None:
        """Kill a worker; its entry expires after three heartbeats."""
        worker.killed = True
        worker.process.kill()
        self.write("crashed", worker=worker.id)
        self.spawn(self._expire(worker))

    async def _expire(self, worker: Worker) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.put("keyed.servers", worker.id, b"")

    def add_router(self, number: int) -> Router:
        """Prepare a router with its settings file."""
        ip = f"{self._net}.{10 + number}"
        front, ready, internal = _free_ports(ip, 3)
        zone = ZONES[number % len(ZONES)]
        name = f"front-{zone}-{1 + number // len(ZONES)}"
        folder = Path(self._temp.name)
        settings = folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                internal=internal,
                internal_end=internal + 3,
                contracts=json.dumps(CONTRACTS),
                front=front,
                ready=ready,
                store=self._store_address,
            ),
            encoding="utf-8",
        )
        log = folder / f"{name}.log"
        router = Router(name, zone, ip, front, ready, settings, log)
        self.routers.append(router)
        return router

    def start_router(self, router: Router) -> None:
        """Start a router, and again whenever it ends."""
        self.spawn(self._supervise(router))

    async def _supervise(self, router: Router) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        words = deploy["roles"]["router"]["run"].split(" ")
        passed = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed if name in os.environ}
        env |= {
            "CRANBERRYSAIL_NODE_FILE": str(router.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        while not router.stopping:
            with router.log.open("ab") as log:
                router.process = await asyncio.create_subprocess_exec(
                    *words, cwd=ROOT, env=env, stdout=log, stderr=log
                )
            router.starts.append(time.monotonic())
            self.write("router_started", router=router.name, pid=router.process.pid)
            if self.on_router_started is not None:
                self.spawn(self.on_router_started(router))
            status = await router.process.wait()
            router.process = None
            self.write("router_ended", router=router.name, status=status)
            if not router.stopping:
                router.ends.append((time.monotonic(), status))
                await asyncio.sleep(RESTART_DELAY_S)

    async def is_ready(self, router: Router) -> bool:
        """Ask a router whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(router.ip, router.ready)
                request = "GET /v1/readiness HTTP/1.1"
                writer.write(serialize(request, {"Host": "platform"}, None))
                answer = await read_message(reader)
                writer.close()
        except (OSError, ClosedError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until all routers say that they are ready.

        Raises:
          CannotRunError: If they do not in time.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all([await self.is_ready(router) for router in self.routers]):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("not all routers became ready")

    async def wait_until_in_touch(self) -> None:
        """Wait until all routers are ready, and have run long enough for all rules.

        Raises:
          CannotRunError: If they are not ready in time.
        """
        await self.wait_until_ready()
        in_touch_s = max(r.starts[-1] for r in self.routers) + STABILITY_WINDOW_S
        await asyncio.sleep(max(0.0, in_touch_s - time.monotonic()))

    def client(self, router: Router) -> Client:
        """Return a client whose connection the platform forwards to a router."""
        return Client(router.name, router.ip, router.front, KEY)

    async def send(self, client: Client, *args, **options) -> Outcome:
        """Send a request and record what the client saw."""
        outcome = await client.send(*args, **options)
        self.outcomes.append(outcome)
        answer = outcome.answer
        self.write(
            "client",
            router=outcome.router,
            id=outcome.request_id,
            method=outcome.method,
            target=outcome.target,
            sent=f"{outcome.sent_s - self.started_s:.3f}",
            kept=outcome.kept,
            status=answer.status if answer else "none",
            why=outcome.why or "-",
        )
        return outcome

    def lost(self) -> list[Outcome]:
        """Return requests of kept connections that ended without an answer.

        Only those count that were passed on to a worker which had not crashed.
        """
        sound = {
            run["id"]
            for run in self.runs
            if run["did"] == "run" and not self.workers[run["worker"]].killed
        }
        return [
            o for o in self.outcomes if o.closed and o.kept and o.request_id in sound
        ]

    def summary(self) -> dict[str, int]:
        """Return how the requests of clients ended."""
        return dict(
            Counter(
                str(o.answer.status) if o.answer else f"no answer ({o.why})"
                for o in self.outcomes
            )
        )

    def report_ends(self) -> None:
        """Say how often routers ended by themselves, and what they wrote last."""
        for router in self.routers:
            statuses = [status for _, status in router.ends]
            self.say(f"{router.name} ended by itself {len(statuses)} times {statuses}")
            if router.ends and router.log.exists():
                lines = router.log.read_text("utf-8", "replace").splitlines()
                errors = [line for line in lines if not line.startswith("{")]
                for line in errors[-6:]:
                    self.write("router_error", router=router.name, line=line.strip())

    async def close(self) -> None:
        """End all processes that were started."""
        for router in self.routers:
            router.stopping = True
            if router.process is not None:
                router.process.terminate()
        deadline_s = time.monotonic() + GRACE_S
        while time.monotonic() < deadline_s and any(r.process for r in self.routers):
            await asyncio.sleep(0.1)
        for router in self.routers:
            if router.process is not None:
                router.process.kill()
        for worker in self.workers.values():
            if worker.process.returncode is None:
                worker.process.kill()
            await worker.process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._record.close()
        self._temp.cleanup()


Case = Callable[[Deployment, bool], Awaitable[bool]]


async def _run(case: Case, folder: Path) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(folder)
    task = asyncio.current_task()
    # A handled signal has its default effect in the processes that are started, also
    # where whoever runs the case ignores it, as nohup does.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        deployment.say(f"trouble={int(trouble)}")
        broken = await case(deployment, trouble)
        if deployment.failures:
            raise CannotRunError(f"a stand-in failed: {deployment.failures[0]!r}")
        deployment.say("the rule was broken" if broken else "the rule held")
    except (CannotRunError, OSError) as exc:
        deployment.say(f"could not run: {exc}")
        return 2
    finally:
        await deployment.close()
    return 1 if broken else 0


def run_case(case: Case, folder: Path) -> int:
    """Run a case and return its exit status.

    Args:
      case: Plays the case on a deployment, with or without the disruption, and returns
        whether the rule was broken.
      folder: Folder of the case.
    """
    return asyncio.run(_run(case, folder))
