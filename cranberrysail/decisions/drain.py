"""Planned stop: drains open calls before the process exits."""

from typing import Any

from cranberrysail.decisions.actions import ExitProcess
from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import StopRequested, Tick
from cranberrysail.decisions.invariants import Invariant

__all__ = ["DrainController"]

# Shortest drain, so that peers learn of the stop before the process exits.
MIN_DRAIN_S = 2.0


@CONTROLLERS.register("drain")
class DrainController(BaseController):
    """Ends the process once its calls have ended and its endpoints are handed over."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._drain_started_s: float | None = None
        self._stopped = False

    @on(StopRequested)
    def stop(self, event: StopRequested, now: float) -> None:
        """Start draining; the readiness check fails from now on."""
        if self._drain_started_s is None:
            self._drain_started_s = now
        self.board.draining = True

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Stop once no call is open and the owned endpoints are handed over."""
        if self._drain_started_s is None or self._stopped or self.board.open_calls:
            return
        if now - self._drain_started_s < MIN_DRAIN_S:
            return
        # The last router of a zone has nobody to hand its endpoints to.
        if self.board.owned_endpoints and self.board.owner_candidates(
            self.board.zone
        ) != [self.board.name]:
            return
        self._stopped = True
        self.emit(ExitProcess())
        self.board.invariants.check(
            Invariant.STOP_CUTS_NOTHING,
            not self.board.held_permits,
            now,
            "calls are open",
        )

    def dump(self) -> dict[str, Any]:
        """Return whether the router is draining."""
        return {"draining": self.board.draining}
