"""Exchange of endpoint loads between routers.

Load reports arrive only with responses, so in a large fleet one router seldom gets a
report from a given endpoint, and the endpoint that ranks first for a prompt goes on
receiving calls while few routers know that it is full. Routers therefore share the
reports they have, in the same requests by which they read store records from each
other, mostly within their zone.
"""

import msgspec

from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.load import REPORT_MAX_AGE_S, LoadTracker

__all__ = ["LoadGossip", "LoadGossipItem"]


class LoadGossipItem(msgspec.Struct, frozen=True, array_like=True):
    """Load of an endpoint as reported to some router.

    Attributes:
      endpoint_id: Id of the endpoint.
      started_ms: Start of its incarnation, in milliseconds since the epoch.
      load: Open calls at the endpoint, from all routers, without the call that brought
        the report.
      age_ms: Age of the report.
    """

    endpoint_id: str
    started_ms: int
    load: int
    age_ms: int


class LoadGossip:
    """Shares this router's load reports and merges those of other routers."""

    def __init__(self, loads: LoadTracker, endpoints: EndpointDirectory) -> None:
        """Create an instance for one router.

        Args:
          loads: Loads that this router knows.
          endpoints: Endpoints that this router knows.
        """
        self._loads = loads
        self._endpoints = endpoints

    def known_loads(self, now: float) -> tuple[LoadGossipItem, ...]:
        """Return all load reports that are recent enough to be used."""
        items = []
        for endpoint in self._endpoints:
            stats = self._loads.stats(endpoint)
            age_s = now - stats.reported_s
            if age_s > REPORT_MAX_AGE_S:
                continue
            endpoint_id, started_ms = endpoint.incarnation
            items.append(
                LoadGossipItem(
                    endpoint_id, started_ms, stats.reported_calls, round(age_s * 1000)
                )
            )
        return tuple(items)

    def merge(self, items: tuple[LoadGossipItem, ...], now: float) -> None:
        """Merge the reports of another router, except older or unknown ones."""
        for item in items:
            endpoint = self._endpoints.get(item.endpoint_id)
            if endpoint is None or endpoint.incarnation != (
                item.endpoint_id,
                item.started_ms,
            ):
                continue
            at_s = now - max(0, item.age_ms) / 1000
            self._loads.record_load(endpoint, max(0, item.load), at_s)
