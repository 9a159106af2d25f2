"""Endpoints that say in their responses that they leave, or want no requests now."""

import asyncio

import pytest

from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.model import EndpointRecord
from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
    stream_answer,
)
from tests.router.virtualloop import run_virtual

NOT_EXECUTED = "Cranberrysail-Not-Executed: 1\r\n"
LEAVING = "Server-Leaving: 1\r\n"


class Wishes:
    """Answers calls, and says what the endpoint wants as long as it is set."""

    def __init__(self, status=200, extra=""):
        self.status = status
        self.extra = extra
        self.active = True

    async def __call__(self, conn, received):
        attempt = received.headers["cranberrysail-attempt-id"]
        if not self.active:
            await plain_answer(conn, received)
        elif self.status == 200:
            conn.reply(200, SEAL + self.extra, b"fine", attempt)
        else:
            conn.reply(self.status, self.extra, b"", attempt)


def run_calls(scenario, answer, other=plain_answer):
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", answer)
        if other is not None:
            world.add_worker("p1", "plain", other)
        await world.start_router()
        return await scenario(world)

    return run_virtual(main)


async def send_calls(world, count, path="/look/", pause_s=0.05):
    """Send calls one after the other and return the statuses."""
    statuses = []
    for number in range(count):
        request = make_request(f"{path}{number}", f"c{world.loop.time()}-{number}")
        statuses.append((await world.send_and_wait(request)).status)
        await asyncio.sleep(pause_s)
    return statuses


async def call_until_received(world, name="p0"):
    """Send calls until a worker has received one."""
    while not world.workers[name].requests:
        await send_calls(world, 1)


def received_after(world, started_s, name="p0"):
    requests = world.workers[name].requests
    return sum(request.at_s > started_s for request in requests)


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        (200, LEAVING),
        (500, SEAL + LEAVING),
        (503, NOT_EXECUTED + LEAVING),
        (404, LEAVING),
    ],
)
def test_endpoint_that_says_it_leaves_gets_nothing_new(status, extra):
    async def main(world):
        await call_until_received(world)
        started_s = world.loop.time()
        world.write_declaration(world.workers["p0"])
        statuses = await send_calls(world, 40)
        return statuses, received_after(world, started_s)

    statuses, received = run_calls(main, Wishes(status, extra))
    assert statuses == [200] * 40
    assert received == 0


def test_endpoint_that_left_does_not_return_by_its_entry_while_the_store_is_away():
    async def main(world):
        await call_until_received(world)
        started_s = world.loop.time()
        world.store.down = True
        await asyncio.sleep(1.0)
        world.store.append(Topic.ENDPOINTS, "p0", None)
        world.write_declaration(world.workers["p0"])
        world.store.down = False
        await asyncio.sleep(2.0)
        await send_calls(world, 40)
        return received_after(world, started_s)

    assert run_calls(main, Wishes(200, LEAVING)) == 0


def test_endpoint_that_left_returns_as_a_new_incarnation():
    async def main(world):
        await call_until_received(world)
        worker = world.workers["p0"]
        worker.answer.active = False
        worker.born, worker.sequence = 2, 0
        world.write_declaration(worker)
        await asyncio.sleep(1.5)
        started_s = world.loop.time()
        await send_calls(world, 40)
        return received_after(world, started_s)

    assert run_calls(main, Wishes(200, LEAVING)) > 0


def test_stream_of_an_endpoint_that_leaves_goes_on_to_its_end():
    async def answer(conn, received):
        write = conn.transport.write

        def write_leaving(data):
            write(data.replace(b"\r\n\r\n", b"\r\n" + LEAVING.encode() + b"\r\n", 1))
            conn.transport.write = write

        conn.transport.write = write_leaving
        await stream_answer(conn, received)

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("e0", "engines", answer, slots=64)
        await world.start_router()
        caller = await world.send_and_wait(make_request("/chat/1"))
        second = await world.send_and_wait(make_request("/chat/2", "a2"))
        state = world.router.endpoints.get("e0").state.value
        return caller.status, caller.data.count(b"data: part"), state, second.status

    assert run_virtual(main) == (200, 3, "draining", 503)


