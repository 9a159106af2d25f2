"""Keeps the listed endpoints current and notes when a zone returns to service."""

from typing import Any

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import HostsRead, TablesChanged

__all__ = ["HostListController"]


@CONTROLLERS.register("hosts")
class HostListController(BaseController):
    """Keeps the listed endpoints and the times at which zones returned.

    Placement uses the times, as the endpoints of such a zone may still hold caches.
    """

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._previous_zones_out: set[str] = set()

    @on(HostsRead)
    def hosts_read(self, event: HostsRead, now: float) -> None:
        """Replace the list of endpoints if it changed."""
        listed_endpoints = {listed.name: listed for listed in event.hosts}
        if listed_endpoints == self.board.listed_endpoints:
            return
        self.board.listed_endpoints = listed_endpoints
        self.board.invalidate_caches()

    @on(TablesChanged)
    def tables_changed(self, event: TablesChanged, now: float) -> None:
        """Record the zones that returned to service."""
        current = set(self.board.tables.zones_out)
        for zone in self._previous_zones_out - current:
            self.board.zone_returned_s[zone] = now
        for zone in current:
            self.board.zone_returned_s.pop(zone, None)
        self._previous_zones_out = current

    def dump(self) -> dict[str, Any]:
        """Return the number of endpoints by zone."""
        counts: dict[str, int] = {}
        for listed in self.board.listed_endpoints.values():
            counts[listed.zone] = counts.get(listed.zone, 0) + 1
        return counts
