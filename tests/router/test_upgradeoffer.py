"""Requests that offer another protocol are handled once, and with their body."""

import asyncio
import re
from itertools import pairwise

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrysail.router.httplistener import HttpListener
from tests.router.simulatedfleet import (
    Caller,
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
)
from tests.router.virtualloop import run_virtual

H2C = b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMA\r\n"
WEBSOCKET = b"connection: keep-alive, Upgrade\r\nupgrade: websocket\r\n"
OFFERS = {"h2c": H2C, "websocket": WEBSOCKET, "none": b""}
BODIES = {
    "length": b"content-length: 5\r\n\r\nhello",
    "chunked": b"transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "trailers": b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: y\r\n\r\n",
    "empty": b"content-length: 0\r\n\r\n",
    "none": b"\r\n",
}
BODY_OF = {"length": b"hello", "chunked": b"hello", "trailers": b"hello"}


def make(number, offer, body, method="POST", version="1.1"):
    line = f"{method} /{number} HTTP/{version}\r\nhost: h\r\n".encode()
    return line + OFFERS[offer] + BODIES[body]


def receive(pieces, between_s=0.005, delay_s=0.02):
    """Send pieces of requests; return handled requests and what the caller got."""
    handled = []

    async def main(loop):
        async def handle(request, conn):
            handled.append((request.method, request.target, request.body))
            await asyncio.sleep(delay_s)
            conn.send_response(200, [], b"to " + request.target)

        errors = []
        listener = HttpListener(handle, lambda s, c: ([], c.encode()), errors.append)
        await listener.start("10.0.0.1", 80)
        _, caller = await loop.create_connection(Caller, "10.0.0.1", 80)
        for piece in pieces:
            caller.transport.write(piece)
            await asyncio.sleep(between_s)
        await asyncio.sleep(2.0)
        assert errors == []
        return caller

    caller = run_virtual(main)
    return handled, re.findall(rb"HTTP/1.1 (\d+)", caller.data), caller


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("offer", OFFERS)
def test_request_with_an_offer_is_handled_once_with_its_body(offer, body):
    handled, statuses, caller = receive([make(0, offer, body)])
    assert handled == [("POST", b"/0", BODY_OF.get(body, b""))]
    assert statuses == [b"200"]
    assert not caller.closed


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(OFFERS)), st.sampled_from(sorted(BODIES))),
        min_size=1,
        max_size=5,
    ),
    st.lists(st.integers(0, 2000), max_size=6),
    st.sampled_from([0.0, 0.02]),
)
def test_requests_with_offers_on_one_connection_keep_their_bodies(
    requests, cuts, delay_s
):
    data = b"".join(make(n, *request) for n, request in enumerate(requests))
    bounds = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    pieces = [data[start:end] for start, end in pairwise(bounds)]
    handled, statuses, _ = receive(pieces, delay_s=delay_s)
    assert handled == [
        ("POST", f"/{n}".encode(), BODY_OF.get(body, b""))
        for n, (_, body) in enumerate(requests)
    ]
    assert statuses == [b"200"] * len(requests)


def test_request_with_an_offer_and_expect_gets_one_interim_response():
    head = make(0, "h2c", "length").removesuffix(b"hello")
    head = head.replace(b"host:", b"expect: 100-continue\r\nhost:")
    handled, statuses, _ = receive([head, b"he", b"llo"])
    assert handled == [("POST", b"/0", b"hello")]
    assert statuses == [b"100", b"200"]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_connection_of_a_request_with_an_offer_is_closed_as_asked(version):
    close = b"connection: close, Upgrade\r\nupgrade: h2c\r\n"
    data = make(0, "none", "length", version=version).replace(
        b"content", close + b"content"
    )
    handled, statuses, caller = receive([data])
    assert handled == [("POST", b"/0", b"hello")]
    assert statuses == [b"200"]
    assert caller.closed


@pytest.mark.parametrize("target", ["h:80", "/0"])
@pytest.mark.parametrize("body", BODIES)
def test_connect_is_rejected_once_and_not_handled(target, body):
    data = make(0, "none", body, method="CONNECT")
    data = data.replace(b"CONNECT /0", f"CONNECT {target}".encode())
    handled, statuses, caller = receive([data + b"more bytes"])
    assert handled == []
    assert statuses == [b"400"]
    assert caller.closed


def test_body_that_is_cut_is_not_handled():
    handled, statuses, _ = receive([make(0, "h2c", "length")[:-1]])
    assert (handled, statuses) == ([], [])


@pytest.mark.parametrize("offer", OFFERS)
def test_bytes_that_are_no_request_get_no_second_response(offer):
    """Empty lines behind a request are no request, however many there are."""
    lines = [b"\r\n" * 4096] * 40
    handled, statuses, caller = receive([make(0, offer, "length"), *lines], 0.0)
    assert len(handled) == 1
    assert statuses == [b"200"]
    assert caller.closed


class ForgetfulParser(httptools.HttpRequestParser):
    """Ends each request before its body."""

    def __new__(cls, callbacks):
        callbacks.on_body = lambda body: None
        return super().__new__(cls, callbacks)


def test_request_with_fewer_bytes_than_its_length_states_is_not_handled(monkeypatch):
    """Whatever the parser does."""
    monkeypatch.setattr(httptools, "HttpRequestParser", ForgetfulParser)
    handled, statuses, _ = receive([make(0, "none", "length")])
    assert handled == []
    assert statuses == [b"400"]


def test_endpoint_receives_the_body_of_a_request_with_an_offer_and_not_the_offer():
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        worker = world.add_worker("p0", "plain", plain_answer)
        await world.start_router()
        caller = await world.send_and_wait(
            make_request(
                "/book/1",
                body=b"two seats",
                connection="Upgrade, HTTP2-Settings",
                upgrade="h2c",
                HTTP2_Settings="AAMA",
            )
        )
        await asyncio.sleep(1.0)
        return caller, worker.requests

    caller, received = run_virtual(main)
    assert caller.data.count(b"HTTP/1.1") == 1
    assert caller.status == 200
    (request,) = received
    assert request.body == b"two seats"
    assert not {"upgrade", "connection", "http2-settings"} & request.headers.keys()


@pytest.mark.parametrize("port", [8001, 8002, 8003])
def test_other_listeners_answer_a_request_with_an_offer_once(port):
    paths = {8001: "/ready", 8002: "/state", 8003: "/tables"}

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        router = await world.start_router()
        path = router.cfg.ready_path if port == 8001 else paths[port]
        head = f"GET {path} HTTP/1.1\r\nhost: h\r\n".encode() + H2C + b"\r\n"
        _, caller = await loop.create_connection(Caller, "10.0.0.1", port)
        caller.transport.write(head)
        await asyncio.sleep(2.0)
        return re.findall(rb"HTTP/1.1 (\d+)", caller.data)

    assert run_virtual(main) == [b"200"]