def test_endpoint_that_wants_a_pause_gets_nothing_until_its_end():
    async def main(world):
        await call_until_received(world)
        started_s = world.loop.time()
        statuses = await send_calls(world, 30)
        during = received_after(world, started_s)
        await asyncio.sleep(started_s + 4.0 - world.loop.time())
        world.workers["p0"].answer.active = False
        await send_calls(world, 30)
        return statuses, during, received_after(world, started_s)

    pause = Wishes(503, NOT_EXECUTED + "Retry-After: 3.5\r\n")
    statuses, during, in_all = run_calls(main, pause)
    assert statuses == [200] * 30
    assert during == 0
    assert in_all > 0


def test_pause_is_extended_but_not_shortened():
    directory = EndpointDirectory()
    directory.declare(EndpointRecord("a", 1, 1, "s", "10.0.0.1:80", "z", 4), 0.0)
    endpoint = directory.get("a")
    for until_s in (2.0, 1.0, 4.0, 3.0):
        directory.said_pause(endpoint, 0.0, until_s)
    assert [endpoint.takes_requests(at_s) for at_s in (1.0, 3.9, 4.0)] == [
        False,
        False,
        True,
    ]


@pytest.mark.parametrize(("declared_s", "takes"), [(2.0, False), (4.0, True)])
def test_pause_holds_for_a_new_incarnation_that_may_have_said_it(declared_s, takes):
    directory = EndpointDirectory()
    directory.declare(EndpointRecord("a", 1, 1, "s", "10.0.0.1:80", "z", 4), 0.0)
    directory.said_pause(directory.get("a"), 0.5, 9.0)
    record = EndpointRecord("a", 2, 1, "s", "10.0.0.1:80", "z", 4)
    directory.declare(record, declared_s)
    assert directory.get("a").takes_requests(5.0) is takes


def test_leaving_holds_for_a_new_incarnation_that_may_have_said_it():
    """Guards against calls to an endpoint that said that it leaves."""
    directory = EndpointDirectory()
    directory.declare(EndpointRecord("a", 1, 1, "s", "10.0.0.1:80", "z", 4), 0.0)
    directory.said_leaving(directory.get("a"), 0.5)
    directory.declare(EndpointRecord("a", 2, 1, "s", "10.0.0.1:80", "z", 4), 1.5)
    # The reported call came 2.5 s after the response.
    taking = [e for e in directory.usable("s") if e.takes_requests(3.0)]
    assert taking == []


def test_call_is_refused_at_once_while_all_endpoints_pause():
    async def main(world):
        await send_calls(world, 2)
        received = len(world.workers["p0"].requests)
        started_s = world.loop.time()
        caller = await world.send_and_wait(make_request("/book/9", "b9"))
        elapsed_s = world.loop.time() - started_s
        again = len(world.workers["p0"].requests) - received
        return caller.status, b"retry-after: " in caller.data, elapsed_s, again

    pause = Wishes(503, NOT_EXECUTED + "Retry-After: 5\r\n")
    status, has_retry_after, elapsed_s, again = run_calls(main, pause, other=None)
    assert (status, has_retry_after, again) == (503, True, 0)
    assert elapsed_s < 0.05


def test_pause_is_no_failure_of_the_endpoint():
    async def main(world):
        await call_until_received(world)
        world.workers["p0"].answer.active = False
        await asyncio.sleep(1.5)
        endpoint = world.router.endpoints.get("p0")
        now = world.loop.time()
        penalty = world.router.selector.loads.stats(endpoint).penalty(now)
        return penalty, endpoint.is_cold(now), endpoint.connection_failures

    pause = Wishes(503, NOT_EXECUTED + "Retry-After: 1\r\n")
    assert run_calls(main, pause) == (1.0, False, 0)


def test_leaving_and_pause_are_logged_with_the_request_that_told():
    async def main(world):
        await call_until_received(world)
        return dict(world.log_lines)

    wishes = Wishes(503, f"{NOT_EXECUTED}{LEAVING}Retry-After: 1\r\n")
    lines = run_calls(main, wishes)
    for kind in ("endpoint_leaving", "endpoint_paused"):
        assert lines[kind]["endpoint"] == "p0"
        assert lines[kind]["request"].startswith("c")
