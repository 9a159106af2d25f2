"""What the kernel knows of a TCP connection whose end was seen.

After a reset, a read returns the bytes that arrived before it, and then an end of input
like that of a connection that was closed in order: the error is reported only once, and
not at all if an end of input arrived before the reset.
"""

import asyncio
import socket
import struct
from dataclasses import dataclass

__all__ = ["TcpState", "read_tcp_state", "read_unread_bytes"]

# Offsets in struct tcp_info of linux/tcp.h.
STATE_OFFSET = 0
UNACKNOWLEDGED_OFFSET = 24
NOT_SENT_OFFSET = 144
TCP_INFO_BYTES = NOT_SENT_OFFSET + 4
# State of a connection that was reset; one that the peer has ended in order stays in
# CLOSE_WAIT until this side ends it, too.
TCP_CLOSE = 7
UINT32 = struct.Struct("=I")
READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class TcpState:
    """State of a connection in the kernel.

    Attributes:
      was_reset: True if the peer has reset the connection.
      has_unacknowledged: True if the peer has not confirmed the receipt of all bytes
        that were written, or not all of them were sent.
    """

    was_reset: bool
    has_unacknowledged: bool


def read_tcp_state(transport: asyncio.BaseTransport) -> TcpState | None:
    """Return the state of a connection; None if the kernel does not tell.

    Args:
      transport: Transport whose socket is open.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    (unacknowledged,) = UINT32.unpack_from(info, UNACKNOWLEDGED_OFFSET)
    (not_sent,) = UINT32.unpack_from(info, NOT_SENT_OFFSET)
    return TcpState(info[STATE_OFFSET] == TCP_CLOSE, bool(unacknowledged or not_sent))


def read_unread_bytes(transport: asyncio.BaseTransport, max_bytes: int) -> bytes:
    """Return bytes that arrived before a reset and were not read.

    Args:
      transport: Transport without TLS, whose socket is open.
      max_bytes: Limit; the rest is dropped.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return b""
    data = bytearray()
    try:
        # The transport's own object does not allow reads.
        with sock.dup() as duplicate:
            while len(data) < max_bytes:
                part = duplicate.recv(min(READ_BYTES, max_bytes - len(data)))
                if not part:
                    break
                data += part
    except OSError:
        # Nothing is left, or the reset is reported.
        pass
    return bytes(data)
