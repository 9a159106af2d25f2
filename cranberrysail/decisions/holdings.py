"""Periodic reports to endpoints' owners of the permits that this router holds."""

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import MembersChanged, Tick
from cranberrysail.decisions.messages import PermitReport

__all__ = ["HoldingsController"]

# The interval between reports grows with the number of endpoints, so that a router with
# many of them reports less often; it never falls below the minimum.
MIN_REPORT_INTERVAL_S = 5.0
REPORT_INTERVAL_PER_ENDPOINT_S = 0.1


@CONTROLLERS.register("holdings")
class HoldingsController(BaseController):
    """Reports held permits, so that owners can confirm or drop theirs."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._next_report_s = 0.0

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Report to the owners of recently used endpoints when the interval has passed.

        An endpoint without permits is still reported for two intervals, so that its
        owner drops permits whose release was lost.
        """
        if now < self._next_report_s:
            return
        last_held_s = self.board.last_held_s
        for endpoint in self.board.held_permits:
            last_held_s[endpoint] = now
        interval_s = max(
            MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_ENDPOINT_S * len(last_held_s)
        )
        self._next_report_s = now + interval_s
        for endpoint in list(last_held_s):
            self._report(endpoint)
            if now - last_held_s[endpoint] > 2 * interval_s:
                del last_held_s[endpoint]

    @on(MembersChanged)
    def members_changed(self, event: MembersChanged, now: float) -> None:
        """Report to each new owner the permits held for its endpoint."""
        for endpoint, before in list(self.board.notified_owners.items()):
            owner = self.board.owner_of(endpoint)
            if owner != before:
                self.board.notified_owners[endpoint] = owner
                self._report(endpoint)

    def _report(self, endpoint: str) -> None:
        owner = self.board.owner_of(endpoint)
        permits = self.board.held_permits.get(endpoint, {})
        if owner is not None:
            self.send(owner, PermitReport(endpoint, tuple(permits.values())))
