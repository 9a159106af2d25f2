"""Detection of peers that are gone, told apart from those that are slow to read.

The kernel ends a connection whose data stay unacknowledged for its user timeout. It
counts the time for which the peer's receive window is closed, too, though the peer
answers the probes of the window (tcp(7), TCP_USER_TIMEOUT). While the window is closed,
the timeout is therefore extended, and the answers to the probes are watched here.
"""

import asyncio
import socket
from collections.abc import Callable

from cranberrysail.router.clock import now
from cranberrysail.router.tcpstate import TcpState, read_tcp_state

__all__ = ["WindowWatch", "enable_dead_peer_detection"]

# A connection whose data stays unacknowledged for this long is closed.
TCP_USER_TIMEOUT_MS = 1000
# An idle connection is probed after one second, and closed one second later if there
# is no reply. On Linux the number of probes has no effect, since TCP_USER_TIMEOUT
# overrides it.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Interval at which the state of a connection with unacknowledged data is read, a few
# times before the user timeout.
WATCH_INTERVAL_S = 0.2
# Once a window has closed, the user timeout is this far ahead. The kernel probes the
# window at this interval, too, instead of ever more rarely.
PROBE_INTERVAL_S = 0.8
# A peer that owes an acknowledgement and has sent none for this long is gone. Linux
# answers no probe within 0.5 s of another one, and the next one comes at most twice as
# long after it.
GONE_AFTER_S = 1.6
# The smallest receive buffers of Linux hold about this much, so smaller requests do not
# depend on how fast the peer reads.
MIN_WATCHED_BYTES = 1024


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Set the TCP options by which the kernel detects an unreachable peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class WindowWatch:
    """Keeps a connection open while its peer is there but does not read.

    Attributes:
      has_closed: True once the window was seen closed. The kernel may go on counting
        from then, so that the next time it ends the connection at once.
    """

    def __init__(
        self,
        transport: asyncio.BaseTransport,
        on_gone: Callable[[], None],
    ) -> None:
        """Create a watch that has not started.

        Args:
          transport: Transport of the connection.
          on_gone: Called if the peer leaves the probes of its window unanswered.
        """
        self._transport = transport
        self._on_gone = on_gone
        self._timer: asyncio.TimerHandle | None = None
        self._started_s = 0.0
        self.has_closed = False
        self._owed_acknowledgement = False

    def request_written(self, size: int) -> None:
        """Watch the connection until a request of this size is acknowledged."""
        if size > MIN_WATCHED_BYTES and self._timer is None:
            self._started_s = now()
            self._schedule()

    def stop(self) -> None:
        """End the watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(WATCH_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        state = read_tcp_state(self._transport)
        if state is None:
            return
        if not state.has_unacknowledged:
            self._owed_acknowledgement = False
            return
        if self._is_gone(state):
            self._on_gone()
            return
        if state.is_window_closed:
            self.has_closed = True
        if self.has_closed:
            # Counted from the start, as the kernel may not begin anew after a window
            # has opened in part.
            self._set_timeout(now() - self._started_s + PROBE_INTERVAL_S)
        self._schedule()

    def _is_gone(self, state: TcpState) -> bool:
        """Return whether the peer owes an acknowledgement for too long."""
        owed_before = self._owed_acknowledgement
        owes = bool(state.in_flight or state.unanswered_probes)
        self._owed_acknowledgement = owes
        return owes and owed_before and state.acknowledged_ago_s > GONE_AFTER_S

    def _set_timeout(self, timeout_s: float) -> None:
        """Set the user timeout, which is never shorter than usual."""
        timeout_ms = max(TCP_USER_TIMEOUT_MS, int(timeout_s * 1000))
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
