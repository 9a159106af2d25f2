"""The state that the controllers of one router share."""

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.decisions.callrecords import DecisionRing
from cranberrysail.decisions.events import HostState, ListedHost
from cranberrysail.decisions.invariants import Invariants
from cranberrysail.decisions.messages import HeldCall, MemberUpdate
from cranberrysail.decisions.slots import Slot
from cranberrysail.decisions.tablestate import TableState
from cranberrysail.hashing import best
from cranberrysail.settings import Settings
from cranberrysail.tables import Pool

__all__ = ["Blackboard", "Member", "MemberState", "PoolTotal"]


class MemberState(StrEnum):
    """State of a router as another sees it."""

    ALIVE = "a"
    SUSPECT = "s"
    LEAVING = "l"
    DEAD = "d"


@dataclass
class Member:
    """A router as this one sees it.

    Attributes:
      since_s: When the state last changed.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    state: MemberState
    since_s: float

    def update(self) -> MemberUpdate:
        """Return this member as news."""
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
    """Work of a pool over the reachable fleet.

    Attributes:
      open: Open calls.
      weight: Sum of the weights of endpoints that take new work.
      others_open: Open calls at other routers' endpoints, erring low.
      others_weight: Weight of other routers' endpoints.
      heavy: Open calls of the customers with most of them.
      at_s: When the sums arrived.
    """

    open: int = 0
    weight: float = 0.0
    others_open: int = 0
    others_weight: float = 0.0
    heavy: dict[str, int] = field(default_factory=dict)
    at_s: float = 0.0


@dataclass
class Blackboard:
    """What the controllers read and write.

    Attributes:
      members: All known routers by name, this one included.
      hosts: All listed endpoints by name.
      totals: Pool totals by pool name.
      slots: Endpoints that this router owns, by name.
      held: Permits that this router holds, by endpoint and call.
      holders: Who owned an endpoint when this router last told of its permits.
      used: When this router last held a permit of an endpoint.
      draining: True during a planned stop.
      joined: True once this router knows the others, or that there are none.
      open_calls: Number of calls this router has open.
      returned: When availability zones came back into service.
    """

    settings: Settings
    address: str
    incarnation: int
    rng: random.Random
    tables: TableState = field(default_factory=TableState)
    members: dict[str, Member] = field(default_factory=dict)
    hosts: dict[str, ListedHost] = field(default_factory=dict)
    totals: dict[str, PoolTotal] = field(default_factory=dict)
    decisions: DecisionRing = field(default_factory=DecisionRing)
    invariants: Invariants = field(default_factory=Invariants)
    counters: Counter = field(default_factory=Counter)
    slots: dict[str, Slot] = field(default_factory=dict)
    held: dict[str, dict[int, HeldCall]] = field(default_factory=dict)
    holders: dict[str, str | None] = field(default_factory=dict)
    used: dict[str, float] = field(default_factory=dict)
    draining: bool = False
    joined: bool = False
    open_calls: int = 0
    returned: dict[str, float] = field(default_factory=dict)
    _owners: dict[str, str | None] = field(default_factory=dict)
    _by_pool: dict[str, dict[str, list[ListedHost]]] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return this router's name."""
        return self.settings.name

    @property
    def zone(self) -> str:
        """Return this router's availability zone."""
        return self.settings.zone

    def peers(self, zone: str | None = None) -> list[Member]:
        """Return the other routers that are not dead, of one zone or of all."""
        return [
            member
            for member in self.members.values()
            if member.name != self.name
            and member.state is not MemberState.DEAD
            and zone in (None, member.zone)
        ]

    def zone_owners(self, zone: str) -> list[str]:
        """Return the routers that may own endpoints of a zone.

        Routers that leave own endpoints only while no other is there.
        """
        live: dict[bool, list[str]] = {True: [], False: []}
        for member in self.members.values():
            if member.zone == zone and member.state is not MemberState.DEAD:
                live[member.state is MemberState.LEAVING].append(member.name)
        return live[False] or live[True]

    def owner_of(self, endpoint: str) -> str | None:
        """Return the router that admits calls to an endpoint, if any lives."""
        if endpoint in self._owners:
            return self._owners[endpoint]
        host = self.hosts.get(endpoint)
        if host is None:
            return None
        candidates = self.zone_owners(host.zone)
        owner = best(endpoint, candidates)
        self._owners[endpoint] = owner
        return owner

    def hold(self, endpoint: str, held: HeldCall, now: float) -> None:
        """Note a permit that this router got."""
        self.held.setdefault(endpoint, {})[held.call] = held
        self.used[endpoint] = now
        self.holders[endpoint] = self.owner_of(endpoint)

    def let_go(self, endpoint: str, call: int) -> None:
        """Note that a call no longer holds its permit."""
        held = self.held.get(endpoint, {})
        held.pop(call, None)
        if not held:
            self.held.pop(endpoint, None)
            self.holders.pop(endpoint, None)

    def pool_hosts(self, pool: str) -> dict[str, list[ListedHost]]:
        """Return a pool's endpoints by availability zone."""
        if pool not in self._by_pool:
            zones: dict[str, list[ListedHost]] = {}
            for host in self.hosts.values():
                if host.pool == pool:
                    zones.setdefault(host.zone, []).append(host)
            self._by_pool[pool] = zones
        return self._by_pool[pool]

    @property
    def ready(self) -> bool:
        """Return whether this router can take calls."""
        known = bool(self.tables.routes and self.hosts)
        return known and self.joined and not self.draining

    def forget_owners(self) -> None:
        """Drop what was derived from the routers and the endpoints."""
        self._owners.clear()
        self._by_pool.clear()

    def in_service(self, host: ListedHost) -> bool:
        """Return whether an endpoint may take new work."""
        return (
            host.state is HostState.LIVE
            and host.zone not in self.tables.zones_out
            and host.host not in self.tables.hosts_out
        )

    def pool(self, name: str) -> Pool:
        """Return a pool's row, or defaults while the tables lack it."""
        return self.tables.pools.get(name, Pool())

    def capacity(self, host: ListedHost) -> int:
        """Return the open calls that a warm endpoint bears."""
        return host.max_open or self.pool(host.pool).max_open

    def cold_capacity(self, host: ListedHost) -> int:
        """Return the open calls that a cold endpoint bears."""
        cold = host.cold_open or self.settings.admission.cold_open
        return min(cold, self.capacity(host))

    def load_factor(self, pool: str) -> float:
        """Return the set multiple of the mean load for a pool."""
        return self.pool(pool).load_factor or self.settings.admission.load_factor
