"""The platform's store over HTTP, on top of a store in memory."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs

import httptools

from cranberrysail.platform.store import TOPIC_NAMES, decode_records, encode_record
from cranberrysail.router.memorystore import MemoryStore

TOPICS = {name: topic for topic, name in TOPIC_NAMES.items()}
ITEMS_PER_PAGE = 2


class SimulatedStore:
    """Serves the records of a store in memory.

    Attributes:
      records: The records, and the era in which they are.
      away: True while connections are reset.
    """

    def __init__(self, loop, address: tuple[str, int]) -> None:
        self.records = MemoryStore()
        self.away = False
        self.conns: set[SimulatedStoreConn] = set()
        loop.servers[address] = lambda: SimulatedStoreConn(self)

    def restore(self, copy) -> None:
        """Restore the store from a copy, which resets all connections."""
        self.records.restore(copy)
        for conn in list(self.conns):
            conn.transport.reset()

    async def respond(self, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        """Return the status and body of the response to a call."""
        topic = TOPICS[query["topic"]]
        if path == "/v1/log-append":
            ((key, value),) = decode_records(body)
            end = self.records.bounds(topic)[1]
            if int(query.get("at", end)) != end:
                return 409, json.dumps({"end": end}).encode()
            self.records.append(topic, key, value)
            return 200, json.dumps({"offset": end, "end": end + 1}).encode()
        if path == "/v1/log-newest":
            return 200, self.newest_page(topic, query.get("after", ""))
        start, wait_s = int(query["from"]), int(query["wait_ms"]) / 1000
        first, end = self.records.bounds(topic)
        if not first <= start <= end:
            return 410, json.dumps({"first": first}).encode()
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while (
            len(self.records.records(topic)) <= start
            and asyncio.get_running_loop().time() < deadline_s
        ):
            await asyncio.sleep(0.01)
        first, end = self.records.bounds(topic)
        records = self.records.records(topic)[start:]
        encoded = b"".join(encode_record(key, value or b"") for key, value in records)
        return 200, struct.pack(">QQ", end, first) + encoded

    def newest_page(self, topic, after: str) -> bytes:
        newest = dict(self.records.records(topic))
        keys = sorted(k for k, v in newest.items() if v is not None and k > after)
        items = [
            {"key": k, "value": base64.b64encode(newest[k]).decode(), "offset": 0}
            for k in keys[:ITEMS_PER_PAGE]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > ITEMS_PER_PAGE,
            "end": self.records.bounds(topic)[1],
        }
        return json.dumps(page).encode()


class SimulatedStoreConn(asyncio.Protocol):
    """Server side of a connection to the store."""

    def __init__(self, store: SimulatedStore) -> None:
        self.store = store
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.store.conns.add(self)

    def connection_lost(self, exc) -> None:
        self.store.conns.discard(self)

    def data_received(self, data: bytes) -> None:
        if self.store.away:
            self.transport.reset()
            return
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url = b""
        self.body = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.task = asyncio.ensure_future(self.answer())

    async def answer(self) -> None:
        parsed = httptools.parse_url(self.url)
        query = {k: v[0] for k, v in parse_qs(parsed.query.decode()).items()}
        status, body = await self.store.respond(parsed.path.decode(), query, self.body)
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
            f"Store-Era: {self.store.records.current_era}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
