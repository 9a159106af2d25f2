"""Orders to move a service to another version, and the status of their execution."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "MAX_VERSION_CHARS",
    "Phase",
    "RolloutBound",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
]

# Longer versions of endpoints, and unprintable ones, are not told apart.
MAX_VERSION_CHARS = 64


@dataclass(frozen=True, slots=True)
class RolloutBound:
    """Bound on the requests that an unproven version may receive.

    Attributes:
      exposure_share: Fraction of the requests of a service, over all routers.
      exposure_slack: Further requests.
      rollback_s: Time after its 50th bad response from which on a bad version may
        receive no request.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move the traffic of a service to a version.

    Attributes:
      to: The version that the traffic is moved to.
      duration_s: Time from the order to its deadline.
    """

    service: str
    to: str
    duration_s: float


class RolloutState(StrEnum):
    """State of an order as operators and endpoints read it.

    Attributes:
      RUNNING: The order is being executed.
      COMPLETED: The traffic was moved; the old endpoints stop at once.
      ROLLED_BACK: The traffic stays where it was; the new endpoints drain.
    """

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Phase(StrEnum):
    """How far an order has come.

    Attributes:
      EXPOSURE: A fraction of the calls tries the new version.
      SHIFT: The new version was found good, and all new calls move to it.
      STOPPED: The new version gets no calls; not yet in the store.
      COMPLETED: The store has the final state ``completed``.
      ROLLED_BACK: The store has the final state ``rolled_back``.
    """

    EXPOSURE = "exposure"
    SHIFT = "shift"
    STOPPED = "stopped"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def rank(self) -> int:
        """Return the position in the order of phases; a lower one is never returned to.

        Only one final state of an order can be in the store, as it is appended under a
        condition. It also replaces what a router without contact has decided.
        """
        return _RANKS[self]

    @property
    def is_final(self) -> bool:
        """Return whether the store has a final state of the order."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)

    @property
    def state(self) -> RolloutState:
        """Return the state that the store is to show."""
        if self is Phase.COMPLETED:
            return RolloutState.COMPLETED
        if self in (Phase.STOPPED, Phase.ROLLED_BACK):
            return RolloutState.ROLLED_BACK
        return RolloutState.RUNNING


_RANKS = {
    Phase.EXPOSURE: 0,
    Phase.SHIFT: 1,
    Phase.STOPPED: 2,
    Phase.COMPLETED: 3,
    Phase.ROLLED_BACK: 3,
}


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The record of an order's execution in the store.

    Attributes:
      phase: How far the order has come, of those with the state ``running``.
      started_ms: First read of the order by any router, in Unix milliseconds; 0 if it
        is not known.
      old_versions: Versions of the service's other endpoints when the order was first
        read; None if they are not known.
      reason: Why it was rolled back, for operators.
    """

    service: str
    to: str
    state: RolloutState
    phase: Phase
    duration_s: float | None = None
    started_ms: int = 0
    old_versions: frozenset[str] | None = None
    reason: str = ""

    @property
    def is_final(self) -> bool:
        """Return whether the order has ended."""
        return self.state is not RolloutState.RUNNING

    def concerns(self, order: RolloutOrder) -> bool:
        """Return whether this is the status of an order."""
        same_duration = self.duration_s in (None, order.duration_s)
        return self.to == order.to and same_duration
