"""The platform's metadata store as PROTOCOL.md describes it: keyed topics only."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from review.standins2.wire import Message, ReadError, read_message, serialize

__all__ = ["Store"]

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """A linearizable store of keyed records, without a fault unless asked for.

    Attributes:
      address: ``ip:port`` at which it listens.
    """

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._added = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record, as operator and workers do; return the end offset."""
        async with self._added:
            records = self._topics.setdefault(topic, [])
            records.append((key, value))
            self._added.notify_all()
            return len(records)

    async def put_json(self, topic: str, key: str, value: object) -> None:
        """Append a record in JSON."""
        await self.put(topic, key, json.dumps(value).encode())

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(request)
                writer.write(serialize(f"HTTP/1.1 {status} -", {}, body))
                await writer.drain()
        except (ReadError, OSError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        if parts.path == "/v1/log-newest":
            return 200, self._newest(topic, query.get("after", ""))
        if parts.path == "/v1/log-read":
            return await self._read(topic, query)
        if parts.path == "/v1/log-append":
            return await self._append(topic, query, request.body)
        return 404, b"{}"

    def _newest(self, topic: str, after: str) -> bytes:
        records = self._topics.get(topic, [])
        newest = {k: (v, i) for i, (k, v) in enumerate(records)}
        keys = sorted(k for k, (v, _) in newest.items() if v and k > after)
        items = [
            {
                "key": k,
                "value": base64.b64encode(newest[k][0]).decode(),
                "offset": newest[k][1],
            }
            for k in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        page = {"items": items, "has_more": more, "end": len(records)}
        return json.dumps(page).encode()

    async def _read(self, topic: str, query: dict[str, str]) -> tuple[int, bytes]:
        start, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        if start > len(self._topics.get(topic, [])):
            return 410, b'{"first":0}'
        try:
            async with asyncio.timeout(wait_s), self._added:
                await self._added.wait_for(
                    lambda: len(self._topics.get(topic, [])) > start
                )
        except TimeoutError:
            pass
        records = self._topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    async def _append(
        self, topic: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        end = len(self._topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        while body:
            (size,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + size], body[4 + size :]
            key_end = 1 + content[0]
            await self.put(topic, content[1:key_end].decode(), content[key_end:])
        answer = {"offset": end, "end": len(self._topics[topic])}
        return 200, json.dumps(answer).encode()
