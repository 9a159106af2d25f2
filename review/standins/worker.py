"""A stand-in of a worker, as a process of its own: ``worker.py SETTINGS``.

It prints a line of JSON for each request that it runs or turns away.
"""

import asyncio
import hashlib
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.message import ClosedError, Message, read_message, serialize

# Bytes of the answer of a plain service.
ANSWER_BYTES = 800


class Worker:
    """Runs ``slots`` requests at once; others wait."""

    def __init__(self, settings: dict) -> None:
        """Create a worker.

        Args:
          settings: ``id``, ``host``, ``port``, ``slots``, and ``work_s`` of a plain
            service, or ``first_s``, ``events`` and ``gap_s`` of a model worker.
        """
        self._settings = settings
        self._slots = asyncio.Semaphore(settings["slots"])
        self._running = 0
        self._waiting = 0

    async def run(self) -> None:
        """Serve until the process is ended."""
        host, port = self._settings["host"], self._settings["port"]
        server = await asyncio.start_server(self._serve, host, port)
        self._write_record("listening", Message(""))
        await server.serve_forever()

    def _write_record(self, did: str, request: Message) -> None:
        words = [*request.start.split(" "), "", ""]
        line = {
            "worker": self._settings["id"],
            "did": did,
            "id": request.headers.get("cranberrysail-attempt-id", ""),
            "method": words[0],
            "target": words[1],
            "body_bytes": len(request.body),
            "body_sha": hashlib.sha256(request.body).hexdigest()[:16],
        }
        print(json.dumps(line), flush=True)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer) -> None:
        headers = {"Cranberrysail-Instance-Id": self._settings["id"]}
        expected = request.headers.get("cranberrysail-expected-instance")
        if expected not in (None, self._settings["id"]):
            self._write_record("misdirected", request)
            writer.write(serialize("HTTP/1.1 421 Misdirected Request", headers))
            await writer.drain()
            return
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                await self._run_request(request, writer)
            finally:
                self._running -= 1

    async def _run_request(self, request: Message, writer) -> None:
        settings = self._settings
        self._write_record("run", request)
        request_id = request.headers.get("cranberrysail-attempt-id", "")
        headers = {
            "Cranberrysail-Attempt-Id": request_id,
            "Cranberrysail-Response-Seal": f"seal.{request_id}",
            "Cranberrysail-Server-Load": (
                f"{self._running},{self._waiting},{settings['slots']}"
            ),
        }
        if "work_s" in settings:
            await asyncio.sleep(settings["work_s"])
            body = request_id.encode().ljust(ANSWER_BYTES, b".")
            writer.write(serialize("HTTP/1.1 200 OK", headers, body))
            await writer.drain()
            return
        await asyncio.sleep(settings["first_s"])
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(serialize("HTTP/1.1 200 OK", headers, None))
        for number in range(1, settings["events"] + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(settings["gap_s"])
        writer.write(b"0\r\n\r\n")
        await writer.drain()


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
