"""A router serves callers between stand-ins; no request is crossed or lost."""

import asyncio

import pytest

from tests.router.virtual import play
from tests.router.world import (
    SEAL,
    World,
    config,
    plain_answer,
    request,
    stream_answer,
)


def scene(play_it, *, engines=2, plain=2):
    """Play a scene with a config, engines and plain workers."""

    async def main(loop):
        world = World(loop)
        world.publish(config())
        for number in range(engines):
            world.add_worker(f"e{number}", "engines", stream_answer, slots=64)
        for number in range(plain):
            world.add_worker(f"p{number}", "plain", plain_answer)
        await world.start()
        return await play_it(world)

    return play(main)


def heard(world, service):
    return [h for w in world.workers.values() if w.service == service for h in w.heard]


def test_a_booking_is_answered_with_the_workers_bytes():
    async def main(world):
        return await world.ask(request("/book/1"))

    caller = scene(main)
    assert caller.status == 200
    assert caller.data.endswith(b"\r\n\r\nfine")
    assert b"cranberrysail-response-seal: s" in caller.data


def test_the_answer_to_a_head_request_is_passed_on_without_a_body():
    async def headless(conn, got):
        attempt = got.headers["cranberrysail-attempt-id"]
        conn.transport.write(
            f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
            "Content-Length: 4\r\n\r\n".encode()
        )

    async def main(world):
        for worker in world.workers.values():
            worker.answer = headless
        data = request("/book/1").replace(b"POST", b"HEAD", 1)
        first = await world.ask(data)
        second = await world.ask(data)
        conns = [c for w in world.workers.values() for c in w.conns]
        return first, second, len(conns)

    first, second, conns = scene(main, plain=1, engines=0)
    assert (first.status, second.status, conns) == (200, 200, 1)
    assert first.data.endswith(b"\r\n\r\n")


def test_a_stream_is_passed_on_by_whole_events():
    async def main(world):
        return await world.ask(request("/chat/1"))

    caller = scene(main)
    assert caller.data.count(b"data: part") == 3
    assert caller.data.endswith(b"0\r\n\r\n")


def test_the_worker_gets_the_customer_and_what_is_left_but_no_key():
    async def main(world):
        await world.ask(
            request(
                "/book/1",
                Cranberrysail_Tenant="forged",
                Cranberrysail_Hold="forged",
                Cranberrysail_Expected_Instance="forged",
            )
        )
        return world

    (got,) = heard(scene(main), "plain")
    assert got.headers["cranberrysail-tenant"] == "guide"
    assert got.headers["cranberrysail-request-urgency"] == "1"
    assert got.headers["cranberrysail-expected-instance"] in ("p0", "p1")
    assert 3900 <= int(got.headers["cranberrysail-deadline-ms"]) <= 4000
    assert "cranberrysail-credential" not in got.headers
    assert "cranberrysail-hold" not in got.headers


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("/nowhere/1"), 404),
        (request("/book/1", Cranberrysail_Credential="other"), 401),
        (request("/book/1", Cranberrysail_Credential=""), 401),
        (request("/book/1", Cranberrysail_Attempt_Id=""), 400),
        (request("/book/1", body=b"x" * 10001), 413),
        (request("/book/1", X_Long="x" * 5000), 431),
        (request("/book/1", Transfer_Encoding="chunked"), 400),
        (b"POST /book/1 HTTP/1.1\r\nHost : x\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
    ],
)
def test_improper_requests_get_a_clear_status_and_reach_no_worker(data, status):
    async def main(world):
        return world, await world.ask(data)

    world, caller = scene(main)
    assert caller.status == status
    assert not heard(world, "plain")


def test_a_request_smuggled_behind_another_is_its_own_request():
    async def main(world):
        inner = request("/book/2", "a2")
        caller = await world.call(request("/book/1", "a1", inner) + b"")
        await caller.answer()
        return world

    (got,) = heard(scene(main), "plain")
    assert got.path == "/book/1"


def test_pipelined_requests_are_answered_in_order():
    async def main(world):
        caller = await world.call(request("/book/1", "a1") + request("/book/2", "a2"))
        await asyncio.sleep(1.0)
        return caller

    caller = scene(main)
    first = caller.data.index(b"cranberrysail-attempt-id: a1")
    assert caller.data.index(b"cranberrysail-attempt-id: a2") > first


