"""Directory of endpoints: which exist, and in what state each of them is."""

import math
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.router.model import EndpointRecord
from cranberrysail.router.zonereachability import ZoneReachability

__all__ = ["Endpoint", "EndpointChange", "EndpointDirectory", "EndpointState"]

# Endpoints whose records expired while the store was unavailable declare themselves
# again within about 2 s after it recovers.
REDECLARE_GRACE_S = 2.2
# An endpoint whose record was removed is remembered for this time, in which older
# records of it may be read again.
REMOVED_MEMORY_S = 60.0
# A store that failed within this time may have dropped the records of live endpoints.
STORE_LOSS_WINDOW_S = 4.0
# A restarted endpoint declares itself at once, and the declaration is read within
# about 1.5 s.
RESTART_DECLARED_WITHIN_S = 2.6
# After a connection failure other endpoints are preferred for this time, if any can
# serve. It grows by one step with each further failure until the endpoint responds.
BACKOFF_STEP_S = 1.0
MAX_BACKOFF_S = 3.0
# Once the back-off has expired, one call tests the endpoint; for this time, or until
# the endpoint responds, other calls still prefer other endpoints.
HALF_OPEN_S = 0.5


class EndpointState(StrEnum):
    """State of an endpoint as far as this router knows.

    Attributes:
      READY: It may be sent calls.
      DRAINING: It announced that it will stop, and gets no new calls.
      LAPSED: Its record expired while the store was unavailable; it may still be alive,
        and is used if no other endpoint can be.
    """

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"


class EndpointChange(StrEnum):
    """Kind of change to an endpoint in the directory.

    Attributes:
      APPEARED: Its first declaration was read.
      RESTARTED: A declaration of a new incarnation was read.
      DRAINING: It announced that it will stop.
      RETURNED: It was draining or lapsed, and is ready again.
      COLD: It declared itself cold, and was not considered cold before.
      LAPSED: Its record expired while the store was unavailable.
      REMOVED: It was removed from the directory.
      UNSURE: It may have restarted, and is considered cold until this is clear.
      AVOIDED: A connection failed, and other endpoints are preferred for a time.
    """

    APPEARED = "appeared"
    RESTARTED = "restarted"
    DRAINING = "draining"
    RETURNED = "returned"
    COLD = "cold"
    LAPSED = "lapsed"
    REMOVED = "removed"
    UNSURE = "unsure"
    AVOIDED = "avoided"


ChangeCallback = Callable[[EndpointChange, "Endpoint", str], None]


