"""A stand-in of an endpoint, as a process of its own: ``endpoint.py SETTINGS``.

It prints a line of JSON for each request that it runs. A word on standard input changes
how it behaves: ``sound``, ``slow``, ``reset``, ``hanging``, ``endless``, ``leaving`` or
``deaf``.
"""

import asyncio
import hashlib
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from tests.processes.httpmessage import ClosedError, Message, read_message, serialize

EVENTS = 6
EVENT_GAP_S = 0.05
SLOWNESS = 8.0
# Longer than any request waits.
HANG_S = 60.0


class Endpoint:
    """Answers requests of plain services, and streams those of engines."""

    def __init__(self, settings: dict) -> None:
        """Create an endpoint.

        Args:
          settings: ``id``, ``host``, ``port``, ``work_s`` and ``streams``.
        """
        self._settings = settings
        self._mode = "sound"
        self._running = 0

    async def run(self) -> None:
        """Serve until the process is ended."""
        host, port = self._settings["host"], self._settings["port"]
        loop = asyncio.get_running_loop()
        loop.add_reader(sys.stdin.fileno(), self._read_mode)
        server = await asyncio.start_server(self._serve, host, port)
        print(json.dumps({"did": "listen"}), flush=True)
        await server.serve_forever()

    def _read_mode(self) -> None:
        line = sys.stdin.readline()
        if not line:
            sys.exit(0)
        self._mode = line.strip()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                while self._mode == "deaf":
                    # The reader's buffer fills up, and then those of the kernel.
                    await asyncio.sleep(0.1)
                await self._answer(await read_message(reader), writer)
        except (ClosedError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer) -> None:
        settings = self._settings
        if request.headers.get("cranberrysail-expected-instance") != settings["id"]:
            request_id = request.headers.get("cranberrysail-attempt-id", "")
            headers = {"Cranberrysail-Attempt-Id": request_id}
            writer.write(serialize("HTTP/1.1 421 Misdirected Request", headers))
            return
        if self._mode == "reset":
            writer.transport.abort()
            return
        self._running += 1
        try:
            await self._run(request, writer)
        finally:
            self._running -= 1

    async def _run(self, request: Message, writer) -> None:
        settings = self._settings
        request_id = request.headers.get("cranberrysail-attempt-id", "")
        line = {
            "did": "run",
            "at_s": time.monotonic(),
            "endpoint": settings["id"],
            "id": request_id,
            "digest": hashlib.sha256(request.body).hexdigest(),
        }
        print(json.dumps(line), flush=True)
        if self._mode == "hanging":
            await asyncio.sleep(HANG_S)
        slowness = SLOWNESS if self._mode == "slow" else 1.0
        await asyncio.sleep(settings["work_s"] * slowness)
        headers = {
            "Cranberrysail-Attempt-Id": request_id,
            "Cranberrysail-Response-Seal": f"seal.{request_id}",
            "Cranberrysail-Server-Load": f"{self._running},0,{settings['slots']}",
        }
        if self._mode == "leaving":
            headers["Server-Leaving"] = "1"
        if self._mode == "endless":
            await self._send_endless(writer, headers)
        if settings["streams"]:
            await self._stream(writer, headers, request_id)
            return
        body = request_id.encode().ljust(400, b".")
        writer.write(serialize("HTTP/1.1 200 OK", headers, body))
        await writer.drain()

    async def _send_endless(self, writer, headers: dict[str, str]) -> None:
        writer.write(serialize("HTTP/1.1 200 OK", headers, None))
        while True:
            writer.write(b"x" * 16384)
            await writer.drain()
            await asyncio.sleep(0.001)

    async def _stream(self, writer, headers: dict[str, str], request_id: str) -> None:
        framing = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(serialize("HTTP/1.1 200 OK", headers | framing, None))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


if __name__ == "__main__":
    asyncio.run(Endpoint(json.loads(sys.argv[1])).run())
