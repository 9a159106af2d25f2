"""Which endpoints exist and what each may be sent."""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.router.model import EndpointRecord

__all__ = ["Endpoint", "EndpointChange", "EndpointDirectory", "EndpointState"]

# Endpoints that lapsed while the store was away declare themselves again within
# about two seconds of its return.
RETURN_GRACE_S = 2.2
# A store that failed this recently may have dropped entries of live endpoints.
LAPSE_MEMORY_S = 4.0
# A start is declared at once and read within about a second and a half.
DECLARED_S = 2.6
# An endpoint whose connection broke is spared this long if others can serve, and
# longer with each further break until it answers.
AVOID_S = 1.0
MOST_AVOID_S = 3.0
# One call tries an endpoint that was spared; the others wait for how that ends.
TRIAL_S = 0.5


class EndpointState(StrEnum):
    """What the router believes of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"


class EndpointChange(StrEnum):
    """How the directory changed."""

    APPEARED = "appeared"
    RESTARTED = "restarted"
    DRAINING = "draining"
    RETURNED = "returned"
    COLD = "cold"
    LAPSED = "lapsed"
    REMOVED = "removed"
    UNSURE = "unsure"
    AVOIDED = "avoided"


Note = Callable[[EndpointChange, "Endpoint", str], None]


@dataclass(slots=True)
class Endpoint:
    """An endpoint as this router knows it.

    Attributes:
      cold_until_s: Until when it counts as cold.
      unsure: True after a connection broke: it may have started anew and be cold.
      sure_s: When the doubt ends, if its answers go on without a declaration.
      avoid_until_s: Until when others are used first.
      breaks: Connections that broke since its last answer.
      seen_s: When its newest declaration was read.
      open: Calls that this router has open there.
    """

    record: EndpointRecord
    state: EndpointState
    seen_s: float
    cold_until_s: float = 0.0
    unsure: bool = False
    sure_s: float = math.inf
    avoid_until_s: float = 0.0
    breaks: int = 0
    open: int = 0

    @property
    def name(self) -> str:
        """Return the endpoint's id."""
        return self.record.instance

    @property
    def key(self) -> tuple[str, int]:
        """Return what names this incarnation."""
        return (self.record.instance, self.record.born)

    def is_cold(self, now: float) -> bool:
        """Return whether it may bear only what a cold endpoint bears."""
        return (self.unsure and now < self.sure_s) or now < self.cold_until_s


def _ignore(change: EndpointChange, endpoint: Endpoint, why: str) -> None:
    """Drop news of a change."""


