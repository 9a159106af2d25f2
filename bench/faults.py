"""Zone moves, surges and bookings on the product's own nodes.

Run: ``python -m bench.faults zonemoves|surge|bookings [SEED]``.
"""

import sys
from collections import Counter
from collections.abc import Iterable

from bench.workload import SPEED, Arrival, Shape, arrivals, hosts, routers, tables
from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.driven.driver import CallOutcome, Driver
from cranberrysail.errors import NotRunError
from cranberrysail.settings import LimitSettings
from cranberrysail.tables import Idempotency, Route

SHAPE = Shape()
WARM_S = 60.0
WINDOW_S = 40.0
RATE = 18.0
ZONE = SHAPE.zones[0]
SURGE = 20
NORMAL_RATE = 4.0
BOOKINGS = 400
KEYED = Route(
    prefix="/b", pool="chat", methods=("POST",), idempotency=Idempotency.KEYED
)


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile, 0 of nothing."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * share)] if ordered else 0.0


def start(seed: int, customers: tuple[str, ...] = ("one",)) -> Driver:
    """Return a fleet that has started."""
    limits = LimitSettings(queue_s=5.0)
    driver = Driver(
        routers(SHAPE),
        hosts(SHAPE),
        tables(customers),
        seed,
        speed=SPEED,
        limits=limits,
    )
    driver.run(5.0)
    return driver


def play(driver: Driver, calls: list[Arrival]) -> list[CallOutcome]:
    """Let recorded calls arrive and return what became of them."""
    route = tables().routes["chat"]
    start_s = driver.now
    outcomes = []
    for arrival in calls:
        driver.run(max(0.0, start_s + arrival.at_s - driver.now))
        router = driver.rng.choice(driver.ready_routers())
        outcomes.append(
            driver.call(router, "chat", route, arrival.customer, arrival.prompt)
        )
    return outcomes


def window(calls: list[Arrival], begin_s: float, end_s: float) -> list[Arrival]:
    """Return the calls of a time, shifted to begin at 0."""
    return [
        Arrival(call.at_s - begin_s, call.customer, call.prompt)
        for call in calls
        if begin_s <= call.at_s < end_s
    ]


def served(driver: Driver, zone: str) -> int:
    """Return the calls that a zone's engines took so far."""
    return sum(e.calls for e in driver.engines.values() if e.host.zone == zone)


def line(name: str, driver: Driver, outcomes: list[CallOutcome]) -> None:
    """Print what became of calls."""
    refused = Counter(o.error.code for o in outcomes if o.error is not None)
    first = percentile((o.first_s for o in outcomes if o.first_s), 0.95)
    lost = sum(o.lost for o in outcomes)
    print(
        f"| {name} | {len(outcomes)} | {lost} | {dict(refused) or 0} | {first:.3f} s |"
    )


def zone_moves(seed: int) -> None:
    """Take a zone out and bring it back under load."""
    driver = start(seed)
    calls = arrivals(seed, WARM_S + 4 * WINDOW_S, RATE)
    play(driver, window(calls, 0.0, WARM_S))
    print("| phase | calls | failed | refused | first token p95 |")
    print("|---|---|---|---|---|")
    line("before", driver, play(driver, window(calls, WARM_S, WARM_S + WINDOW_S)))
    at_s = WARM_S + WINDOW_S
    driver.set_out(RowKind.ZONE, ZONE, True)
    reached = []
    out: list[CallOutcome] = []
    for until_s in (0.5, 1.0, 2.0, 3.0, WINDOW_S):
        before = served(driver, ZONE)
        begin_s = 0.0 if not reached else reached[-1][0]
        out += play(driver, window(calls, at_s + begin_s, at_s + until_s))
        reached.append((until_s, served(driver, ZONE) - before))
    line("zone out", driver, out)
    driver.set_out(RowKind.ZONE, ZONE, False)
    for name in [n for n in driver.engines if n.startswith(ZONE)]:
        driver.restart_engine(name)
    at_s += WINDOW_S
    line("zone back, cold", driver, play(driver, window(calls, at_s, at_s + WINDOW_S)))
    at_s += WINDOW_S
    line("later", driver, play(driver, window(calls, at_s, at_s + WINDOW_S)))
    overloads = sum(e.overloads for e in driver.engines.values() if e.cold_left)
    print(f"new calls in the zone by seconds after it was out: {reached}")
    print(f"calls beyond what a cold engine bears: {overloads}")
    print(f"violations: {driver.violations()}")


