"""Responses on client connections: where they end, and whether they are whole."""

import asyncio
import contextlib
import itertools
import socket
import ssl
import struct
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrysail.errors import UpstreamError
from cranberrysail.router.bodyframing import BodyFraming
from cranberrysail.router.httpclient import connect
from tests.certificate import make_certificate
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.virtualloop import run_virtual

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
# Time in which a client sees what its server did.
SEEN_WITHIN_S = 0.3
# More than sockets buffer, so that it is not received whole unless it is read.
LONG_BYTES = 20_000_000
LONG_REQUEST = b"PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n%b" % (
    LONG_BYTES,
    bytes(LONG_BYTES),
)


def run_requests(scripts, scenario):
    """Run a scenario with a connection to a server that answers as scripted."""

    async def main(loop):
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer(scripts)
        return await scenario(await connect(ADDRESS, 1.0))

    return run_virtual(main)


async def fetch(conn, request=REQUEST):
    """Send a request and return the whole body."""
    conn.send(request)
    await conn.wait_for_head()
    body = b""
    while data := await conn.read():
        body += data
    return body


def response(body, framing):
    """Return an encoded response."""
    head = b"HTTP/1.1 200 OK\r\n"
    if framing is BodyFraming.LENGTH:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing is BodyFraming.CLOSE:
        return head + b"\r\n" + body
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:half], body[half:]) if p
    )
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def split(data, cuts):
    """Split data at positions, which are taken modulo its length."""
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in itertools.pairwise(bounds)]


FRAMINGS = st.sampled_from([BodyFraming.LENGTH, BodyFraming.CHUNKED, BodyFraming.CLOSE])


@settings(derandomize=True, database=None, deadline=None)
@given(
    framing=FRAMINGS,
    body=st.binary(max_size=40),
    cuts=st.lists(st.integers(0, 200), max_size=6),
    missing=st.integers(0, 60),
    end=st.sampled_from(["close", "reset"]),
)
def test_response_is_whole_or_fails_wherever_it_is_split_or_cut(
    framing, body, cuts, missing, end
):
    whole = response(body, framing)
    sent = whole[: max(0, len(whole) - missing)]

    async def scenario(conn):
        try:
            return await fetch(conn)
        except UpstreamError:
            return None

    received = run_requests([Script(split(sent, cuts), end)], scenario)
    if framing is BodyFraming.CLOSE and end == "reset":
        assert received is None
    elif framing is BodyFraming.CLOSE and missing <= len(body):
        assert received == body[: len(body) - missing]
    elif missing:
        assert received is None
    else:
        assert received == body


def test_trailers_are_no_headers_of_the_next_response():
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
    trailers = b"X-Seal: s\r\n\r\n"
    scripts = [
        Script([chunked + trailers]),
        Script([b"HTTP/1.1 200 OK\r\n\r\ncd"], "close"),
    ]

    async def scenario(conn):
        await fetch(conn)
        conn.mark_idle()
        return await fetch(conn), conn.headers, conn.framing

    assert run_requests(scripts, scenario) == (b"cd", [], BodyFraming.CLOSE)


@pytest.mark.parametrize("extra", [b"HTTP/1.1 200 OK\r\nContent-", b"\r\nx", b"0\r\n"])
def test_connection_with_bytes_after_a_response_is_not_reused(extra):
    script = Script([response(b"ab", BodyFraming.LENGTH) + extra])

    async def scenario(conn):
        return await fetch(conn), conn.can_send

    assert run_requests([script], scenario) == (b"ab", False)


def fetch_over_tls(directory, script):
    """Fetch a response over a real TLS connection."""
    make_certificate(directory)
    server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server_tls.load_cert_chain(directory / "cert.pem", directory / "key.pem")
    client_tls = ssl.create_default_context(cafile=directory / "cert.pem")
    client_tls.check_hostname = False

    async def main():
        server = await asyncio.get_running_loop().create_server(
            lambda: ScriptedServer([script]), "127.0.0.1", 0, ssl=server_tls
        )
        host, port = server.sockets[0].getsockname()
        try:
            return await fetch(await connect(f"{host}:{port}", 5.0, client_tls))
        finally:
            server.close()

    return asyncio.run(main())


def test_tls_response_cut_without_a_closure_alert_is_not_whole(tmp_path):
    script = Script([response(b"half", BodyFraming.CLOSE)], "abort")
    with pytest.raises(UpstreamError):
        fetch_over_tls(tmp_path, script)


def test_tls_response_that_ends_with_a_closure_alert_is_whole(tmp_path):
    script = Script([response(b"whole", BodyFraming.CLOSE)], "close")
    assert fetch_over_tls(tmp_path, script) == b"whole"


@pytest.mark.parametrize("alert", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_tls_response_to_an_upload_that_was_not_read_is_not_whole(
    tmp_path, alert, reset
):
    """Guards against a part as a whole body: a closure alert proves only its sender."""
    make_certificate(tmp_path)
    server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server_tls.load_cert_chain(tmp_path / "cert.pem", tmp_path / "key.pem")
    client_tls = ssl.create_default_context(cafile=tmp_path / "cert.pem")
    client_tls.check_hostname = False
    listener = socket.create_server(("127.0.0.1", 0))

    def respond_early():
        conn = server_tls.wrap_socket(listener.accept()[0], server_side=True)
        conn.recv(100)
        conn.send(response(b"half", BodyFraming.CLOSE))
        conn.settimeout(SEEN_WITHIN_S)
        if alert:
            # Unread bytes of the request follow in place of the client's alert.
            with contextlib.suppress(OSError):
                conn.unwrap()
            time.sleep(SEEN_WITHIN_S)
        if reset:
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.close()

    async def main():
        server = asyncio.get_running_loop().run_in_executor(None, respond_early)
        host, port = listener.getsockname()
        try:
            conn = await connect(f"{host}:{port}", 5.0, client_tls)
            with pytest.raises(UpstreamError):
                await fetch(conn, LONG_REQUEST)
        finally:
            await server
            listener.close()

    asyncio.run(main())


def test_response_that_switches_protocols_fails_without_an_internal_error():
    switching = b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nother"
    errors = []

    async def scenario(conn):
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        with pytest.raises(UpstreamError, match="invalid"):
            await fetch(conn)

    run_requests([Script([switching], "close")], scenario)
    assert errors == []