@dataclass
class EndpointDirectory:
    """The endpoints by id, from declarations and from what calls showed.

    Attributes:
      note: Called with each change, for the log.
      zones_out: Availability zones that operators have taken out.
    """

    note: Note = _ignore
    zones_out: set[str] = field(default_factory=set)
    _endpoints: dict[str, Endpoint] = field(default_factory=dict)
    _store_failed_s: float = -math.inf
    _settled_s: float = 0.0

    def __iter__(self):
        return iter(self._endpoints.values())

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by id."""
        return self._endpoints.get(name)

    def declare(self, record: EndpointRecord, now: float) -> None:
        """Take a declaration; one of an earlier incarnation changes nothing."""
        known = self._endpoints.get(record.instance)
        if known is None:
            self._appear(record, now, EndpointChange.APPEARED)
            return
        old = known.record
        if (record.born, record.count) < (old.born, old.count):
            return
        if record.born > old.born:
            self._appear(record, now, EndpointChange.RESTARTED)
            return
        if old.draining and not record.draining and record.count == old.count:
            return
        known.record = record
        known.seen_s = now
        known.unsure = False
        known.sure_s = math.inf
        self._follow_state(known, record)
        self._follow_warmth(known, record, now)

    def _appear(self, record: EndpointRecord, now: float, change: EndpointChange):
        state = EndpointState.DRAINING if record.draining else EndpointState.READY
        endpoint = Endpoint(record, state, now, now + record.cold_s)
        self._endpoints[record.instance] = endpoint
        self.note(change, endpoint, f"cold for {record.cold_s:.1f} s")

    def _follow_state(self, known: Endpoint, record: EndpointRecord) -> None:
        state = EndpointState.DRAINING if record.draining else EndpointState.READY
        if known.state is state:
            return
        returned = state is EndpointState.READY
        change = EndpointChange.RETURNED if returned else EndpointChange.DRAINING
        known.state = state
        self.note(change, known, "its declaration says so")

    def _follow_warmth(self, known: Endpoint, record: EndpointRecord, now: float):
        was_cold = known.is_cold(now)
        known.cold_until_s = now + record.cold_s if record.cold_s > 0 else 0.0
        if record.cold_s > 0 and not was_cold:
            self.note(EndpointChange.COLD, known, f"for {record.cold_s:.1f} s")

    def remove(self, name: str, now: float) -> None:
        """Take the removal of an entry.

        While the store is away, or just back, an entry may have lapsed though
        the endpoint lives; it is kept until the endpoints had time to return.
        """
        known = self._endpoints.get(name)
        if known is None:
            return
        if now - self._store_failed_s > LAPSE_MEMORY_S or known.record.draining:
            self._drop(known, "its entry is gone")
            return
        if known.state is not EndpointState.LAPSED:
            known.state = EndpointState.LAPSED
            self.note(
                EndpointChange.LAPSED, known, "its entry went with the store away"
            )

    def _drop(self, endpoint: Endpoint, why: str) -> None:
        del self._endpoints[endpoint.name]
        self.note(EndpointChange.REMOVED, endpoint, why)

    def keep_only(self, names: Iterable[str], now: float) -> None:
        """Take a whole list: what is not on it has been removed."""
        listed = set(names)
        for name in [n for n in self._endpoints if n not in listed]:
            self.remove(name, now)

    def store_failed(self, now: float) -> None:
        """Note that the store does not answer."""
        self._store_failed_s = now
        self._settled_s = math.inf

    def store_back(self, now: float) -> None:
        """Note that the store answers again."""
        self._settled_s = now + RETURN_GRACE_S

    def tick(self, now: float) -> None:
        """Drop entries that lapsed and did not return in time."""
        if now < self._settled_s:
            return
        lapsed = [e for e in self if e.state is EndpointState.LAPSED]
        for endpoint in lapsed:
            self._drop(endpoint, "it did not return after the store did")

    def zone_out(self, zone: str) -> bool:
        """Take an availability zone out and return whether that is new."""
        new = zone not in self.zones_out
        self.zones_out.add(zone)
        return new

    def zone_back(self, zone: str) -> bool:
        """Take a zone back; its endpoints may be cold until they say otherwise."""
        if zone not in self.zones_out:
            return False
        self.zones_out.discard(zone)
        for endpoint in self:
            if endpoint.record.zone == zone:
                self._doubt(endpoint, "its zone is back")
        return True

    def broke(self, endpoint: Endpoint, now: float, why: str) -> None:
        """Note a connection that broke: the endpoint may have started anew."""
        current = self._endpoints.get(endpoint.name)
        if current is not endpoint:
            return
        if now >= endpoint.avoid_until_s:
            self.note(EndpointChange.AVOIDED, endpoint, why)
        endpoint.breaks += 1
        avoid_s = min(AVOID_S * endpoint.breaks, MOST_AVOID_S)
        endpoint.avoid_until_s = now + avoid_s
        self._doubt(endpoint, why)

    def chosen(self, endpoint: Endpoint, now: float) -> None:
        """Let one call try an endpoint whose connections broke."""
        if endpoint.breaks:
            endpoint.avoid_until_s = max(endpoint.avoid_until_s, now + TRIAL_S)

    def _doubt(self, endpoint: Endpoint, why: str) -> None:
        new = not endpoint.unsure
        endpoint.unsure = True
        endpoint.sure_s = math.inf
        if new:
            self.note(EndpointChange.UNSURE, endpoint, why)

    def answered(self, endpoint: Endpoint, now: float, cold_s: float) -> None:
        """Take an answer: the endpoint is up.

        An entry changes only when the endpoint does, so no declaration may follow.
        One that had started anew would have declared it by the time that counts,
        and would be warm after the time that its service stays cold.

        Args:
          endpoint: The endpoint.
          now: Current time in seconds.
          cold_s: How long endpoints of its service stay cold.
        """
        endpoint.breaks = 0
        endpoint.avoid_until_s = 0.0
        if endpoint.unsure and endpoint.sure_s == math.inf:
            endpoint.sure_s = now + max(DECLARED_S, cold_s)

    def displaced(self, endpoint: Endpoint, now: float) -> None:
        """Note that another endpoint answers at this one's address."""
        if self._endpoints.get(endpoint.name) is endpoint:
            self._drop(endpoint, "another endpoint has its address")

    def doubtful_zones(self, now: float) -> set[str]:
        """Return zones of which half of the endpoints, and two, cannot be reached."""
        broken: Counter = Counter()
        known: Counter = Counter()
        for endpoint in self:
            known[endpoint.record.zone] += 1
            broken[endpoint.record.zone] += now < endpoint.avoid_until_s
        return {z for z, n in broken.items() if n >= 2 and 2 * n >= known[z]}

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may take new work."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.record.service == service
            and endpoint.state is not EndpointState.DRAINING
            and endpoint.record.zone not in self.zones_out
        ]
