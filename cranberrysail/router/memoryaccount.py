"""The memory that a process holds for its connections, and who yields if it is short.

What is charged is an estimate of what the process really takes: objects besides bytes.
The decisions are given the time and do no I/O; whoever holds memory releases it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CONNECTION_BYTES",
    "HEADER_OBJECT_BYTES",
    "HoldingKind",
    "MemoryAccount",
    "MemoryHolding",
    "budget_bytes",
]

# Memory assumed for a process if the settings give none: the smallest hosts have that.
DEFAULT_MEMORY_MB = 200.0
# Larger figures, infinite ones too, are taken for mistakes.
MAX_MEMORY_MB = 1e9
# Fraction of the process's memory that connections may hold. The interpreter, the
# code and the tables of a large fleet take about 60 MB of the 200 MB of the smallest
# hosts, and memory that was freed in pieces is not all returned to the system.
BUDGET_FRACTION = 0.4
# Two requests of the largest size in the tables fit, however little memory there is.
MIN_BUDGET_BYTES = 16 * 1024 * 1024
# Fraction of the budget above which incomplete requests yield, and to which they yield.
# The rest of the budget remains for complete requests and their responses.
INCOMING_HIGH_FRACTION = 0.75
INCOMING_LOW_FRACTION = 0.6
# Fraction above which calls yield whose callers do not read, and up to which requests
# that hold much are taken on. Small requests have the rest, so that neither keeps them
# out.
RESERVED_FROM_FRACTION = 0.9
# Largest request that may use the rest.
MAX_SMALL_REQUEST_BYTES = 64 * 1024
# Multiple of the budget above which calls in progress yield. New calls are refused at
# the budget, but those in progress may still grow, and connections are added.
RUNNING_FRACTION = 1.25

# An idle connection: transport, protocol and parser. 500 took 11.3 KB each.
CONNECTION_BYTES = 12 * 1024
# One header besides its bytes: its tuple, its place in the list and two objects. Each
# of 1,400 different short ones took 136, without what the allocator rounds up.
HEADER_OBJECT_BYTES = 160


def budget_bytes(memory_mb: float) -> int:
    """Return what connections may hold in a process.

    Args:
      memory_mb: Memory of the process in MB; 0 if it is not known.
    """
    if not 0 < memory_mb < MAX_MEMORY_MB:
        memory_mb = DEFAULT_MEMORY_MB
    return max(MIN_BUDGET_BYTES, int(BUDGET_FRACTION * memory_mb * 1024 * 1024))


class HoldingKind(StrEnum):
    """What memory is held for; the first kinds yield first.

    Attributes:
      INCOMING: Requests that are incomplete or wait behind another on their connection.
      UNREAD: Calls whose caller does not read its response.
      RUNNING: Other calls, and open connections.
    """

    INCOMING = "incoming"
    UNREAD = "unread"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class MemoryHolding:
    """Memory that is held for one connection.

    Attributes:
      release: Called to release it, by whoever carries out the account's decisions.
      held_bytes: Changed by the account only.
      since_s: Time from which it has held something, or is of its present kind.
    """

    release: Callable[[], None]
    kind: HoldingKind
    held_bytes: int = 0
    since_s: float = 0.0

    def weight(self, now: float) -> float:
        """Return bytes times seconds; the holding that has the most yields first."""
        return self.held_bytes * (now - self.since_s)


@dataclass(slots=True)
class MemoryAccount:
    """What all connections of a process hold together.

    Attributes:
      budget: Most that they are to hold, in bytes.
      used: What they hold now.
      calm_bytes: What they may hold before anybody yields.
    """

    budget: int = field(default_factory=lambda: budget_bytes(0))
    used: int = 0
    calm_bytes: int = field(init=False, default=0)
    _holdings: dict[HoldingKind, set[MemoryHolding]] = field(
        default_factory=lambda: {kind: set() for kind in HoldingKind}
    )

    def __post_init__(self) -> None:
        self.set_budget(self.budget)

    def set_budget(self, budget: int) -> None:
        """Apply a changed budget."""
        self.budget = budget
        self.calm_bytes = int(INCOMING_HIGH_FRACTION * budget)

    def adjust(self, holding: MemoryHolding, held_bytes: int) -> bool:
        """Change what a holding holds, and return whether anybody may have to yield.

        Args:
          holding: A holding that holds something.
          held_bytes: What it holds now; not 0.
        """
        self.used += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        return self.used > self.calm_bytes

    def charge(self, holding: MemoryHolding, held_bytes: int, now: float) -> None:
        """Set what a holding holds.

        Args:
          holding: The holding.
          held_bytes: What it holds now; 0 ends it.
          now: Current time in seconds.
        """
        if not holding.held_bytes and held_bytes:
            holding.since_s = now
            self._holdings[holding.kind].add(holding)
        elif holding.held_bytes and not held_bytes:
            self._holdings[holding.kind].discard(holding)
        self.used += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes

    def set_kind(self, holding: MemoryHolding, kind: HoldingKind, now: float) -> None:
        """Change what a holding is for; its time starts again."""
        if holding.kind is kind:
            return
        self._holdings[holding.kind].discard(holding)
        holding.kind = kind
        holding.since_s = now
        if holding.held_bytes:
            self._holdings[kind].add(holding)

    def has_room(self, new_bytes: int) -> bool:
        """Return whether new work may be taken on.

        Args:
          new_bytes: What it will hold besides what is held for it already.
        """
        room = self.budget
        if new_bytes > MAX_SMALL_REQUEST_BYTES:
            room *= RESERVED_FROM_FRACTION
        return self.used + new_bytes <= room

    @property
    def is_short(self) -> bool:
        """Return whether anybody has to yield."""
        if self.used <= self.calm_bytes:
            return False
        if self._holdings[HoldingKind.INCOMING]:
            return True
        if self._holdings[HoldingKind.UNREAD]:
            return self.used > RESERVED_FROM_FRACTION * self.budget
        return self.used > RUNNING_FRACTION * self.budget

    def next_to_yield(self, now: float) -> list[MemoryHolding]:
        """Return the holdings that yield now, in order; empty if memory suffices.

        Incomplete requests yield until the account is clearly below its budget, so
        that this is rarely computed. Calls whose callers do not read yield close to
        the budget, and others only if the account exceeds it by far.

        Args:
          now: Current time in seconds.
        """
        if not self.is_short:
            return []
        target = INCOMING_LOW_FRACTION * self.budget
        chosen, left = self._heaviest(HoldingKind.INCOMING, self.used, target, now)
        target = RESERVED_FROM_FRACTION * self.budget
        more, left = self._heaviest(HoldingKind.UNREAD, left, target, now)
        chosen += more
        most = RUNNING_FRACTION * self.budget
        return chosen + self._heaviest(HoldingKind.RUNNING, left, most, now)[0]

    def _heaviest(
        self, kind: HoldingKind, used: int, target: float, now: float
    ) -> tuple[list[MemoryHolding], int]:
        """Return the heaviest holdings above a target, and what is used without them.

        Args:
          kind: Kind of the holdings.
          used: What is used before any of them yields.
          target: What is to be used at most.
          now: Current time in seconds.
        """
        chosen = []
        if used <= target:
            return chosen, used
        holdings = sorted(
            self._holdings[kind], key=lambda h: h.weight(now), reverse=True
        )
        for holding in holdings:
            if used <= target:
                break
            used -= holding.held_bytes
            chosen.append(holding)
        return chosen, used
