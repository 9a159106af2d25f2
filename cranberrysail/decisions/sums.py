"""Aggregation of pool loads over a tree of the routers of each zone.

The routers of a zone, sorted by name, form a tree. Each sends the load of its subtree
to its parent; the root exchanges sums with the roots of other zones and sends the
totals of the fleet down the tree.
"""

from collections import deque
from dataclasses import dataclass
from typing import Any

from cranberrysail.decisions.blackboard import Blackboard, PoolTotal
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import Tick
from cranberrysail.decisions.loads import (
    MAX_TOP_CUSTOMERS,
    owned_pool_sums,
    staleness_weight,
)
from cranberrysail.decisions.messages import FleetSums, PoolSum, SubtreeSums, ZoneSums

__all__ = ["SumsController", "merge"]

TREE_FAN_OUT = 4
# The send interval grows with the number of routers of the zone.
MIN_INTERVAL_S = 0.1
MAX_INTERVAL_S = 0.5
INTERVAL_PER_ROUTER_S = 0.015
CROSS_ZONE_INTERVAL_S = 1.0
# Send intervals after which the sums of a silent child are dropped.
CHILD_EXPIRY_INTERVALS = 4
# Time after which the sums of a silent zone are dropped.
ZONE_EXPIRY_S = 15.0
# Totals may contain sums that this router sent up to this long ago.
OWN_HISTORY_S = 2.0
# A new root waits this long for all other zones before it sends partial totals.
ROOT_STARTUP_WAIT_S = 3.0
# The open calls of other routers are the minimum over this window, to err low.
LOW_ESTIMATE_WINDOW_S = 1.0

EMPTY_SUM = PoolSum(0, 0.0, {})

SumsByPool = dict[str, PoolSum]


@dataclass(frozen=True)
class _TimedSums:
    """Sums with the time at which they were computed or received."""

    pools: SumsByPool
    at_s: float


@dataclass(frozen=True)
class _OthersLoad:
    """Load of a pool at endpoints that other routers own."""

    open: int
    call_limit: float
    at_s: float


def merge(parts: list[SumsByPool]) -> SumsByPool:
    """Add up the sums of several parts of the fleet."""
    names = {name for part in parts for name in part}
    return {
        name: _merge_pool([part[name] for part in parts if name in part])
        for name in names
    }


def _merge_pool(parts: list[PoolSum]) -> PoolSum:
    open_by_customer: dict[str, int] = {}
    for part in parts:
        for customer, count in part.top_customers.items():
            open_by_customer[customer] = open_by_customer.get(customer, 0) + count
    top = sorted(open_by_customer.items(), key=lambda item: (-item[1], item[0]))[
        :MAX_TOP_CUSTOMERS
    ]
    open_calls = sum(part.open for part in parts)
    return PoolSum(open_calls, sum(part.call_limit for part in parts), dict(top))


def _decayed(received: _TimedSums, now: float) -> SumsByPool:
    """Return the sums of a zone, with open calls scaled down as they get old."""
    fraction = staleness_weight(now - received.at_s)
    return {
        name: PoolSum(int(item.open * fraction), item.call_limit, item.top_customers)
        for name, item in received.pools.items()
    }


