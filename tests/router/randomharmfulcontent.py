"""Random scenarios of engines that crash on content, with other troubles beside."""

import asyncio
import random
from dataclasses import dataclass, field

from cranberrysail.router.store import Topic
from tests.router.harmfulcontent import STABILITY_WINDOW_S, HarmfulContent, Setting

# A store that was restored, or is back, may not yet show all that is in it.
SETTLED_AFTER_S = 1.0


def random_setting(seed: int) -> Setting:
    """Return a random setting."""
    rng = random.Random(seed)
    zones = rng.choice((1, 1, 2, 3, 5))
    return Setting(
        routers=zones * rng.choice((1, 2, 3, 6)) + rng.choice((0, 1, 3)),
        zones=zones,
        engines=rng.choice((6, 12, 24, 40)),
        interval_s=rng.choice((0.1, 0.3, 0.6, 1.0, 2.0, 4.0)),
        attempts=rng.choice((1, 2)),
        random_crashes_per_s=rng.choice((0.0, 0.0, 0.3, 1.0)),
        restart_at_s=rng.choice((None, None, rng.uniform(2.5, 20.0))),
        restarts_one_by_one=rng.random() < 0.3,
        first_s=2.0,
        duration_s=rng.choice((25.0, 45.0)),
        companions=rng.choice((0, 0, 1)),
        writes_before_crash=rng.choice(("", "head", "event")),
        framed=rng.random() < 0.7,
        resets=rng.random() < 0.5,
        renames=rng.random() < 0.7,
        sound_parts=rng.choice((7, 60, 600)),
        sound_calls_per_s=rng.choice((8.0, 25.0)),
        turns=rng.random() < 0.15,
        seed=seed,
    )


@dataclass
class RandomHarmfulContent(HarmfulContent):
    """A scenario with troubles of the store, of links between routers and of engines.

    Attributes:
      store_trouble: Start and end of each trouble of the store.
      router_trouble: Start and end of each trouble of a router, by name.
    """

    store_trouble: list[tuple[float, float]] = field(default_factory=list)
    router_trouble: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    async def restart(self, names, away_s: float = 0.5) -> None:
        start_s = self.now()
        await super().restart(names, away_s)
        for name in names:
            self.router_trouble.setdefault(name, []).append((start_s, self.now()))

    async def disturb_store(self) -> None:
        """Let the store fail or stay silent, or restore it from a copy."""
        store = self.fleet.store
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 12.0))
            start_s = self.now()
            fault = self.rng.choice(("down", "silent", "misses_wakeups", "restore"))
            if fault == "restore":
                copy = store.copy()
                await asyncio.sleep(self.rng.uniform(0.2, 3.0))
                start_s = self.now()
                lost = store.restore(copy)
                for key, value in lost.get(Topic.ENDPOINTS, []):
                    store.append(Topic.ENDPOINTS, key, value)
                for key, value in lost.get(Topic.OPERATORS, []):
                    store.append(Topic.OPERATORS, key, value)
            else:
                setattr(store, fault, True)
                await asyncio.sleep(self.rng.uniform(0.5, 5.0))
                setattr(store, fault, False)
            self.store_trouble.append((start_s, self.now() + SETTLED_AFTER_S))

    async def disturb_links(self) -> None:
        """Cut some routers off from those that ask them, for a time."""
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 8.0))
            start_s = self.now()
            names = self.rng.sample(
                sorted(self.hosts), self.rng.randint(1, max(1, len(self.hosts) // 3))
            )
            addresses = {(self.hosts[name][0], 8003) for name in names}
            self.loop.unreachable |= addresses
            for transport in self.loop.transports:
                if transport.host in {host for host, _ in addresses}:
                    transport.peer.drops_writes = True
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.loop.unreachable -= addresses
            for name in names:
                self.router_trouble.setdefault(name, []).append((start_s, self.now()))

    async def break_connections(self) -> None:
        """Reset single connections of engines that go on."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1.0))
            busy = [w for w in self.fleet.workers.values() if w.conns]
            if busy:
                self.rng.choice(self.rng.choice(busy).conns).transport.reset()

    def more_activities(self) -> list:
        """Return the troubles that this seed has."""
        troubles = [self.disturb_store, self.disturb_links, self.break_connections]
        return [t() for t in troubles if self.rng.random() < 0.5]

    def is_in_touch(self, attempt: str, at_s: float) -> bool:
        """Return whether router and store have been without trouble for long enough."""
        router = self.calls[int(attempt[1:])].router
        trouble = [*self.store_trouble, *self.router_trouble.get(router, [])]
        return not any(
            start_s <= at_s and end_s >= at_s - STABILITY_WINDOW_S
            for start_s, end_s in trouble
        )
