"""Spreading pool loads over a tree of the routers of each zone."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from cranberrysail.decisions.blackboard import Blackboard, PoolTotal
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import Tick
from cranberrysail.decisions.loads import MAX_HEAVY, fresh_share, own_sums
from cranberrysail.decisions.messages import PoolSum, SumDown, SumUp, SumZone

__all__ = ["SumsController", "merge"]

FAN_OUT = 4
PERIOD_MIN_S = 0.1
PERIOD_MAX_S = 0.5
PERIOD_EACH_S = 0.015
FAR_PERIOD_S = 1.0
STALE_PERIODS = 4
ZONE_STALE_S = 15.0
LAG_S = 2.0
ROOT_WAIT_S = 3.0
LOW_WINDOW_S = 1.0

NOTHING = PoolSum(0, 0.0, {})

Sums = dict[str, PoolSum]


@dataclass(frozen=True)
class _Heard:
    pools: Sums
    at_s: float


@dataclass(frozen=True)
class _Reading:
    open: int
    weight: float
    at_s: float


def merge(parts: list[Sums]) -> Sums:
    """Add up the sums of several parts of the fleet."""
    names = {name for part in parts for name in part}
    return {
        name: _merge_pool([part[name] for part in parts if name in part])
        for name in names
    }


def _merge_pool(parts: list[PoolSum]) -> PoolSum:
    heavy: dict[str, int] = {}
    for part in parts:
        for customer, count in part.heavy.items():
            heavy[customer] = heavy.get(customer, 0) + count
    top = sorted(heavy.items(), key=lambda item: (-item[1], item[0]))[:MAX_HEAVY]
    open_calls = sum(part.open for part in parts)
    return PoolSum(open_calls, sum(part.weight for part in parts), dict(top))


def _faded(heard: _Heard, now: float) -> Sums:
    """Return the sums of a zone; work that is long unheard of counts less."""
    share = fresh_share(now - heard.at_s)
    return {
        name: PoolSum(int(item.open * share), item.weight, item.heavy)
        for name, item in heard.pools.items()
    }


@CONTROLLERS.register("sums")
class SumsController(BaseController):
    """Adds loads up towards each zone's root and spreads the totals."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._children: dict[str, _Heard] = {}
        self._zones: dict[str, _Heard] = {}
        self._seq = 0
        self._next_s = 0.0
        self._next_far_s = 0.0
        self._root_since_s: float | None = None
        self._sent: deque[_Heard] = deque()
        self._others: dict[str, deque[_Reading]] = {}

    def _tree(self) -> list[str]:
        return sorted(self.board.zone_owners(self.board.zone))

    def _period(self) -> float:
        count = len(self.board.peers(self.board.zone)) + 1
        return min(PERIOD_MAX_S, max(PERIOD_MIN_S, count * PERIOD_EACH_S))

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Send sums up, or down from the root."""
        if now < self._next_s:
            return
        self._next_s = now + self._period()
        own = own_sums(self.board, now)
        self._remember_own(own, now)
        tree = self._tree()
        if self.board.name not in tree:
            return
        subtree = merge([own, *self._fresh_children(tree, now)])
        if self.board.name == tree[0]:
            self._root(tree, subtree, now)
            return
        self._root_since_s = None
        parent = tree[(tree.index(self.board.name) - 1) // FAN_OUT]
        self.send(parent, SumUp(subtree))

    def _fresh_children(self, tree: list[str], now: float) -> list[Sums]:
        limit = STALE_PERIODS * self._period()
        self._children = {
            name: heard
            for name, heard in self._children.items()
            if now - heard.at_s < limit and name in tree
        }
        return [heard.pools for heard in self._children.values()]

    def _remember_own(self, own: Sums, now: float) -> None:
        self._sent.append(_Heard(own, now))
        while now - self._sent[0].at_s > LAG_S:
            self._sent.popleft()

    def _own_parts(self, pool: str) -> list[PoolSum]:
        """Return what totals on their way may hold of this router."""
        return [h.pools.get(pool, NOTHING) for h in self._sent] or [NOTHING]

    def _root(self, tree: list[str], zone: Sums, now: float) -> None:
        far = {peer.zone for peer in self.board.peers()} - {self.board.zone}
        self._zones = {
            name: heard
            for name, heard in self._zones.items()
            if now - heard.at_s < ZONE_STALE_S and name in far
        }
        parts = [_faded(heard, now) for heard in self._zones.values()]
        total = merge([zone, *parts])
        if self._root_since_s is None:
            self._root_since_s = now
        complete = far <= self._zones.keys()
        if complete or now - self._root_since_s > ROOT_WAIT_S:
            self._seq += 1
            self._take(total, now)
            self._pass_down(tree, SumDown(self._seq, total))
        if now >= self._next_far_s:
            self._next_far_s = now + FAR_PERIOD_S
            self._send_far(zone)

    def _send_far(self, zone: Sums) -> None:
        zones = {peer.zone for peer in self.board.peers()} - {self.board.zone}
        for other in sorted(zones):
            root = min(self.board.zone_owners(other))
            self.send(root, SumZone(self.board.zone, zone))

    def _pass_down(self, tree: list[str], message: SumDown) -> None:
        if self.board.name not in tree:
            return
        first = tree.index(self.board.name) * FAN_OUT + 1
        for child in tree[first : first + FAN_OUT]:
            self.send(child, message)

    def _take(self, pools: Sums, now: float) -> None:
        for name, item in pools.items():
            own = self._own_parts(name)
            open_calls = max(0, item.open - max(part.open for part in own))
            weight = max(0.0, item.weight - min(part.weight for part in own))
            recent = self._others.setdefault(name, deque())
            recent.append(_Reading(open_calls, weight, now))
            while now - recent[0].at_s > LOW_WINDOW_S:
                recent.popleft()
            self.board.totals[name] = PoolTotal(
                item.open,
                item.weight,
                min(reading.open for reading in recent),
                weight,
                item.heavy,
                now,
            )
        for name in self.board.totals.keys() - pools.keys():
            del self.board.totals[name]
            self._others.pop(name, None)

    @on(SumUp)
    def sum_up(self, source: str, message: SumUp, now: float) -> None:
        """Take the sums of a subtree."""
        self._children[source] = _Heard(message.pools, now)

    @on(SumZone)
    def sum_zone(self, source: str, message: SumZone, now: float) -> None:
        """Take the sums of another zone, or pass them on to the root."""
        self._zones[message.zone] = _Heard(message.pools, now)
        root = self._tree()[0]
        if root != self.board.name and not message.passed_on:
            self.send(root, SumZone(message.zone, message.pools, True))

    @on(SumDown)
    def sum_down(self, source: str, message: SumDown, now: float) -> None:
        """Take the totals and pass them on."""
        self._take(message.pools, now)
        self._pass_down(self._tree(), message)

    def dump(self) -> dict[str, Any]:
        """Return the totals by pool."""
        return {
            name: {"open": total.open, "weight": total.weight, "heavy": total.heavy}
            for name, total in sorted(self.board.totals.items())
        }
