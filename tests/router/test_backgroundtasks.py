"""An exception that nobody foresaw ends neither a router nor a task of it."""

import asyncio
import json

import pytest

from cranberrysail.router.backgroundtasks import MAX_PAUSE_S, BackgroundTasks
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.process import Router
from cranberrysail.router.store import Topic
from tests.router import simulatedfleet
from tests.router.simulatedfleet import SimulatedFleet, make_request
from tests.router.test_process import MemorySettings
from tests.router.test_unreadable_records import ENDPOINT, is_following, start_fleet
from tests.router.virtualloop import run_virtual

TASKS = [
    "admin_timeouts",
    "caller_timeouts",
    "follow_endpoints",
    "follow_operators",
    "follow_routers",
    "load_exchange",
    "maintenance",
    "peer_tables",
    "peer_timeouts",
    "quarantine_exchange",
    "ready_timeouts",
    "register",
    "settings",
    "stored_quarantine",
    "zone_tests",
]
FAILURES = 4


class MemoryLog:
    """Keeps the lines that are written."""

    def __init__(self):
        self.lines = []

    def write(self, kind, **fields):
        self.lines.append((kind, fields))


def fail_task(monkeypatch, name, failures, after_s=0.0):
    """Let a background task of the next router fail; return the names of all."""
    names = []
    start = BackgroundTasks.start

    def start_failing(self, task, run):
        names.append(task)
        left = failures

        async def run_failing():
            nonlocal left
            if left > 0:
                left -= 1
                await asyncio.sleep(after_s)
                raise LookupError("a fault of the test")
            await run()

        start(self, task, run_failing if task == name else run)

    monkeypatch.setattr(BackgroundTasks, "start", start_failing)
    return names


def create_routers_with_settings(monkeypatch):
    """Let routers have settings that may change, as on the platform."""
    monkeypatch.setattr(
        simulatedfleet,
        "Router",
        lambda *args: Router(*args, MemorySettings(args[0])),
    )


def poison(owner, method):
    """Let a method raise an exception if an argument says so."""
    sound = getattr(owner, method)

    def poisoned(*args):
        if "poison" in repr(args):
            raise LookupError("a fault of the test")
        return sound(*args)

    setattr(owner, method, poisoned)


@pytest.mark.parametrize("after_s", [0.0, 0.5])
@pytest.mark.parametrize("name", TASKS)
def test_router_goes_on_after_a_background_task_has_failed(monkeypatch, name, after_s):
    names = fail_task(monkeypatch, name, FAILURES, after_s)
    create_routers_with_settings(monkeypatch)

    async def main(loop):
        world = await start_fleet(loop)
        await world.start_router()
        await asyncio.sleep(5.0)
        router = world.router
        metrics = router._metrics_page()[1].decode()
        return await is_following(world), router.dump()["task_failures"], metrics, world

    following, failures, metrics, world = run_virtual(main)
    assert all(following.values())
    assert failures == {name: FAILURES}
    assert f'task_failures_total{{kind="{name}"}} {FAILURES}' in metrics
    lines = [f for kind, f in world.log_lines if kind == "task_failed"]
    assert [line["task"] for line in lines] == [name] * FAILURES
    assert "run_failing" in lines[0]["where"]
    assert sorted(names) == TASKS


def test_process_goes_on_while_a_background_task_fails_without_end(monkeypatch):
    fail_task(monkeypatch, "quarantine_exchange", 10**6)

    async def main(loop):
        loop.add_signal_handler = lambda *args: None
        world = await start_fleet(loop)
        await world.start_router()
        # The listeners of the fleet are replaced by those of the process.
        process = asyncio.ensure_future(world.router.run())
        await asyncio.sleep(60.0)
        caller = await world.send_and_wait(make_request("/look/1"))
        running = not process.done()
        world.router.request_stop()
        await asyncio.sleep(10.0)
        return caller.status, running, process.done()

    assert run_virtual(main) == (200, True, True)


def test_task_that_fails_at_once_is_not_started_without_a_pause():
    log, metrics = MemoryLog(), RouterMetrics()

    async def main(loop):
        async def run():
            raise LookupError("a fault of the test")

        tasks = BackgroundTasks(log, metrics)
        tasks.start("failing", run)
        await asyncio.sleep(100.0)
        tasks.close()
        await asyncio.sleep(100.0)

    run_virtual(main)
    # Besides the first ones, a failure every five seconds.
    assert 100.0 / MAX_PAUSE_S <= len(log.lines) <= 100.0 / MAX_PAUSE_S + 6
    assert metrics.by_label("task_failures") == {"failing": len(log.lines)}


def test_task_that_is_cancelled_from_within_is_started_again():
    starts = []

    async def main(loop):
        async def run():
            starts.append(loop.time())
            if len(starts) == 1:
                raise asyncio.CancelledError
            await asyncio.sleep(3600.0)

        tasks = BackgroundTasks(MemoryLog(), RouterMetrics())
        tasks.start("cancelled", run)
        await asyncio.sleep(10.0)
        tasks.close()

    run_virtual(main)
    assert len(starts) == 2


@pytest.mark.parametrize(
    ("topic", "key", "target"),
    [
        (Topic.ENDPOINTS, "poison", "endpoints.declare"),
        (Topic.ROUTERS, "poison", "routers.apply"),
        (Topic.ROUTERS, "quarantine/poison", "stored_quarantine.apply"),
        (Topic.OPERATORS, "evacuate/poison", "endpoints.exclude_zone"),
    ],
    ids=["endpoint", "router", "content", "zone"],
)
@pytest.mark.parametrize("before_start", [False, True])
def test_record_whose_application_fails_is_skipped_alone(
    monkeypatch, topic, key, target, before_start
):
    attribute, _, method = target.partition(".")
    value = json.dumps(ENDPOINT).encode()
    init = Router.__init__

    def init_poisoned(router, *args):
        init(router, *args)
        poison(getattr(router.routing_state, attribute), method)

    monkeypatch.setattr(Router, "__init__", init_poisoned)

    async def main(loop):
        world = await start_fleet(loop)
        if before_start:
            world.store.append(topic, key, value)
        await world.start_router()
        world.store.append(topic, key, value)
        return await is_following(world), world.router.dump(), world

    following, dump, world = run_virtual(main)
    assert all(following.values())
    assert dump["records_failed"] > 0
    assert dump["task_failures"] == {}
    failed = [f for kind, f in world.log_lines if kind == "record_failed"]
    assert {line["key"] for line in failed} == {key}


def test_exception_in_a_callback_is_logged_and_counted():
    async def main(loop):
        loop.add_signal_handler = lambda *args: None
        world = SimulatedFleet(loop)
        await world.start_router()
        process = asyncio.ensure_future(world.router.run())
        await asyncio.sleep(0.1)
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0.1)
        process.cancel()
        return world.router.metrics.by_label("internal_errors"), world.log_kinds()

    errors, kinds = run_virtual(main)
    assert errors == {"": 1}
    assert "internal_error" in kinds