def test_without_tables_a_caller_is_told_to_come_back():
    async def main(loop):
        world = World(loop)
        await world.start()
        return world, await world.ask(request("/book/1"))

    world, caller = play(main)
    assert caller.status == 503
    assert b"retry-after: " in caller.data
    assert not world.router.ready


def test_a_booking_whose_answer_is_lost_is_not_sent_again():
    async def lose(conn, heard):
        await asyncio.sleep(0.05)
        conn.transport.abort()

    async def main(world):
        for worker in world.workers.values():
            worker.answer = lose
        return world, await world.ask(request("/book/1"))

    world, caller = scene(main)
    assert caller.status == 502
    assert len(heard(world, "plain")) == 1


def test_a_lookup_whose_answer_is_lost_goes_to_another_worker():
    async def lose(conn, heard):
        await asyncio.sleep(0.05)
        conn.transport.abort()

    async def main(world):
        world.workers["p0"].answer = lose
        callers = [await world.ask(request("/look/1", f"a{n}")) for n in range(4)]
        return [caller.status for caller in callers]

    assert scene(main) == [200] * 4


def test_a_refused_booking_goes_to_a_worker_that_runs_it():
    async def shed(conn, heard):
        attempt = heard.headers["cranberrysail-attempt-id"]
        conn.reply(503, "Cranberrysail-Not-Executed: 1\r\n", b"", attempt)

    async def main(world):
        world.workers["p0"].answer = shed
        callers = [await world.ask(request("/book/1", f"a{n}")) for n in range(4)]
        return [caller.status for caller in callers]

    assert scene(main) == [200] * 4


def test_an_answer_without_a_seal_is_not_passed_on():
    async def spoil(conn, heard):
        conn.reply(200, "", b"junk", heard.headers["cranberrysail-attempt-id"])

    async def main(world):
        for worker in world.workers.values():
            worker.answer = spoil
        return await world.ask(request("/book/1"))

    caller = scene(main)
    assert caller.status == 502
    assert b"junk" not in caller.data


def test_an_answer_that_is_cut_is_not_passed_on():
    async def cut(conn, heard):
        attempt = heard.headers["cranberrysail-attempt-id"]
        head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
        conn.transport.write((head + "Content-Length: 9\r\n\r\nhalf").encode())
        conn.transport.close()

    async def main(world):
        for worker in world.workers.values():
            worker.answer = cut
        return await world.ask(request("/book/1"))

    caller = scene(main)
    assert caller.status == 502
    assert b"half" not in caller.data


def test_a_late_answer_to_another_request_is_passed_over():
    async def late(conn, heard):
        conn.reply(200, SEAL, b"other", "another-attempt")
        await plain_answer(conn, heard)

    async def main(world):
        for worker in world.workers.values():
            worker.answer = late
        return await world.ask(request("/book/1"))

    caller = scene(main)
    assert caller.status == 200
    assert caller.data.endswith(b"\r\n\r\nfine")


def test_a_second_answer_ends_the_connection_and_reaches_nobody():
    async def twice(conn, heard):
        await plain_answer(conn, heard)
        await asyncio.sleep(0.01)
        conn.reply(200, SEAL, b"again", heard.headers["cranberrysail-attempt-id"])

    async def main(world):
        for worker in world.workers.values():
            worker.answer = twice
        bodies = []
        for number in range(6):
            caller = await world.ask(request("/book/1", f"a{number}"))
            bodies.append(caller.data.rpartition(b"\r\n\r\n")[2])
        return bodies

    assert scene(main) == [b"fine"] * 6


def test_a_stream_that_breaks_is_resumed_where_the_route_allows():
    async def break_off(conn, heard):
        if "last-event-id" in heard.headers:
            await stream_answer(conn, heard)
            return
        attempt = heard.headers["cranberrysail-attempt-id"]
        conn.transport.write(
            f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
            "Transfer-Encoding: chunked\r\n\r\n"
            "17\r\nid: 1\ndata: part 1\n\nid: \r\n".encode()
        )
        await asyncio.sleep(0.1)
        conn.transport.abort()

    async def main(world):
        for worker in world.workers.values():
            worker.answer = break_off
        return world, await world.ask(request("/resumable/1"))

    world, caller = scene(main)
    assert caller.data.count(b"data: part") == 3
    assert caller.data.endswith(b"0\r\n\r\n")
    assert heard(world, "engines")[1].headers["last-event-id"] == "1"


