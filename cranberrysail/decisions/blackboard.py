"""State shared by the controllers of one router."""

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.decisions.callhistory import RecentCalls
from cranberrysail.decisions.events import HostState, ListedEndpoint
from cranberrysail.decisions.invariants import InvariantCounts
from cranberrysail.decisions.messages import HeldPermit, MemberUpdate
from cranberrysail.decisions.ownedendpoints import OwnedEndpoint
from cranberrysail.decisions.tablestate import TableState
from cranberrysail.hashing import highest_ranked
from cranberrysail.settings import Settings
from cranberrysail.tables import Pool

__all__ = ["Blackboard", "Member", "MemberState", "PoolTotal"]


class MemberState(StrEnum):
    """State of a fleet member, as this router sees it.

    Attributes:
      ALIVE: It answers probes.
      SUSPECT: A direct and the indirect probes went unanswered.
      LEAVING: It has announced a planned stop.
      DEAD: It stayed suspected for too long, or stopped answering while leaving.
    """

    ALIVE = "a"
    SUSPECT = "s"
    LEAVING = "l"
    DEAD = "d"


@dataclass
class Member:
    """A router of the fleet, as this router sees it.

    Attributes:
      address: Address ``host:port`` at which peers reach it.
      incarnation: Orders updates on the member; a restart or refutation raises it.
      since_s: When the state last changed.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    state: MemberState
    since_s: float

    def as_update(self) -> MemberUpdate:
        """Return the gossip update that describes this member."""
        return MemberUpdate(
            self.name,
            self.zone,
            self.region,
            self.address,
            self.incarnation,
            self.state.value,
        )


@dataclass
class PoolTotal:
    """Load of a pool, summed over the reachable fleet.

    Attributes:
      open: Open calls.
      call_limit: Sum of the current call limits of the endpoints in service.
      others_open: Low estimate of the open calls at endpoints that other routers
        own.
      others_call_limit: Sum of the current call limits of the endpoints in service that
        other routers own.
      top_customers: Open calls by customer, for the customers with the most.
      at_s: When this router received the sums, or computed them as root of its zone.
    """

    open: int = 0
    call_limit: float = 0.0
    others_open: int = 0
    others_call_limit: float = 0.0
    top_customers: dict[str, int] = field(default_factory=dict)
    at_s: float = 0.0


@dataclass
class Blackboard:
    """State that the controllers read and write.

    Attributes:
      address: Address ``host:port`` at which peers reach this router.
      incarnation: Higher than that of any earlier run of the same router.
      rng: Source of all randomness.
      tables: The operators' tables at the version in force.
      members: All known routers by name, this one included.
      listed_endpoints: All endpoints in the platform's list of hosts, by name.
      pool_totals: Fleet-wide load by pool name.
      recent_calls: Histories of the most recent calls.
      counters: Event counters by name.
      owned_endpoints: Endpoints that this router owns, by name.
      held_permits: Permits that this router holds, by endpoint and call id.
      notified_owners: The owner last told of this router's permits, by endpoint.
      last_held_s: When this router last held a permit, by endpoint.
      draining: True during a planned stop.
      joined: True once the member list was received or the wait for it timed out.
      open_calls: Number of calls this router has open.
      zone_returned_s: When each availability zone came back into service.
    """

    settings: Settings
    address: str
    incarnation: int
    rng: random.Random
    tables: TableState = field(default_factory=TableState)
    members: dict[str, Member] = field(default_factory=dict)
    listed_endpoints: dict[str, ListedEndpoint] = field(default_factory=dict)
    pool_totals: dict[str, PoolTotal] = field(default_factory=dict)
    recent_calls: RecentCalls = field(default_factory=RecentCalls)
    invariants: InvariantCounts = field(default_factory=InvariantCounts)
    counters: Counter = field(default_factory=Counter)
    owned_endpoints: dict[str, OwnedEndpoint] = field(default_factory=dict)
    held_permits: dict[str, dict[int, HeldPermit]] = field(default_factory=dict)
    notified_owners: dict[str, str | None] = field(default_factory=dict)
    last_held_s: dict[str, float] = field(default_factory=dict)
    draining: bool = False
    joined: bool = False
    open_calls: int = 0
    zone_returned_s: dict[str, float] = field(default_factory=dict)
    _owners: dict[str, str | None] = field(default_factory=dict)
    _endpoints_by_pool: dict[str, dict[str, list[ListedEndpoint]]] = field(
        default_factory=dict
    )

    @property
    def name(self) -> str:
        """Return this router's name."""
        return self.settings.name

    @property
    def zone(self) -> str:
        """Return this router's availability zone."""
        return self.settings.zone

    def peers(self, zone: str | None = None) -> list[Member]:
        """Return the other routers that are not dead, in one zone or in all."""
        return [
            member
            for member in self.members.values()
            if member.name != self.name
            and member.state is not MemberState.DEAD
            and zone in (None, member.zone)
        ]

    def owner_candidates(self, zone: str) -> list[str]:
        """Return the routers that may own endpoints of a zone.

        Leaving routers own endpoints only if the zone has no other live router.
        """
        by_leaving: dict[bool, list[str]] = {True: [], False: []}
        for member in self.members.values():
            if member.zone == zone and member.state is not MemberState.DEAD:
                by_leaving[member.state is MemberState.LEAVING].append(member.name)
        return by_leaving[False] or by_leaving[True]

    def owner_of(self, endpoint: str) -> str | None:
        """Return the router that owns an endpoint and admits calls to it.

        Returns None if the endpoint is not listed or its zone has no live router.
        """
        if endpoint in self._owners:
            return self._owners[endpoint]
        listed = self.listed_endpoints.get(endpoint)
        if listed is None:
            return None
        candidates = self.owner_candidates(listed.zone)
        owner = highest_ranked(endpoint, candidates)
        self._owners[endpoint] = owner
        return owner

    def add_permit(self, endpoint: str, held: HeldPermit, now: float) -> None:
        """Record a permit that was granted to this router."""
        self.held_permits.setdefault(endpoint, {})[held.call_id] = held
        self.last_held_s[endpoint] = now
        self.notified_owners[endpoint] = self.owner_of(endpoint)

    def remove_permit(self, endpoint: str, call_id: int) -> None:
        """Remove the permit of a call."""
        permits = self.held_permits.get(endpoint, {})
        permits.pop(call_id, None)
        if not permits:
            self.held_permits.pop(endpoint, None)
            self.notified_owners.pop(endpoint, None)

    def pool_endpoints(self, pool: str) -> dict[str, list[ListedEndpoint]]:
        """Return a pool's endpoints by availability zone."""
        if pool not in self._endpoints_by_pool:
            zones: dict[str, list[ListedEndpoint]] = {}
            for listed in self.listed_endpoints.values():
                if listed.pool == pool:
                    zones.setdefault(listed.zone, []).append(listed)
            self._endpoints_by_pool[pool] = zones
        return self._endpoints_by_pool[pool]

    @property
    def ready(self) -> bool:
        """Return whether this router accepts calls."""
        has_routing_data = bool(self.tables.routes and self.listed_endpoints)
        return has_routing_data and self.joined and not self.draining

    def invalidate_caches(self) -> None:
        """Drop the caches that are derived from members and listed endpoints."""
        self._owners.clear()
        self._endpoints_by_pool.clear()

    def in_service(self, listed: ListedEndpoint) -> bool:
        """Return whether an endpoint may take new calls."""
        return (
            listed.state is HostState.LIVE
            and listed.zone not in self.tables.zones_out
            and listed.host not in self.tables.hosts_out
        )

    def pool(self, name: str) -> Pool:
        """Return a pool's row, or the defaults if the tables have none."""
        return self.tables.pools.get(name, Pool())

    def capacity(self, listed: ListedEndpoint) -> int:
        """Return how many open calls an endpoint takes when warm."""
        return listed.max_open or self.pool(listed.pool).max_open

    def cold_capacity(self, listed: ListedEndpoint) -> int:
        """Return how many open calls an endpoint takes when cold."""
        cold = listed.cold_open or self.settings.admission.cold_open
        return min(cold, self.capacity(listed))

    def load_factor(self, pool: str) -> float:
        """Return the allowed multiple of the mean load for a pool."""
        return self.pool(pool).load_factor or self.settings.admission.load_factor
