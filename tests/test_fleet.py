"""A small fleet of routers and simulated services with real sockets."""

import asyncio
import gc
import http.client
import socket
from dataclasses import replace

import msgspec
import pytest
import zmq

from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.demo.demo import Caller, text_of
from cranberrysail.demo.fleet import BOOKING_POOL, CHAT_POOL, Fleet, FleetPlan, uuid7
from cranberrysail.demo.simulated import expected_text
from cranberrysail.settings import PeerKeys

PLAN = FleetPlan(routers_per_zone=1, engines_per_zone=2)
AUTH_HEADERS = {"authorization": "Bearer guide:secret"}
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="module")
def fleet(runner):
    fleet = Fleet(PLAN)
    runner.run(fleet.start())
    yield fleet
    runner.run(fleet.stop())


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def send(
    fleet, method, path, body=b"", headers=AUTH_HEADERS, router=0, operator=False
):
    target = fleet.routers[router]
    port = target.operator_port if operator else target.caller_port
    return await asyncio.to_thread(request, port, method, path, body, headers)


def request(port, method, path, body, headers):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        conn.request(method.upper(), path, body or None, dict(headers))
        response = conn.getresponse()
        response_headers = {k.lower(): v for k, v in response.getheaders()}
        return response.status, response_headers, response.read()
    finally:
        conn.close()


def chat_body(prompt, tokens=4):
    return msgspec.json.encode(
        {"messages": [{"role": "user", "content": prompt}], "max_tokens": tokens}
    )


def set_on_engines(fleet, name, value):
    for engine in fleet.engines.values():
        setattr(engine, name, value)


def total_open_calls(fleet):
    hosts = [*fleet.engines.values(), *fleet.services.values()]
    return sum(host.open for host in hosts)


def test_concurrent_callers_get_their_own_responses(runner, fleet):
    async def scenario():
        caller = Caller(fleet)
        await asyncio.gather(*(caller.chat(f"c{n}", n % 3) for n in range(40)))
        await caller.session.close()
        return caller.results

    assert runner.run(scenario()) == {"answered": 40}


def test_calls_are_answered_while_garbage_is_collected(runner, fleet):
    """Under load, the client's task that read a response was garbage-collected.

    The call then never got its response. The test collects garbage during calls.
    """

    async def collect():
        while True:
            gc.collect()
            await asyncio.sleep(0.005)

    async def scenario():
        caller = Caller(fleet)
        collecting = asyncio.ensure_future(collect())
        set_on_engines(fleet, "token_s", 0.02)
        await asyncio.gather(*(caller.chat(f"g{n}", 0) for n in range(10)))
        set_on_engines(fleet, "token_s", 0.005)
        collecting.cancel()
        return caller.results

    assert runner.run(scenario()) == {"answered": 10}


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code"),
    [
        ("post", "/v1/chat/completions", b"{", AUTH_HEADERS, 400, "bad_body"),
        ("post", "/v1/chat/completions", b"{}", {}, 401, "bad_key"),
        ("post", "/nowhere", b"{}", AUTH_HEADERS, 404, "no_route"),
        ("get", "/v1/chat/completions", b"", AUTH_HEADERS, 405, "wrong_method"),
        ("post", "/enrolments", b"{}", AUTH_HEADERS, 400, "bad_idempotency_key"),
        ("post", "/enrolments", b"x" * (4 << 20), AUTH_HEADERS, 413, "body_too_large"),
        (
            "post",
            "/v1/chat/completions",
            b"{}",
            {**AUTH_HEADERS, "x-chat-id": "x" * 300},
            400,
            "bad_chat_id",
        ),
        (
            "get",
            "/enrolments",
            b"",
            {**AUTH_HEADERS, "x-a": "b" * 33000},
            431,
            "headers_too",
        ),
    ],
)
def test_invalid_request_gets_status_and_error_code(
    runner, fleet, method, path, body, headers, status, code
):
    body += b" " if status == 413 else b""
    response = runner.run(send(fleet, method, path, body, headers))
    if status == 431 and response[0] == 400:
        return
    assert response[0] == status
    assert msgspec.json.decode(response[2])["error"]["code"].startswith(code)
    assert response[1]["x-outcome"] == "not_run"


def test_interrupted_stream_is_resumed(runner, fleet):
    set_on_engines(fleet, "abort_after_tokens", 2)
    body = chat_body("resume me", 6)
    status, _, data = runner.run(send(fleet, "post", "/v1/chat/completions", body))
    set_on_engines(fleet, "abort_after_tokens", 0)
    assert status == 200
    assert text_of(data) == expected_text(body, 6)


