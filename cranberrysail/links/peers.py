"""Messages between routers over ZeroMQ, authenticated and encrypted."""

import asyncio
import hmac
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from cranberrysail import logs
from cranberrysail.decisions import messages
from cranberrysail.decisions.messages import Message
from cranberrysail.settings import PeerKeys

__all__ = ["PeerTransport"]

HIGH_WATER_MESSAGES = 512
HEARTBEAT_MS = 2000
HEARTBEAT_TIMEOUT_MS = 6000
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 120.0
# Framing overhead of a message: two frame headers of two bytes each.
FRAMING_BYTES = 4
MAX_NAME_BYTES = 64

MessageCallback = Callable[[str, Message], None]


@dataclass
class _Connection:
    socket: zmq.asyncio.Socket
    last_used_s: float


class _KeyAuthenticator:
    """Accepts the fleet's public keys; counts connections with other keys."""

    def __init__(self, keys: PeerKeys, counters: Counter) -> None:
        self._accepted = [key.encode() for key in (keys.public, *keys.accept)]
        self._counters = counters

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's public key is accepted."""
        if any(hmac.compare_digest(key, known) for known in self._accepted):
            return True
        self._counters["peers.refused_keys"] += 1
        return False


class PeerTransport:
    """Sends and receives the messages of one router.

    Attributes:
      counters: Messages and bytes by direction, dropped and malformed messages, and
        connections refused for their key.
    """

    def __init__(self, name: str, keys: PeerKeys, receive: MessageCallback) -> None:
        """Create a transport without opening it.

        Args:
          name: Name of this router.
          keys: Keys of the fleet.
          receive: Called with the name of the sender and the message.
        """
        self._name = name.encode()
        self._keys = keys
        self._receive = receive
        self._context = zmq.asyncio.Context()
        self._auth = AsyncioAuthenticator(self._context)
        self._connections: dict[str, _Connection] = {}
        self._server: zmq.asyncio.Socket | None = None
        self._task: asyncio.Task | None = None
        self._log = logs.get_logger("peers")
        self.counters: Counter = Counter()

    def start_listening(self, address: str, port: int) -> int:
        """Start to listen and return the port.

        Args:
          address: IP address to listen on.
          port: Port to listen on, or 0 for any free port.
        """
        self._auth.start()
        self._auth.configure_curve_callback(
            "*", _KeyAuthenticator(self._keys, self.counters)
        )
        server = self._context.socket(zmq.PULL)
        self._set_options(server)
        server.curve_server = True
        server.curve_secretkey = self._keys.secret.encode()
        server.curve_publickey = self._keys.public.encode()
        server.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        server.bind(f"tcp://{address}:{port}")
        self._server = server
        self._task = asyncio.ensure_future(self._receive_loop())
        return int(server.getsockopt_string(zmq.LAST_ENDPOINT).rpartition(":")[2])

    def _set_options(self, socket: zmq.asyncio.Socket) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    async def _receive_loop(self) -> None:
        while True:
            frames = await self._server.recv_multipart()
            self._handle_frames(frames)

    def _handle_frames(self, frames: list[bytes]) -> None:
        if len(frames) != 2 or len(frames[0]) > MAX_NAME_BYTES:
            self.counters["peers.bad_frames"] += 1
            return
        decoded = messages.decode(frames[1])
        if decoded.is_error():
            self.counters["peers.bad_messages"] += 1
            self._log.warning("Dropped a malformed message: {}", decoded.error)
            return
        self.counters["peers.received"] += 1
        self.counters["peers.received_bytes"] += sum(map(len, frames)) + FRAMING_BYTES
        self._receive(frames[0].decode("ascii", "replace"), decoded.ok)

    def send(self, address: str, message: Message, now: float) -> None:
        """Send a message; drop and count it if the queue to the peer is full.

        Args:
          address: ``host:port`` of the peer.
          message: The message.
          now: Current time in seconds.
        """
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connect(address, now)
        connection.last_used_s = now
        data = messages.encode(message)
        try:
            connection.socket.send_multipart([self._name, data], flags=zmq.NOBLOCK)
        except zmq.Again:
            self.counters["peers.dropped"] += 1
            return
        self.counters["peers.sent"] += 1
        self.counters["peers.sent_bytes"] += len(self._name) + len(data) + FRAMING_BYTES

    def _connect(self, address: str, now: float) -> _Connection:
        socket = self._context.socket(zmq.PUSH, socket_class=zmq.Socket)
        self._set_options(socket)
        socket.curve_serverkey = self._keys.public.encode()
        socket.curve_secretkey = self._keys.secret.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.connect(f"tcp://{address}")
        self._connections[address] = _Connection(socket, now)
        return self._connections[address]

    def close_idle(self, now: float) -> None:
        """Close connections that have been unused for ``IDLE_TIMEOUT_S``."""
        for address, connection in list(self._connections.items()):
            if now - connection.last_used_s > IDLE_TIMEOUT_S:
                self.disconnect(address)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer and discard its queued messages."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.socket.close(0)

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._task is not None:
            self._task.cancel()
        for address in list(self._connections):
            self.disconnect(address)
        if self._server is not None:
            self._server.close(0)
        self._auth.stop()
        self._context.destroy(linger=0)
