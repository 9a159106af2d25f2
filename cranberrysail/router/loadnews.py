"""Loads of endpoints, told from router to router.

Answers a fleet so large that one router seldom hears from an endpoint: loads come
with answers only, and a home that few routers know to be full is filled further.
Routers of a zone tell each other what they heard, along with the records that they
read from each other anyway.
"""

import msgspec

from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.load import REPORT_LIFE_S, LoadBook

__all__ = ["LoadNews", "LoadNewsItem"]


class LoadNewsItem(msgspec.Struct, frozen=True, array_like=True):
    """What some router heard of an endpoint.

    Attributes:
      name: The endpoint.
      born: Its incarnation.
      load: Calls that it had, from all routers.
      age_ms: How long ago it said so.
    """

    name: str
    born: int
    load: int
    age_ms: int


class LoadNews:
    """Passes on what is known of loads, and takes what others know."""

    def __init__(self, loads: LoadBook, endpoints: EndpointDirectory) -> None:
        """Create the news of one router.

        Args:
          loads: What this router knows.
          endpoints: The endpoints.
        """
        self._loads = loads
        self._endpoints = endpoints

    def told(self, now: float) -> tuple[LoadNewsItem, ...]:
        """Return what is known and still of use."""
        items = []
        for endpoint in self._endpoints:
            view = self._loads.view(endpoint)
            age_s = now - view.reported_s
            if age_s > REPORT_LIFE_S:
                continue
            name, born = endpoint.key
            items.append(LoadNewsItem(name, born, view.reported, round(age_s * 1000)))
        return tuple(items)

    def hear(self, items: tuple[LoadNewsItem, ...], now: float) -> None:
        """Take news; what is older than what is known is passed over."""
        for item in items:
            endpoint = self._endpoints.get(item.name)
            if endpoint is None or endpoint.key != (item.name, item.born):
                continue
            heard_s = now - max(0, item.age_ms) / 1000
            self._loads.note_load(endpoint, max(0, item.load), heard_s)
