"""A planned stop that is lost because a call's timeout ends at the same moment."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standins2.client import Client, Exchange  # noqa: E402
from review.standins2.deployment import (  # noqa: E402
    GRACE_S,
    ZONES,
    Deployment,
    Record,
    Router,
    run_until_told,
)
from review.standins2.wire import serialize  # noqa: E402
from review.standins2.worker import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# srv_grey with "hang all", share 1.0: part of the requests that get no answer.
HANG_SHARE = 0.45 if TROUBLE else 0.0
# Clients that come at once to the router that is to be stopped, and their pauses.
CROWD = 240
PAUSE_S = 0.02
ARRIVE_WITHIN_S = 0.1
TAG_TIMEOUT_MS = 2500
NOTE_TIMEOUT_MS = 10000
# SIGTERM comes this long after the crowd, in the first wave of timeouts, at several
# moments of it. The workers hang until a bit later.
STOP_AFTER_S = (2.7, 2.8, 2.9, 3.0, 3.05, 3.1, 3.1, 3.15)
HANG_ON_S = 0.5
ROUTERS = len(STOP_AFTER_S)
# Clients that were idle since before the SIGTERM use their connections again.
KEPT = 5
REUSE_AFTER_S = 6.9
STABILITY_WINDOW_S = 3.0


class Engines:
    """How the workers answer: streams, of which a part hang for a while.

    Attributes:
      hanging: True while a part of the requests get no answer.
    """

    def __init__(self) -> None:
        """Create sound engines."""
        self.hanging = False
        self._rng = random.Random(6)

    async def run(self, worker: Worker, request, writer) -> None:
        """Run a request: 3 events for a tag, 36 for a note."""
        events, gap_s = (3, 0.01) if "/tag/" in request.start else (36, 0.04)
        if self.hanging and self._rng.random() < HANG_SHARE:
            await asyncio.sleep(60.0)
        await asyncio.sleep(0.01)
        framing = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        headers = worker.headers(request) | framing
        writer.write(serialize("HTTP/1.1 200 OK", headers, None))
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: {'x' * 50}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")


async def crowd_client(router: Router, delay_s: float, until: asyncio.Event) -> Client:
    """Send one request after the other."""
    client = Client(router)
    await asyncio.sleep(delay_s)
    while not until.is_set():
        await client.request("POST", "/tag/1", TAG_TIMEOUT_MS, b"x" * 2400)
        await asyncio.sleep(PAUSE_S)
    return client


async def ended_or(router: Router, until_s: float) -> None:
    """Wait until a process has ended, or until a time."""
    while router.running and time.monotonic() < until_s:
        await asyncio.sleep(0.01)


async def reuse(client: Client) -> Exchange | None:
    """Use a kept connection again, unless the router has closed it."""
    if client.writer is None or client.reader.at_eof():
        return None
    return await client.request("POST", "/note/1", NOTE_TIMEOUT_MS, b"x" * 830)


async def stop_router(
    deployment: Deployment,
    engines: Engines,
    router: Router,
    after_s: float,
    record: Record,
) -> list[Exchange]:
    """Stop a router while a crowd calls it; return the requests that it lost."""
    ids_before = {run[1] for worker in deployment.workers for run in worker.runs}
    kept = [Client(router) for _ in range(KEPT)]
    await asyncio.gather(
        *(c.request("POST", "/note/1", NOTE_TIMEOUT_MS, b"x" * 830) for c in kept)
    )
    until = asyncio.Event()
    engines.hanging = TROUBLE
    rng = random.Random(6)
    crowd = [
        asyncio.ensure_future(
            crowd_client(router, rng.uniform(0, ARRIVE_WITHIN_S), until)
        )
        for _ in range(CROWD)
    ]
    await asyncio.sleep(after_s)
    router.signal(signal.SIGTERM)
    stop_s = time.monotonic()
    reached = {r[1] for w in deployment.workers for r in w.runs} - ids_before
    record.write(f"{router.name}: {len(reached)} requests had reached workers")
    record.write(f"{router.name}: SIGTERM {after_s} s after the crowd")
    await asyncio.sleep(HANG_ON_S)
    engines.hanging = False
    hang_end_s = time.monotonic()
    until.set()
    for task in crowd:
        task.cancel()
    await ended_or(router, stop_s + REUSE_AFTER_S)
    late = [asyncio.ensure_future(reuse(client)) for client in kept]
    await ended_or(router, stop_s + GRACE_S)
    killed = router.running
    if killed:
        router.signal(signal.SIGKILL)
    await router.process.wait()
    record.write(f"{router.name}: {'killed at grace_s' if killed else 'had ended'}")
    lost = []
    for exchange in filter(None, await asyncio.gather(*late)):
        ran = {run[1] for w in deployment.workers for run in w.runs} - ids_before
        passed_on = exchange.id in ran
        record.write(
            f"{router.name}: request {exchange.id} sent {exchange.sent_s - stop_s:.2f} "
            f"s after the SIGTERM, {exchange.sent_s - hang_end_s:.2f} s after the end "
            f"of the hang; passed on: {passed_on}; status {exchange.status} "
            f"{exchange.why}"
        )
        calm = exchange.sent_s - hang_end_s > STABILITY_WINDOW_S
        if passed_on and calm and exchange.kept and exchange.answer is None:
            lost.append(exchange)
    errors = [x for x in router.log.read_text().splitlines() if "internal_error" in x]
    for line in errors:
        record.write(f"{router.name} logged {line}")
    return lost


async def run() -> int:
    """Stop one router after the other; return the exit status."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment()
    engines = Engines()
    lost = []
    try:
        common = {
            "kind": "streaming",
            "service": "servi-modello",
            "session_affinity": True,
            "gap_aim_ms": 250,
        }
        tag = {"name": "tag", "path_prefix": "/tag/", "timeout_ms": TAG_TIMEOUT_MS}
        note = {"name": "note", "path_prefix": "/note/", "timeout_ms": NOTE_TIMEOUT_MS}
        service = {
            "name": "servi-modello",
            "health_check_path": "/health",
            "connection_limit": 370,
            "engine": {"slots": 64},
        }
        await deployment.start_store([common | tag, common | note], [service])
        for number in range(9):
            worker = Worker(f"i-{number}", "servi-modello", ZONES[number % 3])
            worker.slots = 64
            worker.behaviour = engines.run
            await deployment.add_worker(worker)
        for number in range(ROUTERS):
            await deployment.add_router(number)
        for router, after_s in zip(deployment.routers, STOP_AFTER_S, strict=True):
            lost += await stop_router(deployment, engines, router, after_s, record)
    except (OSError, TimeoutError) as exc:
        record.write(f"could not run: {exc!r}")
        return 2
    finally:
        await deployment.close()
    record.write(f"requests lost after a planned stop: {len(lost)}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_until_told(run())))
