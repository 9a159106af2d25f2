"""Recorded arrivals and fleets for the measurements."""

import random
from dataclasses import dataclass

from cranberrysail.decisions.events import ListedHost
from cranberrysail.driven.driver import RouterSpec
from cranberrysail.driven.models import EngineSpeed, Prompt
from cranberrysail.tables import Customer, Idempotency, Pool, Route, RouteKind, Tables

__all__ = ["SPEED", "Arrival", "Shape", "arrivals", "hosts", "routers", "tables"]

POOL = "chat"
ZONES = ("zone-a", "zone-b", "zone-c")
SPEED = EngineSpeed(base_s=0.05, prefill_s=0.0001, token_s=0.05)
FIRST_TOKENS = 1500
TURN_TOKENS = 300
OUTPUT_TOKENS = 150
TURNS = 8
THINK_S = 20.0


@dataclass(frozen=True)
class Arrival:
    """A call at a time after the start."""

    at_s: float
    customer: str
    prompt: Prompt


@dataclass(frozen=True)
class Shape:
    """Size of a fleet."""

    routers_per_zone: int = 3
    engines_per_zone: int = 4
    max_open: int = 32
    cold_open: int = 4
    zones: tuple[str, ...] = ZONES


def tables(customers: tuple[str, ...] = ("one",)) -> Tables:
    """Return tables with one pool and one chat route."""
    route = Route(
        prefix="/v1",
        pool=POOL,
        kind=RouteKind.CHAT,
        methods=("POST",),
        idempotency=Idempotency.SAFE,
    )
    keys = ("0" * 64,)
    return Tables(
        pools={POOL: Pool()},
        routes={"chat": route},
        customers={name: Customer(keys_sha256=keys) for name in customers},
    )


def routers(shape: Shape) -> list[RouterSpec]:
    """Return the routers of a fleet."""
    return [
        RouterSpec(f"{zone}-r{number}", zone)
        for zone in shape.zones
        for number in range(shape.routers_per_zone)
    ]


def hosts(shape: Shape) -> list[ListedHost]:
    """Return the engines of a fleet."""
    return [
        ListedHost(
            f"{zone}-e{number}",
            f"host-{zone}-{number}",
            POOL,
            zone,
            "region",
            f"{zone}-e{number}:1",
            "i",
            max_open=shape.max_open,
            cold_open=shape.cold_open,
        )
        for zone in shape.zones
        for number in range(shape.engines_per_zone)
    ]


def arrivals(
    seed: int, seconds: float, rate: float, customer: str = "one"
) -> list[Arrival]:
    """Return calls of chats that return after pauses.

    Args:
      seed: Seed of all randomness.
      seconds: Time over which calls come.
      rate: Calls a second in the steady state.
      customer: Who calls.
    """
    rng = random.Random(seed)
    found: list[Arrival] = []
    warm_s = TURNS * (THINK_S + OUTPUT_TOKENS * SPEED.token_s)
    at_s = -warm_s
    while at_s < seconds:
        at_s += rng.expovariate(rate / TURNS)
        found.extend(_chat(rng, at_s, customer))
    kept = [item for item in found if 0 <= item.at_s < seconds]
    return sorted(kept, key=lambda item: item.at_s)


def _chat(rng: random.Random, start_s: float, customer: str) -> list[Arrival]:
    chat = rng.getrandbits(63) + 1
    tokens = 0
    at_s = start_s
    calls = []
    for turn in range(TURNS):
        new = FIRST_TOKENS if turn == 0 else TURN_TOKENS
        tokens += new
        output = max(1, int(rng.expovariate(1 / OUTPUT_TOKENS)))
        calls.append(Arrival(at_s, customer, Prompt(chat, tokens, new, output)))
        at_s += output * SPEED.token_s + rng.expovariate(1 / THINK_S)
    return calls
