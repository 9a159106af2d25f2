"""Memory and descriptors of a process, shared by all its listeners."""

import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum

from cranberrysail.router.clock import now
from cranberrysail.router.connectionlimit import ConnectionLimit, max_accepted
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.memoryaccount import (
    CONNECTION_BYTES,
    HoldingKind,
    MemoryAccount,
    MemoryHolding,
    budget_bytes,
)

__all__ = ["ResourceLimits", "ShedReason", "ShedReporter"]

# Fraction of the budget that all accepted connections may hold if they are idle. More
# would have uploads yield although nobody sends anything unusual.
IDLE_FRACTION = 0.25
# Is told the listener, the address of the client, why it was shed, and the bytes held.
ShedReporter = Callable[[str, str, str, int], None]


class ShedReason(StrEnum):
    """Why a connection was closed or a request refused, in log lines and metrics.

    Others are ``memory_`` with the kind of what was held.

    Attributes:
      DESCRIPTORS: There were too many connections.
      REFUSED: There was no room in memory for a new request.
      STUCK: The client read nothing of its response for the idle timeout.
    """

    DESCRIPTORS = "descriptors"
    REFUSED = "memory_refused"
    STUCK = "unread_timeout"


def _ignore(listener: str, client: str, why: str, held_bytes: int) -> None:
    """Report nothing."""


class ResourceLimits:
    """Carries out what the account of memory and the limit on connections decide.

    Attributes:
      account: What all connections hold.
      connections: All accepted connections.
    """

    def __init__(
        self,
        memory_mb: float = 0.0,
        file_descriptors: int = 0,
        report: ShedReporter = _ignore,
    ) -> None:
        """Create limits for a process without connections.

        Args:
          memory_mb: Memory of the process in MB; 0 if it is not known.
          file_descriptors: Descriptors that it may open; 0 if that is not known.
          report: Told of each connection that is closed and each request refused.
        """
        self.account = MemoryAccount()
        self.connections = ConnectionLimit(0)
        self.report = report
        self._is_relieving = False
        self.configure(memory_mb, file_descriptors)

    def configure(self, memory_mb: float, file_descriptors: int) -> None:
        """Apply changed settings."""
        self.account.set_budget(budget_bytes(memory_mb))
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_connections = min(
            max_accepted(file_descriptors),
            int(IDLE_FRACTION * self.account.budget) // CONNECTION_BYTES,
        )
        if allowed != resource.RLIM_INFINITY:
            max_connections = min(max_connections, max_accepted(allowed))
        self.connections.max_connections = max_connections

    def charge(self, holding: MemoryHolding, held_bytes: int) -> None:
        """Set what a holding holds, and have others yield if memory is short."""
        if holding.held_bytes == held_bytes:
            return
        if holding.held_bytes and held_bytes:
            may_be_short = self.account.adjust(holding, held_bytes)
        else:
            self.account.charge(holding, held_bytes, now())
            may_be_short = self.account.used > self.account.calm_bytes
        if may_be_short and self.account.is_short:
            self.relieve()

    def relieve(self) -> None:
        """Release memory while it is short."""
        if self._is_relieving:
            return
        self._is_relieving = True
        try:
            run_isolated(*(h.release for h in self.account.next_to_yield(now())))
        finally:
            self._is_relieving = False

    @contextmanager
    def hold(self, held_bytes: int, release: Callable[[], None]) -> Iterator[None]:
        """Charge memory that belongs to no connection of a listener.

        Args:
          held_bytes: The memory.
          release: Called to release it early.
        """
        holding = MemoryHolding(release, HoldingKind.RUNNING)
        self.charge(holding, held_bytes)
        try:
            yield
        finally:
            self.charge(holding, 0)
