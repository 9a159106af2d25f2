"""Limit on the connections that a process accepts, and which one closes above it.

The decisions read no time and do no I/O.
"""

from collections.abc import Hashable

__all__ = ["ConnectionLimit", "max_accepted"]

# Descriptors assumed if the settings give none: the smallest hosts have 4,100.
DEFAULT_DESCRIPTORS = 4096
# Descriptors of the platform that are reserved for files.
FILE_DESCRIPTORS = 200
# Fraction of the others that is kept for connections to endpoints, the store and peers.
# A call has one connection to an endpoint, and most accepted connections are idle.
OUTGOING_FRACTION = 0.25
# The store, some exchanges with peers and a few endpoints need that many.
MIN_OUTGOING = 24
# Readiness, metrics, some peers and a few callers can always connect.
MIN_ACCEPTED = 16


def max_accepted(file_descriptors: int) -> int:
    """Return how many connections may be accepted, over all listeners.

    Args:
      file_descriptors: Descriptors that the process may open; 0 if it is not known.
    """
    if file_descriptors <= 0:
        file_descriptors = DEFAULT_DESCRIPTORS
    connections = file_descriptors - FILE_DESCRIPTORS
    outgoing = max(MIN_OUTGOING, int(OUTGOING_FRACTION * connections))
    return max(MIN_ACCEPTED, connections - outgoing)


class ConnectionLimit:
    """The accepted connections of all listeners.

    Attributes:
      max_connections: Most that may be open.
    """

    def __init__(self, max_connections: int) -> None:
        """Create a limit without connections."""
        self.max_connections = max_connections
        self._open: set[Hashable] = set()
        # Those without a complete request, longest first.
        self._incomplete: dict[Hashable, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    def accept(self, conn: Hashable) -> Hashable | None:
        """Add a connection, and return the one to close above the limit.

        That is the one that has been without a complete request for the longest, or
        the new one if all others have a request that is being served.
        """
        victim = None
        if len(self._open) >= self.max_connections:
            victim = next(iter(self._incomplete), conn)
            self.discard(victim)
        if victim is not conn:
            self._open.add(conn)
            self._incomplete[conn] = None
        return victim

    def request_completed(self, conn: Hashable) -> None:
        """Note that a connection has a complete request."""
        self._incomplete.pop(conn, None)

    def request_ended(self, conn: Hashable) -> None:
        """Note that a connection has no complete request any more."""
        if conn in self._open:
            # One that is there already keeps its place.
            self._incomplete[conn] = None

    def discard(self, conn: Hashable) -> None:
        """Remove a connection that is closed, or about to be."""
        self._open.discard(conn)
        self._incomplete.pop(conn, None)
