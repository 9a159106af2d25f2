"""The planned stop: leave without cutting a call."""

from typing import Any

from cranberrysail.decisions.actions import Stopped
from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import StopRequested, Tick
from cranberrysail.decisions.invariants import Invariant

__all__ = ["DrainController"]

SETTLE_S = 2.0


@CONTROLLERS.register("drain")
class DrainController(BaseController):
    """Ends the process once its last call is done."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._since_s: float | None = None
        self._done = False

    @on(StopRequested)
    def stop(self, event: StopRequested, now: float) -> None:
        """Begin to drain; the ready check fails from now on."""
        if self._since_s is None:
            self._since_s = now
        self.board.draining = True

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Stop when nothing is open and the others have heard."""
        if self._since_s is None or self._done or self.board.open_calls:
            return
        if now - self._since_s < SETTLE_S:
            return
        if self.board.slots and self.board.zone_owners(self.board.zone) != [
            self.board.name
        ]:
            return
        self._done = True
        self.board.invariants.check(
            Invariant.STOP_CUTS_NOTHING, not self.board.held, now, "calls are open"
        )
        self.act(Stopped())

    def dump(self) -> dict[str, Any]:
        """Return whether the router drains."""
        return {"draining": self.board.draining}