@CONTROLLERS.register("sums")
class SumsController(BaseController):
    """Sums loads up the tree of the zone and distributes the totals down the tree."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._child_sums: dict[str, _TimedSums] = {}
        self._other_zone_sums: dict[str, _TimedSums] = {}
        self._seq = 0
        self._next_send_s = 0.0
        self._next_cross_zone_s = 0.0
        self._root_since_s: float | None = None
        self._own_history: deque[_TimedSums] = deque()
        self._others_history: dict[str, deque[_OthersLoad]] = {}

    def _tree_members(self) -> list[str]:
        return sorted(self.board.owner_candidates(self.board.zone))

    def _interval_s(self) -> float:
        count = len(self.board.peers(self.board.zone)) + 1
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, count * INTERVAL_PER_ROUTER_S))

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Send the sums of the subtree to the parent, or as root send the totals."""
        if now < self._next_send_s:
            return
        self._next_send_s = now + self._interval_s()
        own = owned_pool_sums(self.board, now)
        self._record_own(own, now)
        tree = self._tree_members()
        if self.board.name not in tree:
            return
        subtree = merge([own, *self._fresh_children(tree, now)])
        if self.board.name == tree[0]:
            self._update_totals(tree, subtree, now)
            return
        self._root_since_s = None
        parent = tree[(tree.index(self.board.name) - 1) // TREE_FAN_OUT]
        self.send(parent, SubtreeSums(subtree))

    def _fresh_children(self, tree: list[str], now: float) -> list[SumsByPool]:
        max_age_s = CHILD_EXPIRY_INTERVALS * self._interval_s()
        self._child_sums = {
            name: received
            for name, received in self._child_sums.items()
            if now - received.at_s < max_age_s and name in tree
        }
        return [received.pools for received in self._child_sums.values()]

    def _record_own(self, own: SumsByPool, now: float) -> None:
        self._own_history.append(_TimedSums(own, now))
        while now - self._own_history[0].at_s > OWN_HISTORY_S:
            self._own_history.popleft()

    def _own_recent_sums(self, pool: str) -> list[PoolSum]:
        """Return the sums of this router that totals in transit may contain."""
        return [h.pools.get(pool, EMPTY_SUM) for h in self._own_history] or [EMPTY_SUM]

    def _update_totals(
        self, tree: list[str], own_zone_sums: SumsByPool, now: float
    ) -> None:
        other_zones = {peer.zone for peer in self.board.peers()} - {self.board.zone}
        self._other_zone_sums = {
            name: received
            for name, received in self._other_zone_sums.items()
            if now - received.at_s < ZONE_EXPIRY_S and name in other_zones
        }
        parts = [_decayed(received, now) for received in self._other_zone_sums.values()]
        total = merge([own_zone_sums, *parts])
        if self._root_since_s is None:
            self._root_since_s = now
        complete = other_zones <= self._other_zone_sums.keys()
        if complete or now - self._root_since_s > ROOT_STARTUP_WAIT_S:
            self._seq += 1
            self._store_totals(total, now)
            self._send_to_children(tree, FleetSums(self._seq, total))
        if now >= self._next_cross_zone_s:
            self._next_cross_zone_s = now + CROSS_ZONE_INTERVAL_S
            self._send_to_other_zones(own_zone_sums)

    def _send_to_other_zones(self, own_zone_sums: SumsByPool) -> None:
        zones = {peer.zone for peer in self.board.peers()} - {self.board.zone}
        for other in sorted(zones):
            root = min(self.board.owner_candidates(other))
            self.send(root, ZoneSums(self.board.zone, own_zone_sums))

    def _send_to_children(self, tree: list[str], message: FleetSums) -> None:
        if self.board.name not in tree:
            return
        first = tree.index(self.board.name) * TREE_FAN_OUT + 1
        for child in tree[first : first + TREE_FAN_OUT]:
            self.send(child, message)

    def _store_totals(self, pools: SumsByPool, now: float) -> None:
        for name, item in pools.items():
            # The largest own load and smallest own call limit are subtracted, so that
            # the mean errs low.
            own = self._own_recent_sums(name)
            open_calls = max(0, item.open - max(part.open for part in own))
            call_limit = max(
                0.0, item.call_limit - min(part.call_limit for part in own)
            )
            recent = self._others_history.setdefault(name, deque())
            recent.append(_OthersLoad(open_calls, call_limit, now))
            while now - recent[0].at_s > LOW_ESTIMATE_WINDOW_S:
                recent.popleft()
            self.board.pool_totals[name] = PoolTotal(
                item.open,
                item.call_limit,
                min(sample.open for sample in recent),
                call_limit,
                item.top_customers,
                now,
            )
        for name in self.board.pool_totals.keys() - pools.keys():
            del self.board.pool_totals[name]
            self._others_history.pop(name, None)

    @on(SubtreeSums)
    def subtree_sums(self, source: str, message: SubtreeSums, now: float) -> None:
        """Store the sums of a child's subtree."""
        self._child_sums[source] = _TimedSums(message.pools, now)

    @on(ZoneSums)
    def zone_sums(self, source: str, message: ZoneSums, now: float) -> None:
        """Store the sums of another zone and forward them if this is not the root."""
        self._other_zone_sums[message.zone] = _TimedSums(message.pools, now)
        root = self._tree_members()[0]
        if root != self.board.name and not message.forwarded:
            self.send(root, ZoneSums(message.zone, message.pools, True))

    @on(FleetSums)
    def fleet_sums(self, source: str, message: FleetSums, now: float) -> None:
        """Store the totals and send them to the children in the tree."""
        self._store_totals(message.pools, now)
        self._send_to_children(self._tree_members(), message)

    def dump(self) -> dict[str, Any]:
        """Return the totals by pool.

        ``weight`` is the sum of the call limits, and ``heavy`` the open calls of the
        customers with the most.
        """
        return {
            name: {
                "open": total.open,
                "weight": total.call_limit,
                "heavy": total.top_customers,
            }
            for name, total in sorted(self.board.pool_totals.items())
        }
