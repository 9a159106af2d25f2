"""Loads of the two deployments under pressure, simulated, and what callers get."""

from functools import cache
from pathlib import Path

import pytest

from cranberrysail import jsonc
from cranberrysail.benchmark import (
    POLICIES,
    Simulation,
    SimulationConfig,
    balance_table,
    generate_arrivals,
)
from cranberrysail.benchmark.balance import Balance

SHEETS = Path(__file__).parents[2] / "bench" / "sheets"
# Fraction of cached prompt tokens that spilled calls may cost while caches fill.
REUSE_TOLERANCE = 0.03
# Fraction of calls that may go to an engine over the bound on load.
MAX_OVER = 0.03


@cache
def simulate(sheet, policy, routers, play_s):
    cfg = jsonc.load_model(SHEETS / f"{sheet}.jsonc", SimulationConfig).ok
    cfg = cfg.model_copy(update={"routers": routers, "play_s": play_s})
    arrivals = generate_arrivals(cfg, 1.0, 1)
    return Simulation(cfg, arrivals, POLICIES.get(policy)(), 1).run()


def compare(sheet, routers, play_s):
    return [simulate(sheet, p, routers, play_s) for p in ("by calls", "by work")]


def late(simulation, kind, from_s=0.0, to_s=100.0):
    samples = [
        s
        for s in simulation.samples
        if s.profile.name == kind and from_s <= s.at_s < to_s
    ]
    return sum(s.late for s in samples) / len(samples)


def over(simulation):
    return simulation.counts["over"] / simulation.counts["calls"]


def reuse(simulation):
    counts = simulation.counts
    return counts["kept"] / (counts["kept"] + counts["moved"] + counts["read"])


def test_urgent_calls_are_in_time_more_often_in_a_rush_of_long_prompts():
    """Guards against chats waiting behind a rush of summaries (3 to 6 s)."""
    cfg = jsonc.load_model(SHEETS / "pressure.jsonc", SimulationConfig).ok
    # Without the other disturbances.
    cfg = cfg.model_copy(update={"play_s": 8, "bursts": cfg.bursts[:1], "hot": ()})
    late_chats = {}
    for policy in ("by calls", "by work"):
        simulation = Simulation(
            cfg, generate_arrivals(cfg, 1.0, 1), POLICIES.get(policy)(), 1
        ).run()
        late_chats[policy] = late(simulation, "chat", 3, 7)
    assert late_chats["by work"] < 0.8 * late_chats["by calls"]


def test_urgent_calls_are_in_time_more_often_beside_a_hot_prompt():
    by_calls, by_work = compare("pressure", 62, 12)
    assert late(by_work, "chat", 8, 12) < 0.8 * late(by_calls, "chat", 8, 12)


def test_bound_on_load_holds_and_caches_are_reused_as_before():
    by_calls, by_work = compare("pressure", 62, 12)
    assert over(by_work) <= min(MAX_OVER, over(by_calls))
    assert reuse(by_work) > reuse(by_calls) - REUSE_TOLERANCE


def test_endpoints_that_are_slowed_for_600_ms_delay_fewer_calls():
    """Guards against calls sent to hosts that are 2.5 times slower at present."""
    by_calls, by_work = compare("shared-hosts", 32, 10)
    assert by_work.counts["late"] < 0.8 * by_calls.counts["late"]
    assert over(by_work) <= min(MAX_OVER, over(by_calls))
    assert reuse(by_work) > reuse(by_calls) - REUSE_TOLERANCE


def test_many_routers_that_choose_at_once_do_not_overload_engines():
    """Guards against all routers leaving a home for the same engine at once."""
    by_calls, by_work = compare("pressure", 195, 5)
    assert over(by_work) <= min(MAX_OVER, over(by_calls))
    assert by_work.balance.coincidence < by_calls.balance.coincidence + 0.1


def test_balance_is_reported_for_engines_and_plain_endpoints():
    simulation = simulate("shared-hosts", "by work", 32, 10)
    table = balance_table({"by work": simulation})
    assert "| by work | engines |" in table
    assert "| by work | plain |" in table


def test_balance_of_known_choices():
    balance = Balance()
    for router, endpoint in ((1, "a"), (2, "a"), (3, "b"), (3, "b")):
        balance.record_choice(router, endpoint)
    balance.sample([3, 1, 0, 0], [True, False, False, False])
    assert balance.ratios == [3.0]
    assert balance.idle_shares == [0.5]
    # Of the 5 pairs by different routers, 1 has the same of 4 endpoints.
    assert balance.coincidence == pytest.approx(4 / 5)