@dataclass(slots=True)
class Endpoint:
    """One incarnation of an endpoint, as far as this router knows.

    Attributes:
      declared_s: Time at which its latest declaration was read.
      cold_until_s: Time until which it is considered cold.
      maybe_restarted: True if it may have restarted and be cold, because a connection
        failed or its zone was out of service.
      maybe_cold_until_s: Time until which an endpoint that may have restarted is
        considered cold; infinite until it responds.
      backoff_until_s: Time until which other endpoints are preferred.
      leaving: True if it said in a response that it will stop. No declaration of this
        incarnation changes that.
      paused_until_s: Time until which it wants no requests from this router.
      pause_said_s: Time at which it last said so.
      connection_failures: Failed connections since its last response.
      open_calls: Calls of this router that are open at the endpoint.
    """

    record: EndpointRecord
    state: EndpointState
    declared_s: float
    cold_until_s: float = 0.0
    maybe_restarted: bool = False
    maybe_cold_until_s: float = math.inf
    backoff_until_s: float = 0.0
    leaving: bool = False
    paused_until_s: float = -math.inf
    pause_said_s: float = -math.inf
    connection_failures: int = 0
    open_calls: int = 0

    @property
    def id(self) -> str:
        """Return the endpoint's id."""
        return self.record.endpoint_id

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time, which identify this incarnation."""
        return (self.record.endpoint_id, self.record.started_ms)

    def takes_requests(self, now: float) -> bool:
        """Return whether it may be sent requests, by what it said of itself."""
        return self.state is not EndpointState.DRAINING and now >= self.paused_until_s

    def is_cold(self, now: float) -> bool:
        """Return whether the limit for cold endpoints applies."""
        return (
            self.maybe_restarted and now < self.maybe_cold_until_s
        ) or now < self.cold_until_s


@dataclass(frozen=True, slots=True)
class _RemovedEndpoint:
    """An incarnation whose record was removed from the store.

    Attributes:
      sequence: Sequence number of its last declaration.
      until_s: Time until which it is remembered.
    """

    started_ms: int
    sequence: int
    until_s: float

    def is_older_than(self, record: EndpointRecord) -> bool:
        return (self.started_ms, self.sequence) < (record.started_ms, record.sequence)


def _ignore_change(change: EndpointChange, endpoint: Endpoint, why: str) -> None:
    """Ignore a change."""


@dataclass
class EndpointDirectory:
    """Endpoints by id, from their declarations and the results of calls.

    Attributes:
      on_change: Called with each change, its endpoint and the reason, for the log.
      zones_out: Availability zones that operators have taken out of service.
      reachability: Availability zones that this router cannot connect to.
    """

    on_change: ChangeCallback = _ignore_change
    zones_out: set[str] = field(default_factory=set)
    reachability: ZoneReachability = field(default_factory=ZoneReachability)
    _endpoints: dict[str, Endpoint] = field(default_factory=dict)
    _store_failed_s: float = -math.inf
    _lapse_deadline_s: float = 0.0
    _unconfirmed: set[str] = field(default_factory=set)
    _confirmation_deadline_s: float = -math.inf
    _removed: dict[str, _RemovedEndpoint] = field(default_factory=dict)

    def __iter__(self):
        return iter(self._endpoints.values())

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint by id."""
        return self._endpoints.get(endpoint_id)

    def declare(self, record: EndpointRecord, now: float) -> bool:
        """Apply a declaration, unless it is older than the one already known.

        Returns:
          Whether it was applied.
        """
        self._unconfirmed.discard(record.endpoint_id)
        known = self._endpoints.get(record.endpoint_id)
        if known is None:
            removed = self._removed.get(record.endpoint_id)
            if removed is not None and not removed.is_older_than(record):
                return False
            self._add(record, now, EndpointChange.APPEARED)
            return True
        old = known.record
        if (record.started_ms, record.sequence) < (old.started_ms, old.sequence):
            return False
        if record.started_ms > old.started_ms:
            self._add(record, now, EndpointChange.RESTARTED)
            # The new incarnation may have said it before its declaration was read.
            if now - known.pause_said_s <= RESTART_DECLARED_WITHIN_S:
                self.said_pause(known, known.pause_said_s, known.paused_until_s)
            return True
        if old.draining and not record.draining and record.sequence == old.sequence:
            return False
        known.record = record
        known.declared_s = now
        known.maybe_restarted = False
        known.maybe_cold_until_s = math.inf
        self._update_state(known, record)
        self._update_cold_until(known, record, now)
        return True

    def _add(self, record: EndpointRecord, now: float, change: EndpointChange):
        state = EndpointState.DRAINING if record.draining else EndpointState.READY
        endpoint = Endpoint(record, state, now, now + record.remaining_cold_s)
        self._endpoints[record.endpoint_id] = endpoint
        self.on_change(change, endpoint, f"cold for {record.remaining_cold_s:.1f} s")

    def _update_state(self, known: Endpoint, record: EndpointRecord) -> None:
        state = EndpointState.DRAINING if record.draining else EndpointState.READY
        if known.state is state or known.leaving:
            return
        returned = state is EndpointState.READY
        change = EndpointChange.RETURNED if returned else EndpointChange.DRAINING
        known.state = state
        self.on_change(change, known, "state changed by its declaration")

    def _update_cold_until(self, known: Endpoint, record: EndpointRecord, now: float):
        was_cold = known.is_cold(now)
        known.cold_until_s = (
            now + record.remaining_cold_s if record.remaining_cold_s > 0 else 0.0
        )
        if record.remaining_cold_s > 0 and not was_cold:
            self.on_change(
                EndpointChange.COLD, known, f"for {record.remaining_cold_s:.1f} s"
            )

    def remove(self, endpoint_id: str, now: float) -> None:
        """Handle the removal of an endpoint's record from the store.

        While the store is unavailable, and shortly after, the record of a live
        endpoint may expire. Such an endpoint is kept as lapsed until it has had time
        to declare itself again.
        """
        known = self._endpoints.get(endpoint_id)
        if known is None:
            return
        leaves = known.record.draining or known.leaving
        if now - self._store_failed_s > STORE_LOSS_WINDOW_S or leaves:
            self._remember_removed(known, known.record.sequence, now)
            self._remove(known, "record removed from the store")
            return
        if known.state is not EndpointState.LAPSED:
            known.state = EndpointState.LAPSED
            self.on_change(
                EndpointChange.LAPSED,
                known,
                "record expired while the store was unavailable",
            )

    def _remember_removed(self, endpoint: Endpoint, sequence: int, now: float) -> None:
        if endpoint.leaving:
            sequence = sys.maxsize
        self._removed[endpoint.id] = _RemovedEndpoint(
            endpoint.record.started_ms, sequence, now + REMOVED_MEMORY_S
        )

    def _remove(self, endpoint: Endpoint, why: str) -> None:
        del self._endpoints[endpoint.id]
        self._unconfirmed.discard(endpoint.id)
        self.on_change(EndpointChange.REMOVED, endpoint, why)

    def retain(
        self, endpoint_ids: Iterable[str], now: float, restored: bool = False
    ) -> None:
        """Handle the removal of all endpoints that a complete list does not name.

        A store that was restored from a copy may lack records that are written again.
        Endpoints that it does not name are kept as they are until there was time for
        that.

        Args:
          endpoint_ids: Ids that the list names.
          now: Current time in seconds.
          restored: True for the first list of a restored store.
        """
        if restored:
            self._confirmation_deadline_s = now + REDECLARE_GRACE_S
        listed = set(endpoint_ids)
        missing = [i for i in self._endpoints if i not in listed]
        if now < self._confirmation_deadline_s:
            self._unconfirmed.update(missing)
            return
        for endpoint_id in missing:
            self.remove(endpoint_id, now)

    def store_failed(self, now: float) -> None:
        """Record that the store does not respond."""
        self._store_failed_s = now
        self._lapse_deadline_s = math.inf

    def store_recovered(self, now: float) -> None:
        """Record that the store responds again."""
        self._lapse_deadline_s = now + REDECLARE_GRACE_S

    def remove_expired(self, now: float) -> None:
        """Remove endpoints that did not declare themselves again in time."""
        for endpoint_id in [i for i, r in self._removed.items() if now >= r.until_s]:
            del self._removed[endpoint_id]
        if now >= self._confirmation_deadline_s:
            for endpoint_id in list(self._unconfirmed):
                endpoint = self._endpoints[endpoint_id]
                if endpoint.leaving:
                    self._remember_removed(endpoint, sys.maxsize, now)
                self._remove(
                    endpoint, "not declared again after the store was restored"
                )
        if now < self._lapse_deadline_s:
            return
        lapsed = [e for e in self if e.state is EndpointState.LAPSED]
        for endpoint in lapsed:
            self._remove(endpoint, "not declared again after the store recovered")

    def exclude_zone(self, zone: str) -> bool:
        """Take a zone out of service; return False if it already was."""
        new = zone not in self.zones_out
        self.zones_out.add(zone)
        return new

    def restore_zone(self, zone: str) -> bool:
        """Return a zone to service; return False if it was not out.

        Its endpoints may have restarted, and count as cold until they declare
        themselves or have responded for long enough.
        """
        if zone not in self.zones_out:
            return False
        self.zones_out.discard(zone)
        for endpoint in self:
            if endpoint.record.zone == zone:
                self._mark_maybe_restarted(endpoint, "zone returned to service")
        return True

    def connection_failed(self, endpoint: Endpoint, now: float, why: str) -> None:
        """Record a failed connection: the endpoint may have restarted."""
        current = self._endpoints.get(endpoint.id)
        if current is not endpoint:
            return
        self.reachability.connection_failed(endpoint.record.zone)
        if now >= endpoint.backoff_until_s:
            self.on_change(EndpointChange.AVOIDED, endpoint, why)
        endpoint.connection_failures += 1
        backoff_s = min(BACKOFF_STEP_S * endpoint.connection_failures, MAX_BACKOFF_S)
        endpoint.backoff_until_s = now + backoff_s
        self._mark_maybe_restarted(endpoint, why)

    def call_assigned(self, endpoint: Endpoint, now: float) -> None:
        """Let one call test an endpoint after connection failures."""
        if endpoint.connection_failures:
            endpoint.backoff_until_s = max(endpoint.backoff_until_s, now + HALF_OPEN_S)

    def _mark_maybe_restarted(self, endpoint: Endpoint, why: str) -> None:
        new = not endpoint.maybe_restarted
        endpoint.maybe_restarted = True
        endpoint.maybe_cold_until_s = math.inf
        if new:
            self.on_change(EndpointChange.UNSURE, endpoint, why)

    def call_answered(self, endpoint: Endpoint, now: float, cold_s: float) -> None:
        """Record a response: the endpoint is up.

        An endpoint declares itself again only when something about it changes, so one
        that did not restart may never do so. A declaration after a restart is read
        within ``RESTART_DECLARED_WITHIN_S``, and the endpoint is warm after ``cold_s``;
        after the longer of the two it no longer counts as cold.

        Args:
          endpoint: The endpoint.
          now: Current time in seconds.
          cold_s: How long the endpoints of its service stay cold after a start.
        """
        self.reachability.answered(endpoint.record.zone)
        endpoint.connection_failures = 0
        endpoint.backoff_until_s = 0.0
        if endpoint.maybe_restarted and endpoint.maybe_cold_until_s == math.inf:
            endpoint.maybe_cold_until_s = now + max(RESTART_DECLARED_WITHIN_S, cold_s)

    def said_leaving(self, endpoint: Endpoint, now: float) -> bool:
        """Record that an endpoint said in a response that it will stop.

        Returns:
          Whether that is news.
        """
        if endpoint.leaving:
            return False
        endpoint.leaving = True
        current = self._endpoints.get(endpoint.id)
        if current is None:
            self._remember_removed(endpoint, sys.maxsize, now)
        elif current is endpoint:
            endpoint.state = EndpointState.DRAINING
            self.on_change(EndpointChange.DRAINING, endpoint, "said so in a response")
        return True

    def said_pause(self, endpoint: Endpoint, now: float, until_s: float) -> None:
        """Record that an endpoint wants no requests from this router for a time.

        A later response may extend a pause, but not shorten it. It also holds for an
        incarnation of the endpoint that has become known since the request was sent, as
        the response may be from that one.
        """
        for paused in (endpoint, self._endpoints.get(endpoint.id, endpoint)):
            paused.paused_until_s = max(paused.paused_until_s, until_s)
            paused.pause_said_s = now

    def address_reassigned(self, endpoint: Endpoint, now: float) -> None:
        """Remove an endpoint whose address now belongs to another one."""
        if self._endpoints.get(endpoint.id) is endpoint:
            self._remove(endpoint, "the address now belongs to another endpoint")

    def unreachable_zones(self, now: float) -> set[str]:
        """Return zones with at least two, and at least half, endpoints in back-off."""
        unreachable: Counter = Counter()
        total: Counter = Counter()
        for endpoint in self:
            total[endpoint.record.zone] += 1
            unreachable[endpoint.record.zone] += now < endpoint.backoff_until_s
        return {z for z, n in unreachable.items() if n >= 2 and 2 * n >= total[z]}

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may be sent new calls."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.record.service == service
            and endpoint.state is not EndpointState.DRAINING
            and self.serves_zone(endpoint.record.zone)
        ]

    def serves_zone(self, zone: str) -> bool:
        """Return whether calls are sent to a zone: it is not out, and reachable."""
        return zone not in self.zones_out and zone not in self.reachability.unreachable

    def zone_reached(self, zone: str, now: float) -> None:
        """End the back-off of the endpoints of a zone that can be reached again."""
        for endpoint in self:
            if endpoint.record.zone == zone:
                endpoint.connection_failures = 0
                endpoint.backoff_until_s = min(endpoint.backoff_until_s, now)
