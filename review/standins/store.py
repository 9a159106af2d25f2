"""A stand-in of the platform's store: keyed logs over HTTP."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from standins.message import ClosedError, Message, read_message, serialize

__all__ = ["Store"]

# Time that the store takes for an answer.
APPEND_S = 0.004
MAX_PAGE_ITEMS = 500
# Topics that the system may not write to.
READ_ONLY = {"keyed.op", "keyed.servers"}


def _encode(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return struct.pack(">I", len(content)) + content


def _decode(data: bytes) -> list[tuple[str, bytes]]:
    records = []
    while data:
        (size,) = struct.unpack_from(">I", data)
        content, data = data[4 : 4 + size], data[4 + size :]
        end = 1 + content[0]
        records.append((content[1:end].decode(), content[end:]))
    return records


class Store:
    """Keeps all records of each topic, in one partition."""

    def __init__(self) -> None:
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._added = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator and the workers do; empty removes a key."""
        async with self._added:
            self._records.setdefault(topic, []).append((key, value))
            self._added.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                status, body = await self._respond(request)
                start = f"HTTP/1.1 {status} -"
                writer.write(serialize(start, {"Store-Era": "1"}, body))
                await writer.drain()
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, request: Message) -> tuple[int, bytes]:
        parts = urlsplit(request.start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        await asyncio.sleep(APPEND_S)
        if parts.path == "/v1/log-append":
            return await self._append(topic, request.body)
        if parts.path == "/v1/log-newest":
            return 200, self._newest(topic, query.get("after", ""))
        if parts.path == "/v1/log-read":
            return await self._read(topic, query)
        return 404, b"{}"

    async def _append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        if topic in READ_ONLY:
            return 403, b"{}"
        first = len(self._records.get(topic, []))
        for key, value in _decode(body):
            await self.put(topic, key, value)
        end = len(self._records.get(topic, []))
        return 200, json.dumps({"offset": first, "end": end}).encode()

    def _newest(self, topic: str, after: str) -> bytes:
        newest = dict(self._records.get(topic, []))
        keys = sorted(key for key, value in newest.items() if value and key > after)
        items = [
            {"key": k, "value": base64.b64encode(newest[k]).decode(), "offset": 0}
            for k in keys[:MAX_PAGE_ITEMS]
        ]
        end = len(self._records.get(topic, []))
        more = len(keys) > MAX_PAGE_ITEMS
        return json.dumps({"items": items, "has_more": more, "end": end}).encode()

    async def _read(self, topic: str, query: dict[str, str]) -> tuple[int, bytes]:
        start, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        if start > len(self._records.get(topic, [])):
            return 410, json.dumps({"first": 0}).encode()

        def has_more() -> bool:
            return len(self._records.get(topic, [])) > start

        try:
            async with asyncio.timeout(wait_s), self._added:
                await self._added.wait_for(has_more)
        except TimeoutError:
            pass
        records = self._records.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        return 200, body + b"".join(_encode(k, v) for k, v in records[start:])