def test_interrupted_stream_that_its_caller_resumed_has_no_event_twice(runner, fleet):
    set_on_engines(fleet, "abort_after_tokens", 4)
    headers = AUTH_HEADERS | {"last-event-id": "2"}
    body = chat_body("resume me once more", 6)
    path = "/v1/chat/completions"
    _, _, data = runner.run(send(fleet, "post", path, body, headers))
    set_on_engines(fleet, "abort_after_tokens", 0)
    ids = [line for line in data.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: 3", b"id: 4", b"id: 5", b"id: 6"]


def test_interrupted_stream_that_cannot_be_resumed_ends_with_an_error(runner, fleet):
    set_on_engines(fleet, "abort_after_tokens", 2)
    set_on_engines(fleet, "can_resume", False)
    body = chat_body("cut me", 6)
    _, _, data = runner.run(send(fleet, "post", "/v1/chat/completions", body))
    set_on_engines(fleet, "abort_after_tokens", 0)
    set_on_engines(fleet, "can_resume", True)
    assert b"event: error" in data
    assert b"[DONE]" not in data


def test_call_is_cancelled_when_the_caller_disconnects(runner, fleet):
    async def scenario():
        set_on_engines(fleet, "token_s", 0.05)
        body = chat_body("leave early", 2000)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.routers[0].caller_port
        )
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
            "authorization: Bearer guide:secret\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await reader.readuntil(b"data:")
        assert total_open_calls(fleet) == 1
        writer.transport.abort()
        await wait_until(lambda: total_open_calls(fleet) == 0)
        set_on_engines(fleet, "token_s", 0.005)
        boards = [router.node.board for router in fleet.routers]
        await wait_until(lambda: not any(board.open_calls for board in boards))
        await wait_until(
            lambda: (
                not any(s.permits for b in boards for s in b.owned_endpoints.values())
            )
        )

    runner.run(scenario())


def test_booking_repeated_through_other_routers_runs_once(runner, fleet):
    async def scenario():
        key = {**AUTH_HEADERS, "idempotency-key": uuid7()}
        calls = [
            send(fleet, "post", "/enrolments", b'"seat 1"', key, router)
            for router in (0, 1, 0, 1)
        ]
        return await asyncio.gather(*calls)

    responses = runner.run(scenario())
    runs = sum(s.bookings['"seat 1"'] for s in fleet.services.values())
    assert runs == 1
    assert {response[0] for response in responses} == {201}
    assert len({response[2] for response in responses}) == 1


def test_idempotency_key_with_another_body_is_refused(runner, fleet):
    key = {**AUTH_HEADERS, "idempotency-key": uuid7()}
    runner.run(send(fleet, "post", "/enrolments", b'"seat 2"', key))
    status, headers, _ = runner.run(
        send(fleet, "post", "/enrolments", b'"seat 3"', key, 1)
    )
    assert (status, headers["x-outcome"]) == (422, "not_run")


def test_log_outage_refuses_bookings_but_not_chats(runner, fleet):
    fleet.platform.faults.down = True
    key = {**AUTH_HEADERS, "idempotency-key": uuid7()}
    status, headers, _ = runner.run(
        send(fleet, "post", "/enrolments", b'"seat 4"', key)
    )
    body = chat_body("log is down")
    chat = runner.run(send(fleet, "post", "/v1/chat/completions", body))
    fleet.platform.faults.down = False
    assert (status, headers["x-outcome"]) == (503, "not_run")
    assert "retry-after" in headers
    assert not any(s.bookings['"seat 4"'] for s in fleet.services.values())
    assert text_of(chat[2]) == expected_text(body, 4)


def test_booking_runs_once_when_the_response_to_its_append_is_lost(runner, fleet):
    fleet.platform.faults.lose_responses = True
    key = {**AUTH_HEADERS, "idempotency-key": uuid7()}
    first = runner.run(send(fleet, "post", "/enrolments", b'"seat 5"', key))
    fleet.platform.faults.lose_responses = False
    repeated = runner.run(send(fleet, "post", "/enrolments", b'"seat 5"', key, 1))
    assert first[0] == repeated[0] == 201
    assert sum(s.bookings['"seat 5"'] for s in fleet.services.values()) == 1


def test_outcome_is_unknown_when_the_endpoint_drops_the_connection(runner, fleet):
    async def scenario():
        async def drop(reader, writer):
            if b"/load" in await reader.readuntil(b"\r\n\r\n"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 29\r\n\r\n"
                    b'{"instance":"x","open":0    }'
                )
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        before = dict(fleet.platform.hosts)
        for host in before.values():
            if host.pool == BOOKING_POOL:
                fleet.platform.list_host(replace(host, address=address))
        boards = [router.node.board for router in fleet.routers]
        await wait_until(
            lambda: all(
                host.address == address
                for board in boards
                for host in board.listed_endpoints.values()
                if host.pool == BOOKING_POOL
            )
        )
        key = {**AUTH_HEADERS, "idempotency-key": uuid7()}
        response = await send(fleet, "post", "/enrolments", b'"seat 6"', key)
        repeated = await send(fleet, "post", "/enrolments", b'"seat 6"', key, 1)
        server.close()
        for host in before.values():
            fleet.platform.list_host(host)
        return response, repeated

    response, repeated = runner.run(scenario())
    assert (response[0], response[1]["x-outcome"]) == (502, "outcome_unknown")
    assert (repeated[0], repeated[1]["x-outcome"]) == (409, "outcome_unknown")


