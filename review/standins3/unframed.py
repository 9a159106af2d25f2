"""A stand-in of a worker as a process of its own: ``unframed.py HOST PORT ID``.

Its answers have no length and end with their connection, which the pages allow. It
prints a line when it listens, and one for each request that it begins to run.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins3.wire import ClosedError, read_request, response

PIECES = 8
PIECE_S = 0.05


def whole_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return b"".join(f"{request_id} {n:02} ".encode() * 5 for n in range(PIECES))


async def serve(worker_id: str, reader, writer) -> None:
    """Answer one request, and end the connection."""
    try:
        request = await read_request(reader)
        request_id = request.headers.get("cranberrysail-attempt-id", "")
        headers = {"Cranberrysail-Attempt-Id": request_id}
        if request.headers.get("cranberrysail-expected-instance") != worker_id:
            writer.write(response(421, headers, b""))
            return
        print(request_id, flush=True)
        headers["Cranberrysail-Response-Seal"] = f"seal.{request_id}"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        body = whole_body(request_id)
        size = len(body) // PIECES
        for start in range(0, len(body), size):
            await asyncio.sleep(PIECE_S)
            writer.write(body[start : start + size])
            await writer.drain()
    except (ClosedError, ConnectionError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until the process is killed."""
    host, port, worker_id = sys.argv[1:]
    server = await asyncio.start_server(
        lambda reader, writer: serve(worker_id, reader, writer), host, int(port)
    )
    print("listening", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
