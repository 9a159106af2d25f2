"""Connections that carry one request after the other."""

import asyncio

import pytest

from cranberrysail.router.connpool import ConnectionPool
from cranberrysail.router.endpoints import Endpoint, EndpointState
from cranberrysail.router.model import EndpointRecord
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.virtualloop import run_virtual

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
LARGE = b"x" * 700_000


def chunked(body, trailer=b""):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%b\r\n0\r\n%b\r\n" % (len(body), body, trailer)


def with_length(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


RESPONSES = {
    "small": with_length(b"ab"),
    "large": with_length(LARGE),
    "large-chunked": chunked(LARGE),
    "trailers": chunked(b"ab", b"X-Seal: s\r\n"),
    "another-first": with_length(b"no") + with_length(b"ab"),
    "interim-first": b"HTTP/1.1 103 X\r\n\r\n" + with_length(b"ab"),
    "bytes-behind": with_length(b"ab") + b"HTTP/1.1 200",
}


def read_none(conn):
    return conn.wait_for_head()


def read_a_part(conn):
    return conn.read_up_to(1)


def read_all(conn):
    return conn.read_all(10**6)


@pytest.mark.parametrize("first", RESPONSES.values(), ids=RESPONSES)
@pytest.mark.parametrize("reading", [read_none, read_a_part, read_all])
def test_connection_from_the_pool_is_as_new(first, reading):
    """Guards against a call that hears nothing since the one before left early."""
    record = EndpointRecord("e", 1, 1, "plain", ADDRESS, "a", 6)
    endpoint = Endpoint(record, EndpointState.READY, 0.0)

    async def main(loop):
        scripts = [Script([first]), Script([with_length(b"second")])]
        servers = []

        def accept():
            servers.append(ScriptedServer(scripts[len(servers) :]))
            return servers[-1]

        loop.servers["10.0.1.1", 80] = accept
        pool = ConnectionPool()
        conn = await pool.acquire(endpoint, 9)
        conn.send(REQUEST)
        await reading(conn)
        await asyncio.sleep(0.1)
        pool.release(endpoint, conn)
        conn = await pool.acquire(endpoint, 9)
        conn.send(REQUEST)
        async with asyncio.timeout(5.0):
            return await conn.read_all(10**6), conn.headers

    body, headers = run_virtual(main)
    assert body == b"second"
    assert headers == [(b"content-length", b"6")]
