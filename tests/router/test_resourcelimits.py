"""Listeners whose process is short of memory or connections, over real sockets."""

import asyncio
import contextlib
import re

import pytest

from cranberrysail.router.httplistener import HttpListener
from cranberrysail.router.model import CallerLimits
from cranberrysail.router.resourcelimits import ResourceLimits
from tests.router.simulatedfleet import (
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
)
from tests.router.virtualloop import run_virtual

POST = b"POST / HTTP/1.1\r\nhost: h\r\n"
GET = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
BODY_BYTES = 4_194_304


class Shed:
    """Records what was reported."""

    def __init__(self):
        self.reasons = []
        self.resources = ResourceLimits(0, 0, self.report)

    def report(self, listener, client, why, held_bytes):
        self.reasons.append(why)


async def start(resources, handler=None):
    handled = []

    async def handle(request, conn):
        handled.append(request)
        conn.send_response(200, [], b"")

    listener = HttpListener(
        handler or handle, lambda s, c: ([], c.encode()), print, resources, "callers"
    )
    port = await listener.start("127.0.0.1", 0)
    return listener, port, handled


async def request(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.transport.abort()
    return head


def short_lines():
    lines = b"".join(b"%c:%c\r\n" % (97 + n % 26, 98) for n in range(2600))
    return b"GET / HTTP/1.1\r\nhost: h\r\n" + lines + b"\r\n"


def small_chunks():
    chunks = b"2\r\nxx\r\n" * (BODY_BYTES // 2)
    return POST + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def large_body():
    return POST + b"content-length: %d\r\n\r\n" % BODY_BYTES + bytes(BODY_BYTES)


@pytest.mark.parametrize("make", [short_lines, small_chunks, large_body])
@pytest.mark.parametrize("memory_mb", [0.0, 1.0])
def test_largest_legal_requests_are_served_in_calm(make, memory_mb):
    """Guards against limits that a caller within those of the tables meets."""

    async def main():
        shed = Shed()
        shed.resources.configure(memory_mb, 0)
        listener, port, handled = await start(shed.resources)
        head = await request(port, make())
        listener.stop_listening()
        return head, len(handled[0].body), shed.reasons

    head, size, reasons = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 200")
    assert size == (0 if make is short_lines else BODY_BYTES)
    assert reasons == []


def test_request_is_refused_with_a_time_to_retry_if_memory_is_short():
    """Guards against a refusal that does not tell the caller that nothing ran."""

    async def main():
        shed = Shed()
        listener, port, handled = await start(shed.resources)
        room = shed.resources.account.budget
        with shed.resources.hold(room - 15000, lambda: None):
            head = await request(port, GET)
        after = await request(port, GET)
        listener.stop_listening()
        return head, after, len(handled), shed.reasons

    head, after, handled, reasons = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 503")
    assert b"retry-after: " in head
    assert after.startswith(b"HTTP/1.1 200")
    assert (handled, reasons) == (1, ["memory_refused"])


def test_upload_that_yields_gets_a_response_and_its_memory_is_released():
    async def main():
        shed = Shed()
        listener, port, handled = await start(shed.resources)
        account = shed.resources.account
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(large_body()[:-1])
        while account.used < BODY_BYTES:
            await asyncio.sleep(0.01)
        with shed.resources.hold(account.budget * 3 // 4, lambda: None):
            head = await reader.readuntil(b"\r\n\r\n")
            left = account.used - account.budget * 3 // 4
        writer.transport.abort()
        listener.stop_listening()
        return head, left, handled, shed.reasons

    head, left, handled, reasons = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 503")
    assert b"retry-after: " in head
    assert left < 64 * 1024
    assert (handled, reasons) == ([], ["memory_incoming"])


def test_account_is_empty_after_all_connections_end():
    """Guards against charges that stay, whoever ended the connection and when."""

    async def main():
        shed = Shed()

        async def wait(request, conn):
            await asyncio.sleep(0.05)
            conn.send_response(200, [], b"x" * 300_000)

        listener, port, _ = await start(shed.resources, wait)
        inputs = [GET, GET * 30, large_body()[:-1], POST[:9], b"nonsense\r\n\r\n"]
        for data in inputs:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await asyncio.sleep(0.02)
            writer.transport.abort()
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                await request(port, data if data in inputs[:2] else GET)
        while listener.conns:
            await asyncio.sleep(0.01)
        listener.stop_listening()
        return shed.resources

    resources = asyncio.run(main())
    assert resources.account.used == 0
    assert len(resources.connections) == 0


def test_pipelined_requests_are_handled_no_faster_than_their_responses_are_read():
    """Guards against responses that pile up for a caller that does not read."""

    async def main():
        shed = Shed()
        handled = []

        async def handle(request, conn):
            handled.append(request)
            conn.send_response(200, [], b"x" * 10_000)

        listener, port, _ = await start(shed.resources, handle)
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(GET * 3000)
        await asyncio.sleep(0.5)
        unread = len(handled)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n"
        data = await reader.readexactly(3000 * (len(head) + 10_000))
        writer.transport.abort()
        listener.stop_listening()
        return unread, len(handled), data.count(head)

    unread, handled, responses = asyncio.run(main())
    assert unread < 1500
    assert handled == 3000
    assert responses == 3000


def test_new_callers_connect_while_others_hold_all_connections():
    async def main():
        shed = Shed()
        shed.resources.configure(0, 216)
        listener, port, _ = await start(shed.resources)
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
        head = await request(port, GET)
        connections = len(shed.resources.connections)
        for _, writer in idle:
            writer.transport.abort()
        listener.stop_listening()
        return head, connections, set(shed.reasons)

    head, connections, reasons = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 200")
    assert connections <= 16
    assert reasons == {"descriptors"}


def test_call_that_is_refused_for_memory_never_runs_and_is_told_so():
    """Guards against refusals without the id of the call or a time to retry."""

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        worker = world.add_worker("p0", "plain", plain_answer)
        router = await world.start_router()
        with router.resources.hold(router.resources.account.budget, lambda: None):
            refused = await world.send_and_wait(make_request("/look/1", "a1"))
        served = await world.send_and_wait(make_request("/look/2", "a2"))
        await asyncio.sleep(1.0)
        return refused, served, len(worker.requests), world.log_lines, router

    refused, served, runs, lines, router = run_virtual(main)
    assert (refused.status, served.status, runs) == (503, 200, 1)
    head = refused.data.lower()
    assert b"memory_short" in head
    assert b"attempt-id: a1" in head
    (retry_after_s,) = re.findall(rb"retry-after: ([\d.]+)", head)
    assert 0 < float(retry_after_s) < 1
    (shed,) = [fields for kind, fields in lines if kind == "client_shed"]
    assert (shed["listener"], shed["why"]) == ("callers", "memory_refused")
    assert router.metrics.by_label("clients_shed") == {"callers memory_refused": 1}


def test_call_that_goes_on_without_its_caller_is_charged_only_what_it_holds():
    """Guards against charges that stay, or end too early, for calls of kind once."""

    async def answer_late(conn, received):
        await asyncio.sleep(60.0)

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", answer_late)
        router = await world.start_router()
        idle = router.resources.account.used
        caller = await world.send(make_request("/book/1", "a1", body=bytes(9_000)))
        await asyncio.sleep(0.1)
        running = router.resources.account.used - idle
        caller.transport.abort()
        await asyncio.sleep(0.1)
        return running, router.resources.account.used - idle

    running, left = run_virtual(main)
    assert running >= 9_000
    assert left == 0


def test_connection_whose_caller_reads_nothing_is_closed_in_time():
    """Guards against connections that stay for ever with a response in them."""

    async def main():
        shed = Shed()

        async def handle(request, conn):
            conn.send_response(200, [], bytes(8_000_000))

        listener, port, _ = await start(shed.resources, handle)
        listener.limits = CallerLimits(idle_timeout_s=0.2)
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
        writer.write(GET)
        checks = asyncio.ensure_future(listener.check_timeouts_forever())
        async with asyncio.timeout(20):
            while not shed.reasons or listener.conns:
                await asyncio.sleep(0.05)
        checks.cancel()
        writer.transport.abort()
        listener.stop_listening()
        return shed

    shed = asyncio.run(main())
    assert shed.reasons == ["unread_timeout"]
    assert shed.resources.account.used == 0


@pytest.mark.parametrize("held_mb", [50, 52, 54, 56, 58, 60, 70, 79])
def test_complete_upload_always_gets_a_response(held_mb):
    """Guards against a body that is charged twice when its call begins."""

    async def main():
        shed = Shed()
        listener, port, _ = await start(shed.resources)
        with shed.resources.hold(held_mb * 1024 * 1024, lambda: None):
            head = await request(port, large_body())
        listener.stop_listening()
        return head

    assert asyncio.run(main())[:12] in (b"HTTP/1.1 200", b"HTTP/1.1 503")


def test_response_that_is_being_read_is_not_cut_above_the_connection_limit():
    """Guards against taking a connection for idle while its response is unsent."""

    async def main():
        async def handle(request, conn):
            conn.send_response(200, [], bytes(8_000_000))

        shed = Shed()
        shed.resources.connections.max_connections = 3
        listener, port, _ = await start(shed.resources, handle)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        data = await reader.read(1000)
        others = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
        while len(data) < 8_000_000 and (more := await reader.read(65536)):
            data += more
        for _, other in [(reader, writer), *others]:
            other.transport.abort()
        listener.stop_listening()
        return len(data)

    assert asyncio.run(main()) > 8_000_000
