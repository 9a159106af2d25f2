"""A stand-in of the platform's metadata store: logs over HTTP, in memory.

It has the three keyed topics that routers use. Reads wait for new records, as the page
on the store says, unless the store is told to keep them waiting.
"""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from review.standins3.wire import ClosedError, read_request, response

ANSWER_S = 0.004


class Topic:
    """The records of one topic, of which the oldest may have been dropped."""

    def __init__(self) -> None:
        """Create a topic without records."""
        self.first = 0
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Add a record and return its offset; an empty value removes the key."""
        offset = self.end
        self.records.append((key, value))
        self.newest[key] = (offset, value)
        if not value:
            del self.newest[key]
        return offset

    def drop_history(self) -> None:
        """Drop all records; the newest one of each key can still be listed."""
        self.first = self.end
        self.records.clear()


class Store:
    """The store and its listener.

    Attributes:
      address: ``ip:port`` at which it listens.
      holds_reads: True while reads that wait are not told of new records.
      era: Value of the header ``Store-Era``.
    """

    def __init__(self) -> None:
        """Create a store without records."""
        self.topics: dict[str, Topic] = {}
        self.address = ""
        self.holds_reads = False
        self.era = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as the operator and the workers do; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append(key, data)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self, topic: str) -> None:
        """Drop the records of a topic, and cut the reads that wait."""
        self.topic(topic).drop_history()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await asyncio.sleep(ANSWER_S)
                status, body = await self._respond(request)
                headers = {"Store-Era": str(self.era)}
                writer.write(response(status, headers, body))
                await writer.drain()
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            # The stand-in ends with its connections.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _respond(self, request) -> tuple[int, bytes]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self.topic(query["topic"])
        if parts.path == "/v1/log-append":
            return self._append(query["topic"], request.body)
        if parts.path == "/v1/log-newest":
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": offset}
                for k, (offset, v) in sorted(topic.newest.items())
            ]
            page = {"items": items, "has_more": False, "end": topic.end}
            return 200, json.dumps(page).encode()
        return await self._read(topic, query)

    def _append(self, name: str, body: bytes) -> tuple[int, bytes]:
        if name != "keyed.status":
            return 403, b"{}"
        offsets = []
        while body:
            (size,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + content[0]
            key, value = content[1:end].decode(), content[end:]
            offsets.append(self.topic(name).append(key, value))
        self._wake()
        answer = {"offset": offsets[0], "end": self.topic(name).end}
        return 200, json.dumps(answer).encode()

    async def _read(self, topic: Topic, query: dict[str, str]) -> tuple[int, bytes]:
        start, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while self.holds_reads or topic.first <= start >= topic.end:
            left_s = until_s - loop.time()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(min(left_s, 0.05)):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.holds_reads:
            # As of the time at which the store began to keep silent.
            return 200, struct.pack(">QQ", start, topic.first)
        if not topic.first <= start <= topic.end:
            return 410, json.dumps({"first": topic.first}).encode()
        body = struct.pack(">QQ", topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
