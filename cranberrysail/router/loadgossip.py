"""Exchange of endpoint loads between routers.

Load reports arrive only with responses, so in a large fleet one router seldom gets a
report from a given endpoint, and the endpoint that ranks first for a prompt goes on
receiving calls while few routers know that it is full. Routers therefore share the
reports they have. Every router exchanges loads with one router of its zone, which
exchanges them with one router of each other zone in turn, so that the messages of a
router do not grow with the number of zones.
"""

import msgspec
from xxhash import xxh32_intdigest

from cranberrysail.router.decoding import MessageDecoder
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory
from cranberrysail.router.load import LoadTracker
from cranberrysail.router.prefillbacklog import parse_pace

__all__ = ["LOADS_PATH", "MAX_SENT_AGE_S", "LoadGossip", "LoadGossipItem"]

# Path at which routers exchange loads.
LOADS_PATH = "/loads"

# Reports older than this are not sent.
MAX_SENT_AGE_S = 5.0
# Unit of the age of a report in a message.
AGE_UNIT_S = 0.01
# Minimum interval between two runs of the index of endpoints, which takes milliseconds
# for thousands of them. Reports of endpoints that are not in it are ignored.
INDEX_INTERVAL_S = 0.5


class LoadGossipItem(msgspec.Struct, frozen=True, array_like=True):
    """Load of an endpoint as reported to some router.

    Attributes:
      endpoint: Hash value of the endpoint's id and incarnation.
      load: Open calls at the endpoint, from all routers, without the call that brought
        the report.
      age: Age of the report, in units of 10 ms.
      waiting: Those of the calls that have no first event.
      pace: Reported pace in percent of the usual time; 0 if there is none.
    """

    endpoint: int
    load: int
    age: int
    # Routers of the release before neither send nor read these.
    waiting: int = 0
    pace: int = 0


def _hash(endpoint: Endpoint) -> int:
    endpoint_id, started_ms = endpoint.incarnation
    return xxh32_intdigest(f"{endpoint_id}:{started_ms}".encode())


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
        self._by_hash: dict[int, Endpoint] = {}
        self._indexed_s = float("-inf")
        self._decoder = MessageDecoder.msgpack(tuple[LoadGossipItem, ...])

    def encode(self, now: float, within_s: float, partner: str = "") -> bytes:
        """Return a message with the load reports that reached this router lately.

        Those that the partner has passed on itself are left out.
        """
        return msgspec.msgpack.encode(self.known_loads(now, within_s, partner))

    def merge_message(self, message: bytes, now: float, source: str = "") -> None:
        """Merge the reports in a message of another router.

        Raises:
          InvalidMessageError: If the message is invalid.
        """
        self.merge(self._decoder.decode(message), now, source)

    def known_loads(
        self, now: float, within_s: float, partner: str = ""
    ) -> tuple[LoadGossipItem, ...]:
        """Return the load reports that reached this router lately.

        Args:
          now: Current time in seconds.
          within_s: Time within which they arrived.
          partner: Name of the router that they are for; empty if unknown.
        """
        items = []
        for endpoint in self._loads.received_since(now - within_s):
            stats = self._loads.stats(endpoint)
            age_s = now - stats.reported_s
            if age_s > MAX_SENT_AGE_S:
                continue
            if partner and stats.received_from == partner:
                continue
            items.append(
                LoadGossipItem(
                    _hash(endpoint),
                    stats.reported_calls,
                    round(age_s / AGE_UNIT_S),
                    stats.reported_waiting,
                    round(stats.pace * 100),
                )
            )
        return tuple(items)

    def merge(
        self, items: tuple[LoadGossipItem, ...], now: float, source: str = ""
    ) -> None:
        """Merge the reports of another router, except older or unknown ones."""
        for item in items:
            endpoint = self._find(item.endpoint, now)
            if endpoint is None:
                continue
            at_s = now - max(0, item.age) * AGE_UNIT_S
            self._loads.record_load(
                endpoint,
                max(0, item.load),
                at_s,
                now,
                max(0, item.waiting),
                parse_pace(max(0, item.pace)),
                source,
            )

    def _find(self, hash_value: int, now: float) -> Endpoint | None:
        endpoint = self._by_hash.get(hash_value)
        if endpoint is not None and self._endpoints.get(endpoint.id) is endpoint:
            return endpoint
        if now - self._indexed_s < INDEX_INTERVAL_S:
            return None
        self._indexed_s = now
        self._by_hash = {_hash(e): e for e in self._endpoints}
        return self._by_hash.get(hash_value)
