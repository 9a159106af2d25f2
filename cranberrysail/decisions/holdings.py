"""Telling owners which permits this router holds."""

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import MembersChanged, Tick
from cranberrysail.decisions.messages import Holding

__all__ = ["HoldingsController"]

# Owners hear at least this seldom, and more seldom from a router with many.
HOLDING_MIN_S = 5.0
HOLDING_EACH_S = 0.1


@CONTROLLERS.register("holdings")
class HoldingsController(BaseController):
    """Keeps owners' permits in line with the calls that run."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._next_s = 0.0

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Tell all owners from time to time."""
        if now < self._next_s:
            return
        used = self.board.used
        for endpoint in self.board.held:
            used[endpoint] = now
        interval_s = max(HOLDING_MIN_S, HOLDING_EACH_S * len(used))
        self._next_s = now + interval_s
        for endpoint in list(used):
            self._tell(endpoint)
            if now - used[endpoint] > 2 * interval_s:
                del used[endpoint]

    @on(MembersChanged)
    def members_changed(self, event: MembersChanged, now: float) -> None:
        """Tell new owners of the permits that this router holds."""
        for endpoint, before in list(self.board.holders.items()):
            owner = self.board.owner_of(endpoint)
            if owner != before:
                self.board.holders[endpoint] = owner
                self._tell(endpoint)

    def _tell(self, endpoint: str) -> None:
        owner = self.board.owner_of(endpoint)
        held = self.board.held.get(endpoint, {})
        if owner is not None:
            self.send(owner, Holding(endpoint, tuple(held.values())))
