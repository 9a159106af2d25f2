"""Tests of the store client against a simulated store."""

import asyncio
import base64
import json
import struct

import httptools
import pytest

from cranberrysail.platform import store
from cranberrysail.platform.store import (
    PlatformStore,
    decode_era,
    decode_records,
    encode_record,
)
from cranberrysail.router.store import (
    EraChangedError,
    OffsetConflictError,
    OffsetOutOfRangeError,
    StoreError,
    Topic,
)
from tests.router.scriptedserver import Script, ScriptedServer
from tests.router.virtualloop import run_virtual

ADDRESS = ("10.9.0.1", 80)


class SimulatedStoreConn(asyncio.Protocol):
    """Server side of a connection to the simulated store."""

    def __init__(self, respond, extra_headers=""):
        self.respond = respond
        self.extra_headers = extra_headers
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        pass

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_message_begin(self):
        self.url = b""

    def on_url(self, url):
        self.url += url

    def on_message_complete(self):
        parsed_url = httptools.parse_url(self.url)
        status, body = self.respond(parsed_url.path.decode(), parsed_url.query.decode())
        if status == 0:
            self.transport.reset()
            return
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        self.transport.write(f"{head}{self.extra_headers}\r\n".encode() + body)


def call_store(respond, call, extra_headers=""):
    async def main(loop):
        loop.servers[ADDRESS] = lambda: SimulatedStoreConn(respond, extra_headers)
        store = PlatformStore("10.9.0.1:80")
        try:
            return await call(store)
        finally:
            store.close()

    return run_virtual(main)


def encode_records(*items):
    return b"".join(encode_record(key, value) for key, value in items)


def test_records_round_trip():
    data = encode_records(("config", b"{}"), ("evacuate/a", b""))
    assert decode_records(data) == (("config", b"{}"), ("evacuate/a", None))


def test_truncated_records_are_an_error():
    with pytest.raises(StoreError):
        decode_records(encode_records(("config", b"{}"))[:-1])


def test_read_returns_records_and_next_offset():
    def respond(path, query):
        assert path == "/v1/log-read"
        assert "from=4" in query
        return 200, struct.pack(">QQ", 6, 0) + encode_records(("a", b"1"), ("b", b"2"))

    page = call_store(respond, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))
    assert page.records == (("a", b"1"), ("b", b"2"))
    assert page.next_offset == 6


def test_record_without_key_takes_an_offset():
    def respond(path, query):
        empty_record = struct.pack(">I", 0)
        return 200, struct.pack(">QQ", 6, 0) + empty_record + encode_records(
            ("b", b"2")
        )

    page = call_store(respond, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))
    assert page.records == (("b", b"2"),)
    assert page.next_offset == 6


@pytest.mark.parametrize("response", [(410, b"{}"), (200, struct.pack(">QQ", 9, 7))])
def test_dropped_records_raise_offset_out_of_range(response):
    with pytest.raises(OffsetOutOfRangeError):
        call_store(lambda *_: response, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))


@pytest.mark.parametrize("response", [(503, b""), (429, b""), (0, b""), (200, b"cut")])
def test_failed_reads_raise_store_error(response):
    with pytest.raises(StoreError) as caught:
        call_store(lambda *_: response, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))
    assert not isinstance(caught.value, OffsetOutOfRangeError)


def test_snapshot_is_read_in_pages():
    def respond(path, query):
        has_more = "after=" not in query
        key = "a" if has_more else "b"
        value = base64.b64encode(b"1").decode()
        items = [{"key": key, "value": value, "offset": 4}]
        end = 8 if has_more else 12
        return 200, json.dumps(
            {"items": items, "has_more": has_more, "end": end}
        ).encode()

    page = call_store(respond, lambda s: s.read_snapshot(Topic.OPERATORS))
    assert page.records == (("a", b"1"), ("b", b"1"))
    assert page.next_offset == 8


