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
UNANSWERED_PROBES_OFFSET = 3
IN_FLIGHT_OFFSET = 24
LAST_ACK_RECEIVED_OFFSET = 56
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
      in_flight: Segments that were sent and whose receipt the peer has not confirmed.
      not_sent: Bytes that were written and not sent.
      unanswered_probes: Probes since the last acknowledgement.
      acknowledged_ago_s: Time since the last acknowledgement, also one of a probe.
    """

    was_reset: bool
    in_flight: int = 0
    not_sent: int = 0
    unanswered_probes: int = 0
    acknowledged_ago_s: float = 0.0

    @property
    def has_unacknowledged(self) -> bool:
        """Return whether the peer has not confirmed all that was written."""
        return bool(self.in_flight or self.not_sent)

    @property
    def is_window_closed(self) -> bool:
        """Return whether the peer has confirmed all that it has room for."""
        return bool(self.not_sent and not self.in_flight)


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
    (in_flight,) = UINT32.unpack_from(info, IN_FLIGHT_OFFSET)
    (not_sent,) = UINT32.unpack_from(info, NOT_SENT_OFFSET)
    (acknowledged_ago_ms,) = UINT32.unpack_from(info, LAST_ACK_RECEIVED_OFFSET)
    was_reset = info[STATE_OFFSET] == TCP_CLOSE
    return TcpState(
        was_reset,
        in_flight,
        not_sent,
        info[UNANSWERED_PROBES_OFFSET],
        acknowledged_ago_ms / 1000,
    )


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