def surge(seed: int) -> None:
    """Let one customer come with 20 times its share."""
    names = ("one", "two", "three", "four")
    print("| run | customer | calls | refused | first token p95 |")
    print("|---|---|---|---|---|")
    for label, times in (("calm", 1), ("surge", SURGE)):
        driver = start(seed, names)
        calls = [
            call
            for number, name in enumerate(names)
            for call in arrivals(
                seed + number,
                WARM_S + WINDOW_S,
                NORMAL_RATE * (times if name == "one" else 1),
                name,
            )
        ]
        calls.sort(key=lambda call: call.at_s)
        play(driver, window(calls, 0.0, WARM_S))
        outcomes = play(driver, window(calls, WARM_S, WARM_S + WINDOW_S))
        driver.run(60.0)
        for group, chosen in (("one", {"one"}), ("the others", set(names[1:]))):
            mine = [o for o in outcomes if o.arrived.customer in chosen]
            refused = sum(o.error is not None for o in mine)
            first = percentile((o.first_s for o in mine if o.first_s), 0.95)
            print(
                f"| {label} | {group} | {len(mine)} | {refused / len(mine):.1%} | "
                f"{first:.3f} s |",
                flush=True,
            )
        print(f"violations: {driver.violations()}")


def bookings(seed: int) -> None:
    """Book under lost answers, an outage, repeats and killed routers."""
    driver = start(seed)
    rng = driver.rng
    last: dict[str, CallOutcome] = {}
    ends: Counter = Counter()
    false_not_run = 0
    for number in range(BOOKINGS):
        phase = number * 5 // BOOKINGS
        driver.faults.lose_answers = phase == 1
        driver.faults.log_down = phase == 2
        if phase == 3 and number % 20 == 0:
            name = rng.choice(sorted(driver.nodes))
            driver.kill_router(name)
            driver.at(3.0, lambda name=name: driver.start_router(name))
        key = f"key-{number}"
        for _ in range(3):
            ready = driver.ready_routers()
            outcome = driver.call(rng.choice(ready), "book", KEYED, "one", key=key)
            driver.run(rng.random() * 2.0)
            if outcome.done_s and not outcome.error:
                break
        last[key] = outcome
    driver.faults.log_down = driver.faults.lose_answers = False
    driver.run(60.0)
    for key, outcome in last.items():
        runs = driver.keyed_runs[key]
        if outcome.lost:
            ends[f"caller cut off with its router, ran {runs}"] += 1
        elif outcome.error is None:
            ends[f"answered, ran {runs}"] += 1
        else:
            kind = outcome.error.outcome
            ends[f"{kind} ({outcome.error.code}), ran {runs}"] += 1
            false_not_run += isinstance(outcome.error, NotRunError) and outcome.runs
    print(f"bookings {BOOKINGS}, up to three tries each through any router")
    for name, count in ends.most_common():
        print(f"| {name} | {count} |")
    print(f"run twice: {sum(n > 1 for n in driver.keyed_runs.values())}")
    print(f'false "not run": {false_not_run}')
    print(f"violations: {driver.violations()}")


SCENARIOS = {"zonemoves": zone_moves, "surge": surge, "bookings": bookings}


def main() -> None:
    """Run one scenario."""
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    print(f"{sys.argv[1]}, seed {seed}")
    SCENARIOS[sys.argv[1]](seed)


if __name__ == "__main__":
    main()