def test_a_stream_that_may_not_be_resumed_never_looks_complete():
    async def break_off(conn, heard):
        task = asyncio.ensure_future(stream_answer(conn, heard))
        await asyncio.sleep(0.15)
        task.cancel()
        conn.transport.abort()

    async def main(world):
        for worker in world.workers.values():
            worker.answer = break_off
        return world, await world.ask(request("/chat/1"))

    world, caller = scene(main)
    assert caller.closed
    assert not caller.whole
    assert len(heard(world, "engines")) == 1


def test_a_caller_that_leaves_ends_its_stream_at_once():
    async def main(world):
        caller = await world.call(request("/chat/1"))
        await asyncio.sleep(0.15)
        caller.transport.close()
        await asyncio.sleep(0.05)
        return [conn.open for w in world.workers.values() for conn in w.conns]

    assert scene(main) == [False]


def test_a_caller_that_leaves_does_not_end_its_booking():
    async def main(world):
        caller = await world.call(request("/book/1"))
        await asyncio.sleep(0.02)
        caller.transport.close()
        await asyncio.sleep(0.5)
        return [conn.open for w in world.workers.values() for conn in w.conns]

    assert scene(main) == [True]


def test_a_call_gets_its_final_answer_when_its_time_is_over():
    async def never(conn, heard):
        await asyncio.sleep(60)

    async def main(world):
        for worker in world.workers.values():
            worker.answer = never
        begun_s = world.loop.time()
        caller = await world.ask(request("/book/1", Cranberrysail_Deadline_Ms="1500"))
        return caller.status, world.loop.time() - begun_s

    status, took_s = scene(main)
    assert status == 504
    assert 1.4 < took_s < 1.6


def test_connections_to_workers_are_kept():
    async def main(world):
        for number in range(10):
            await world.ask(request("/book/1", f"a{number}"))
        return world.router.exchange.attempts.pool.opened

    assert scene(main) <= 2


def test_a_planned_stop_cuts_no_request():
    async def main(world):
        caller = await world.call(request("/chat/1"))
        await asyncio.sleep(0.05)
        world.router.request_stop()
        late = await world.ask(request("/book/1", "late"))
        await caller.answer()
        await asyncio.sleep(6.0)
        return caller, late, world.router.stopped.is_set()

    caller, late, stopped = scene(main)
    assert caller.whole
    assert late.status == 200
    assert b"connection: close" in late.data
    assert stopped


def test_requests_that_share_a_prompt_go_to_one_engine():
    async def main(world):
        for number in range(6):
            parts = f"aa:500,bb:9000,{number:x}c:30"
            await world.ask(
                request("/chat/1", f"a{number}", Cranberrysail_Prompt_Prefix=parts)
            )
        return [len(world.workers[f"e{n}"].heard) for n in range(4)]

    assert sorted(scene(main, engines=4)) == [0, 0, 0, 6]


def test_callers_are_served_while_a_zone_is_cut_off():
    """Found on the heaviest days: calls gave up after three engines of that zone."""

    async def main(world):
        for number in range(6):
            worker = world.workers[f"e{number}"]
            host, _, port = worker.address.partition(":")
            del world.loop.servers[host, int(port)]
        statuses = []
        for number in range(80):
            parts = f"aa:100,b{number % 16}:900,{number:x}:20"
            data = request("/chat/1", f"a{number}", Cranberrysail_Prompt_Prefix=parts)
            statuses.append((await world.ask(data)).status)
        return statuses

    statuses = scene(main, engines=8)
    assert statuses.count(200) == 80


def test_an_engine_whose_streams_are_slow_gets_fewer_calls():
    def paced(gap_s):
        async def answer(conn, got):
            attempt = got.headers["cranberrysail-attempt-id"]
            head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
            conn.transport.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(12):
                await asyncio.sleep(gap_s)
                event = f"id: {number}\ndata: x\n\n".encode()
                conn.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            conn.transport.write(b"0\r\n\r\n")

        return answer

    async def main(world):
        world.workers["e0"].answer = paced(0.1)
        world.workers["e1"].answer = paced(0.02)
        async with asyncio.TaskGroup() as group:
            for number in range(60):
                data = request(f"/chat/{number}", f"a{number}")
                group.create_task(world.ask(data))
                await asyncio.sleep(0.25)
        return [len(world.workers[name].heard) for name in ("e0", "e1")]

    slow, quick = scene(main)
    assert slow + quick == 60
    assert slow < quick / 2
