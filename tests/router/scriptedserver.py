"""A server that answers as a script says, whatever is asked."""

import asyncio
from dataclasses import dataclass

ADDRESS = "10.0.1.1:80"
PIECE_DELAY_S = 0.01


@dataclass
class Script:
    """What a server sends in response to one request.

    Attributes:
      pieces: Data, sent one piece at a time.
      end: ``close``, ``abort`` or ``reset``, or empty to keep the connection.
    """

    pieces: list[bytes]
    end: str = ""


class ScriptedServer(asyncio.Protocol):
    """Answers the requests of a connection as scripted."""

    def __init__(self, scripts):
        self.scripts = list(scripts)

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.task = asyncio.ensure_future(self.send(self.scripts.pop(0)))

    async def send(self, script):
        for piece in script.pieces:
            self.transport.write(piece)
            await asyncio.sleep(PIECE_DELAY_S)
        if script.end == "close":
            self.transport.close()
        elif script.end == "abort":
            self.transport.abort()
        elif script.end == "reset":
            self.transport.reset()