def test_random_bytes_on_peer_and_operator_ports_are_harmless(runner, fleet):
    async def scenario():
        peer = int(fleet.routers[0].node.board.address.rpartition(":")[2])
        for port in (peer, fleet.routers[0].operator_port):
            with socket.create_connection(("127.0.0.1", port)) as sock:
                sock.sendall(bytes(range(256)) * 40)
        body = chat_body("after garbage")
        response = await send(fleet, "post", "/v1/chat/completions", body)
        assert text_of(response[2]) == expected_text(body, 4)

    runner.run(scenario())


def test_peer_with_wrong_key_is_refused_and_counted(runner, fleet):
    async def scenario():
        public, secret = zmq.curve_keypair()
        context = zmq.Context()
        sock = context.socket(zmq.PUSH)
        sock.linger = 0
        sock.curve_serverkey = fleet.keys.public.encode()
        sock.curve_publickey, sock.curve_secretkey = public, secret
        sock.connect(f"tcp://{fleet.routers[0].node.board.address}")
        counters = fleet.routers[0]._peers.counters
        await wait_until(lambda: counters["peers.refused_keys"] > 0)
        sock.close(0)
        context.term()

    runner.run(scenario())


def test_malformed_peer_message_is_dropped_and_counted(runner, fleet):
    transport = fleet.routers[0]._peers
    before = transport.counters["peers.bad_messages"]
    transport._handle_frames([b"someone", b"\xc1garbage"])
    transport._handle_frames([b"one frame"])
    assert transport.counters["peers.bad_messages"] == before + 1
    assert transport.counters["peers.bad_frames"] >= 1


def test_operator_pages_contain_no_secrets(runner, fleet):
    body = chat_body("explain me")
    response = runner.run(send(fleet, "post", "/v1/chat/completions", body))
    path = f"/explain/{response[1]['x-request-id']}"
    status, _, text = runner.run(send(fleet, "get", path, operator=True))
    assert status == 200
    assert b"admitted to" in text
    _, _, dump = runner.run(send(fleet, "get", "/dump", operator=True))
    assert msgspec.json.decode(dump)["dump_version"] == 1
    _, _, metrics = runner.run(send(fleet, "get", "/metrics", operator=True))
    assert b"cranberrysail_first_byte_p95_ms" in metrics
    for page in (text, dump, metrics):
        assert b"secret" not in page
        assert fleet.keys.secret.encode() not in page
        assert b"explain me" not in page


def test_zone_out_of_service_gets_no_new_calls(runner, fleet):
    async def scenario():
        zone = PLAN.zones[0]
        change = await fleet.table_editor().set_out_of_service(RowKind.ZONE, zone, True)
        boards = [router.node.board for router in fleet.routers]
        await wait_until(
            lambda: all(b.tables.version >= change.ok.version for b in boards)
        )
        engines = [e for n, e in fleet.engines.items() if n.startswith(zone)]
        before = sum(sum(engine.served.values()) for engine in engines)
        caller = Caller(fleet)
        await asyncio.gather(*(caller.chat(f"z{n}", 0) for n in range(20)))
        await caller.session.close()
        after = sum(sum(engine.served.values()) for engine in engines)
        await fleet.table_editor().set_out_of_service(RowKind.ZONE, zone, False)
        return after - before, caller.results

    assert runner.run(scenario()) == (0, {"answered": 20})


def test_planned_stop_lets_open_calls_finish(runner, fleet):
    async def scenario():
        router = await fleet.add_router("vulcano-r9", "vulcano")
        number = len(fleet.routers) - 1
        await wait_until(lambda: router.node.board.ready)
        set_on_engines(fleet, "token_s", 0.02)
        body = chat_body("long", 50)
        call = asyncio.ensure_future(
            send(fleet, "post", "/v1/chat/completions", body, router=number)
        )
        await wait_until(lambda: router.gateway.open_call_count)
        router.request_stop()
        status, _, _ = await send(fleet, "get", "/ready", router=number, operator=True)
        response = await call
        await router.run()
        set_on_engines(fleet, "token_s", 0.005)
        fleet.routers.remove(router)
        return status, text_of(response[2]) == expected_text(body, 50)

    assert runner.run(scenario()) == (503, True)


def test_immediate_refusal_leaves_no_failed_task(runner, fleet):
    async def scenario():
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        fleet.platform.faults.down = True
        for number in range(3):
            key = {**AUTH_HEADERS, "idempotency-key": uuid7()}
            await send(fleet, "post", "/enrolments", b"%d" % number, key)
        fleet.platform.faults.down = False
        gc.collect()
        loop.set_exception_handler(None)
        return failures

    assert runner.run(scenario()) == []


def test_no_invariant_was_violated(fleet):
    assert not any(r.node.board.invariants.total_violated for r in fleet.routers)
    assert CHAT_POOL in fleet.routers[0].node.board.pool_totals


def test_settings_reject_short_peer_keys():
    with pytest.raises(ValueError, match="at least 40"):
        PeerKeys(public="short", secret="short")