def test_undecodable_snapshot_raises_store_error():
    with pytest.raises(StoreError):
        call_store(lambda *_: (200, b"{"), lambda s: s.read_snapshot(Topic.OPERATORS))


def test_unreachable_store_raises_store_error():
    async def main(loop):
        with pytest.raises(StoreError):
            await PlatformStore("10.9.0.9:80").read_snapshot(Topic.OPERATORS)

    run_virtual(main)


def test_unresponsive_store_times_out():
    async def main(loop):
        loop.unreachable.add(ADDRESS)
        start_s = loop.time()
        with pytest.raises(StoreError):
            await PlatformStore("10.9.0.1:80").read_snapshot(Topic.OPERATORS)
        return loop.time() - start_s

    assert run_virtual(main) < 1.6


class SlowStoreConn(SimulatedStoreConn):
    """Sends the response in pieces, as they arrive over a slow link."""

    def __init__(self, pieces, interval_s):
        super().__init__(None)
        self.pieces = pieces
        self.interval_s = interval_s

    def on_message_complete(self):
        loop = asyncio.get_running_loop()
        size = sum(map(len, self.pieces))
        head = f"HTTP/1.1 200 X\r\nContent-Length: {size}\r\n\r\n"
        self.transport.write(head.encode())
        for number, piece in enumerate(self.pieces, 1):
            loop.call_later(number * self.interval_s, self.transport.write, piece)


def read_in_pieces(interval_s):
    body = struct.pack(">QQ", 5, 0) + encode_record("config", b"x" * 4000)
    pieces = [body[start : start + 400] for start in range(0, len(body), 400)]

    async def main(loop):
        loop.servers[ADDRESS] = lambda: SlowStoreConn(pieces, interval_s)
        store = PlatformStore("10.9.0.1:80")
        try:
            return await store.read(Topic.OPERATORS, 0, 0.0)
        finally:
            store.close()

    return run_virtual(main)


def test_slow_response_is_read_while_data_arrives():
    """Guards against a time limit on the whole response.

    With such a limit in a large deployment, reading 1 MB of records over a link of
    5 Mbit/s timed out, and so did every retry.
    """
    assert read_in_pieces(0.4).records == (("config", b"x" * 4000),)


def test_stalled_response_raises_store_error():
    with pytest.raises(StoreError, match="stopped"):
        read_in_pieces(0.8)


def test_page_without_the_records_that_it_announces_raises_store_error():
    page = struct.pack(">QQ", 6, 0)
    with pytest.raises(StoreError, match="truncated"):
        call_store(lambda *_: (200, page), lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))


def read_cut(body, size, call):
    """Read a response without a length whose connection ends after some bytes."""
    script = Script([b"HTTP/1.1 200 OK\r\n\r\n" + body[:size]], "close")

    async def main(loop):
        loop.servers[ADDRESS] = lambda: ScriptedServer([script])
        return await call(PlatformStore("10.9.0.1:80"))

    return run_virtual(main)


def test_cut_page_has_no_more_than_the_records_that_arrived():
    records = [("a", b"1"), ("b", b"2"), ("c", b"3")]
    encoded = [encode_record(key, value) for key, value in records]
    body = struct.pack(">QQ", 7, 0) + b"".join(encoded)
    arrived = {16 + sum(map(len, encoded[:n])): n for n in range(1, 4)}
    for size in range(len(body) + 1):
        if size not in arrived:
            with pytest.raises(StoreError):
                read_cut(body, size, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))
            continue
        page = read_cut(body, size, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))
        assert page.records == tuple(records[: arrived[size]])
        assert page.next_offset == 4 + arrived[size]


