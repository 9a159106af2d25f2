"""Tests of the simulation, its arrivals and reports, and the bench command."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from cranberrysail import jsonc
from cranberrysail.benchmark import (
    POLICIES,
    Simulation,
    SimulationConfig,
    generate_arrivals,
    read_arrivals,
    results_table,
    write_arrivals,
    write_plots,
)
from cranberrysail.cli import app
from cranberrysail.errors import ConfigError

SHEETS = Path(__file__).parents[2] / "bench" / "sheets"
CONFIG = jsonc.parse_model(
    """
    // Small: three engines, and a burst.
    {"routers": 3, "play_s": 6,
     "engines": {"count": 3, "slots": 8, "memory_tokens": 60000, "step_ms": 3,
                 "step_ms_a_call": 0.02, "read_tokens_a_ms": 60, "event_tokens": 8},
     "calls": [
       {"name": "long", "rate": 4, "shared": 6000, "own": 400, "events": 20,
        "subjects": 9, "aim_ms": 500, "gap_ms": 250, "left_s": 5, "priority": 1,
        "worth": 4},
       {"name": "short", "rate": 8, "shared": 300, "own": 60, "events": 10,
        "subjects": 20, "aim_ms": 200, "gap_ms": 250, "left_s": 5, "priority": 0}],
     "bursts": [{"from_s": 2, "to_s": 4, "times": 3}]}
    """,
    SimulationConfig,
    "test",
).ok


def simulate(name, seed=1, rate=1.0):
    return Simulation(
        CONFIG, generate_arrivals(CONFIG, rate, seed), POLICIES.get(name)(), seed
    ).run()


def test_arrivals_follow_the_rates_and_the_burst():
    arrivals = generate_arrivals(CONFIG, 4.0, 1)
    inside = sum(2 <= a.at_s < 4 for a in arrivals)
    assert arrivals == generate_arrivals(CONFIG, 4.0, 1)
    assert arrivals == sorted(arrivals, key=lambda a: a.at_s)
    assert len(arrivals) == pytest.approx(12 * 4 * (4 + 2 * 3), rel=0.15)
    assert inside / len(arrivals) == pytest.approx(0.6, abs=0.06)


@pytest.mark.parametrize("name", POLICIES.names())
def test_calls_end_exactly_once_and_results_are_reproducible(name):
    simulation = simulate(name)
    ended = len(simulation.samples) + simulation.counts["refused"]
    waiting = sum(len(router.waiting) for router in simulation.routers)
    assert simulation.counts["calls"] == ended
    assert waiting == 0
    assert all(engine.idle for engine in simulation.engines.values())
    assert results_table({name: simulation}) == results_table({name: simulate(name)})


def test_placement_by_prefix_reuses_caches():
    by_prefix, by_load = simulate("as the product"), simulate("least loaded")
    assert by_prefix.counts["again"] < by_load.counts["again"] / 4
    assert by_prefix.counts["kept"] > by_load.counts["kept"]


def test_no_policy_has_fewer_late_calls_than_the_oracle():
    oracle_late = simulate("all-knowing").counts["late"]
    late = [simulate(name).counts["late"] for name in POLICIES.names()]
    assert oracle_late <= min(late)


def test_hot_prefix_does_not_overload_engines_of_a_large_fleet():
    """Less than 3 % of calls go to overloaded engines, as the users require.

    Overloaded means a load above twice the mean plus 3 calls.
    """
    config = jsonc.load_model(SHEETS / "authors-grown.jsonc", SimulationConfig).ok
    arrivals = generate_arrivals(config, 1.0, 1)
    overloaded = {}
    for name in ("as the product", "never spill"):
        counts = Simulation(config, arrivals, POLICIES.get(name)(), 1).run().counts
        overloaded[name] = counts["over"] / counts["calls"]
    assert overloaded["as the product"] < 0.03 < overloaded["never spill"]


@pytest.mark.parametrize(
    ("sheet", "from_s", "seed"),
    [
        ("guides-joins", 6.5, 1),
        ("authors-joins", 3.0, 1),
        ("authors-joins", 3.0, 3),
        ("authors-joins", 3.0, 4),
    ],
)
def test_engines_are_not_overloaded_while_cold_ones_join_a_large_fleet(
    sheet, from_s, seed
):
    """At most 3 % of calls go to overloaded engines in any 5 s (the users' bound)."""
    config = jsonc.load_model(SHEETS / f"{sheet}.jsonc", SimulationConfig).ok
    arrivals = generate_arrivals(config, 1.0, seed)
    policy = POLICIES.get("as the product")()
    simulation = Simulation(config, arrivals, policy, seed).run()
    assert simulation.max_overload_fraction(5.0, from_s) <= 0.03


def test_no_cached_prefix_is_processed_again_under_overload():
    """Guards against spilled calls having their prefix processed at many engines.

    This happened when the home endpoints of the prefixes were full.
    """
    config = jsonc.load_model(SHEETS / "guides-flood.jsonc", SimulationConfig).ok
    arrivals = generate_arrivals(config, 1.0, 1)
    counts = (
        Simulation(config, arrivals, POLICIES.get("as the product")(), 1).run().counts
    )
    assert counts["again"] == 0
    assert counts["kept"] > 2 * counts["read"]


def test_early_refusals_reduce_late_calls_under_overload():
    default, early = (
        simulate("as the product", rate=12),
        simulate("refuse early", rate=12),
    )
    assert early.counts["refused full"] > default.counts["refused full"]
    assert early.counts["late"] < default.counts["late"]


def test_recorded_arrivals_are_read_back(tmp_path):
    file = tmp_path / "calls.jsonl"
    arrivals = generate_arrivals(CONFIG, 1.0, 3)
    write_arrivals(file, arrivals)
    assert read_arrivals(file, CONFIG) == arrivals
    file.write_text('{"at_s": 1}\n')
    with pytest.raises(ConfigError, match="line 1"):
        read_arrivals(file, CONFIG)
    write_arrivals(file, [arrivals[0].__class__(0.0, "odd", 0, 1, 1, 1)])
    with pytest.raises(ConfigError, match="use long, short"):
        read_arrivals(file, CONFIG)


def test_table_and_charts_match_snapshots(tmp_path, snapshot):
    simulations = {name: simulate(name) for name in ("as the product", "least loaded")}
    files = write_plots(simulations, tmp_path, "small")
    assert [file.name for file in files] == ["small-first.svg", "small-load.svg"]
    assert results_table(simulations) == snapshot
    assert files[0].read_text() == snapshot


def test_bench_command_prints_results_and_reports_errors(tmp_path):
    sheet = tmp_path / "small.jsonc"
    sheet.write_text(CONFIG.model_dump_json())
    runner = CliRunner()
    args = ["bench", str(sheet), "--policy", "least loaded", "--plots", str(tmp_path)]
    result = runner.invoke(app, args)
    assert result.exit_code == 0
    assert "| least loaded |" in result.output
    assert (tmp_path / "small-1-load.svg").exists()
    assert "there is no policy" in str(
        runner.invoke(app, ["bench", str(sheet), "--policy", "odd"]).exception
    )
    sheet.write_text('{"routers": 0}')
    assert "play_s" in str(runner.invoke(app, ["bench", str(sheet)]).exception)
