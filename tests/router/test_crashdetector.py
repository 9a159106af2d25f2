"""Tests that tell a crash of an endpoint from connections that end otherwise."""

import asyncio

import pytest

from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
)
from tests.router.virtualloop import run_virtual


def end_worker(worker):
    """End a worker with all its connections."""
    host, _, port = worker.address.partition(":")
    del asyncio.get_running_loop().servers[host, int(port)]
    for conn in worker.conns:
        conn.transport.abort()


async def run_case(loop, answer, calls=2):
    """Send calls to one engine and return the fleet once all have ended."""
    fleet = SimulatedFleet(loop)
    fleet.write_config(make_config())
    fleet.add_worker("e1", "engines", answer)
    await fleet.start_router()
    callers = [
        await fleet.send(
            make_request(
                "/chat/",
                f"a{number}",
                Cranberrysail_Prompt_Prefix=f"aa:10,b{number}:20,c{number}:5",
            )
        )
        for number in range(calls)
    ]
    await asyncio.gather(*(caller.answer() for caller in callers))
    await asyncio.sleep(0.5)
    return fleet


def lines(fleet, kind):
    return [fields for name, fields in fleet.log_lines if name == kind]


def test_crash_is_logged_with_the_content_of_unanswered_calls():
    async def answer(conn, received):
        await asyncio.sleep(0.05)
        if received.headers["cranberrysail-attempt-id"] == "a0":
            end_worker(conn.worker)

    fleet = run_virtual(lambda loop: run_case(loop, answer))
    (line,) = lines(fleet, "endpoint_crashed")
    assert line["endpoint"] == "e1"
    assert line["unanswered"] == 2
    assert line["content"] == {"engines/aa": 2, "engines/b0": 1, "engines/b1": 1}


@pytest.mark.parametrize("end", ["reset", "abort"])
def test_connection_that_ends_alone_is_no_crash(end):
    async def answer(conn, received):
        await asyncio.sleep(0.05)
        if received.headers["cranberrysail-attempt-id"] == "a0":
            getattr(conn.transport, end)()
            return
        await asyncio.sleep(0.3)
        conn.transport.abort()

    fleet = run_virtual(lambda loop: run_case(loop, answer))
    assert not lines(fleet, "endpoint_crashed")
    reasons = [line["why"] for line in lines(fleet, "connections_ended")]
    assert reasons == [
        "another connection is open",
        "its address accepts connections",
    ]


def test_call_that_another_endpoint_answered_in_part_is_unanswered_at_a_crash():
    async def answer(conn, received):
        attempt = received.headers["cranberrysail-attempt-id"]
        head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}\r\n"
        conn.transport.write(head.encode())
        if "last-event-id" in received.headers:
            conn.transport.write(b"id: 4\nda")
            end_worker(conn.worker)
            return
        for number in range(1, 4):
            conn.transport.write(f"id: {number}\ndata: x\n\n".encode())
        await asyncio.sleep(0.05)
        conn.transport.reset()

    async def case(loop):
        fleet = SimulatedFleet(loop)
        fleet.write_config(make_config())
        for name in ("e1", "e2"):
            fleet.add_worker(name, "engines", answer)
        await fleet.start_router()
        await fleet.send_and_wait(make_request("/resumable/"))
        await asyncio.sleep(0.5)
        return fleet

    (line,) = lines(run_virtual(case), "endpoint_crashed")
    assert line["unanswered"] == 1