def test_cut_snapshot_is_an_error():
    items = [{"key": k, "value": "MQ==", "offset": 4} for k in ("a", "b")]
    body = json.dumps({"items": items, "has_more": False, "end": 6}).encode()
    for size in range(len(body)):
        with pytest.raises(StoreError):
            read_cut(body, size, lambda s: s.read_snapshot(Topic.ENDPOINTS))


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, struct.pack(">QQ", 4, 0)),
        (410, b"{}"),
        (429, b""),
        (503, b""),
        (200, b"cut"),
    ],
)
def test_era_of_every_response_is_taken_in(status, body):
    async def call(store):
        try:
            page = await store.read(Topic.ENDPOINTS, 4, 0.0)
            assert page.era == 7
        except StoreError:
            pass
        return store.era.number

    assert call_store(lambda *_: (status, body), call, "Store-Era: 7\r\n") == 7


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"1.5", b"9" * 40, b"\xc2\xb2"])
def test_era_that_is_no_number_is_no_era(value):
    assert decode_era([(b"store-era", value)]) == 0
    assert decode_era([]) == 0


def test_offset_beyond_the_end_raises_offset_out_of_range():
    page = struct.pack(">QQ", 3, 0)
    with pytest.raises(OffsetOutOfRangeError):
        call_store(lambda *_: (200, page), lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))


def test_snapshot_of_two_eras_is_an_error():
    eras = iter((1, 2))

    class RestoredStoreConn(SimulatedStoreConn):
        def on_message_complete(self):
            self.extra_headers = f"Store-Era: {next(eras)}\r\n"
            super().on_message_complete()

    def respond(path, query):
        item = {"key": "a", "value": "MQ==", "offset": 4}
        page = {"items": [item], "has_more": "after=" not in query, "end": 8}
        return 200, json.dumps(page).encode()

    async def main(loop):
        loop.servers[ADDRESS] = lambda: RestoredStoreConn(respond)
        with pytest.raises(EraChangedError):
            await PlatformStore("10.9.0.1:80").read_snapshot(Topic.OPERATORS)

    run_virtual(main)


@pytest.mark.parametrize(
    ("response", "first"),
    [
        ((410, b'{"first":7}'), 7),
        ((410, b"{}"), None),
        ((410, b"gone"), None),
        ((200, struct.pack(">QQ", 9, 7)), 7),
    ],
)
def test_dropped_records_tell_the_first_that_is_left(response, first):
    with pytest.raises(OffsetOutOfRangeError) as caught:
        call_store(lambda *_: response, lambda s: s.read(Topic.ENDPOINTS, 4, 0.0))
    assert caught.value.first == first


@pytest.mark.parametrize("same_key", [True, False])
def test_snapshot_whose_pages_always_have_one_more_is_an_error(monkeypatch, same_key):
    monkeypatch.setattr(store, "MAX_SNAPSHOT_RECORDS", 1000)
    pages = 0

    def respond(path, query):
        nonlocal pages
        pages += 1
        key = "k" if same_key else f"k{pages}"
        items = [{"key": key, "value": "eA==", "offset": 1}] * 20
        return 200, json.dumps({"items": items, "end": 5, "has_more": True}).encode()

    with pytest.raises(StoreError, match="do not end"):
        call_store(respond, lambda s: s.read_snapshot(Topic.ENDPOINTS))
    assert pages <= 1000 / 20 + 1


@pytest.mark.parametrize(
    ("response", "error"),
    [
        ((200, b'{"offset": 7, "end": 8}'), None),
        ((200, b"{}"), None),
        ((412, b'{"end": 10}'), OffsetConflictError),
        ((412, b"{not json"), OffsetConflictError),
        ((409, b"{}"), StoreError),
        ((503, b"{}"), StoreError),
    ],
)
def test_conditional_write_states_the_offset_and_checks_it(response, error):
    """A record behind one that the writer has not read could undo a final state."""

    def respond(path, query):
        assert path == "/v1/log-append"
        assert "at=7" in query
        return response

    async def call(store):
        await store.append_at(Topic.ROUTERS, "rollout/s", b"{}", 7)

    if error is None:
        call_store(respond, call)
        return
    with pytest.raises(error):
        call_store(respond, call)
