"""Result tables and charts of simulations."""

from collections import Counter, defaultdict
from pathlib import Path

from cranberrysail.benchmark.balance import Balance
from cranberrysail.benchmark.plot import Series, line_chart
from cranberrysail.benchmark.simulation import Simulation

__all__ = ["balance_table", "markdown_table", "results_table", "write_plots"]

# Length of the time interval that one point of a chart summarizes.
BUCKET_S = 1.0
# Of the tokens of shared prefixes, "reuse" is the fraction cached at the engine, "again
# k" the thousands processed though some engine had them cached, and "moved k" the
# thousands fetched from another engine. "over twice the mean" is the fraction of calls
# sent to an overloaded engine.
HEADERS = (
    "policy",
    "first ms p50",
    "p99",
    "late",
    "worth in time",
    "paused",
    "refused",
    "reuse",
    "again k",
    "moved k",
    "preempted",
    "over twice the mean",
)
# "busiest" is the load of the busiest endpoint over the mean, "idle" the mean fraction
# of idle endpoints while another has a queue, and "coincide" how much more often than
# by chance two routers chose the same endpoint within 100 ms.
BALANCE_HEADERS = (
    "policy",
    "service",
    "busiest p50",
    "p95",
    "idle",
    "coincide",
    "late",
    "rejected",
    "over twice the mean",
)


def results_table(simulations: dict[str, Simulation]) -> str:
    """Return the results as a Markdown table with one row per policy."""
    return markdown_table(
        [
            [*HEADERS],
            *(_row(name, simulation) for name, simulation in simulations.items()),
        ]
    )


def balance_table(simulations: dict[str, Simulation]) -> str:
    """Return how evenly load was spread, as a Markdown table."""
    rows = [[*BALANCE_HEADERS]]
    for name, simulation in simulations.items():
        services = {"engines": (simulation.balance, simulation.counts)}
        if simulation.plain is not None:
            services["plain"] = (simulation.plain.balance, simulation.plain.counts)
        for service, (balance, counts) in services.items():
            rows.append([name, service, *_balance_cells(balance, counts)])
    return markdown_table(rows)


def _balance_cells(balance: Balance, counts: Counter) -> list[str]:
    calls = max(1, counts["calls"])
    idle = balance.idle_shares
    return [
        f"{_quantile(balance.ratios, 0.5):.1f}",
        f"{_quantile(balance.ratios, 0.95):.1f}",
        f"{sum(idle) / max(1, len(idle)):.3f}",
        f"{balance.coincidence:.2f}",
        f"{counts['late'] / calls:.2%}",
        f"{counts['rejected'] / calls:.2%}",
        f"{counts['over'] / calls:.2%}",
    ]


def markdown_table(rows: list[list[str]]) -> str:
    """Format rows of cells as a Markdown table; the first row is the header."""
    header, *body = rows
    all_rows = [header, ["---"] * len(header), *body]
    return "\n".join(f"| {' | '.join(row)} |" for row in all_rows)


def _quantile(values: list[float], fraction: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


def _row(name: str, simulation: Simulation) -> list[str]:
    counts = simulation.counts
    calls = max(1, counts["calls"])
    first_token_ms = [sample.first_token_ms for sample in simulation.samples]
    shared_tokens = max(1, counts["kept"] + counts["moved"] + counts["read"])
    preemptions = sum(engine.preemptions for engine in simulation.engines.values())
    return [
        name,
        f"{_quantile(first_token_ms, 0.5):.0f}",
        f"{_quantile(first_token_ms, 0.99):.0f}",
        f"{counts['late'] / calls:.1%}",
        f"{_timely_worth_fraction(simulation):.3f}",
        f"{counts['paused'] / calls:.1%}",
        _refusals_by_reason(simulation),
        f"{counts['kept'] / shared_tokens:.3f}",
        f"{counts['again'] / 1000:.0f}",
        f"{counts['moved'] / 1000:.0f}",
        f"{preemptions}",
        f"{counts['over'] / calls:.1%}",
    ]


def _timely_worth_fraction(simulation: Simulation) -> float:
    """Return the share of the total worth that calls with a timely first token have.

    A refused call counts with the mean worth of the profiles, weighted by arrival rate.
    """
    timely = sum(s.profile.worth for s in simulation.samples if not s.late)
    late = sum(s.profile.worth for s in simulation.samples if s.late)
    refused = simulation.counts["refused"]
    mean_worth = sum(c.rate * c.worth for c in simulation.config.calls)
    mean_worth /= sum(c.rate for c in simulation.config.calls)
    return timely / max(1e-9, timely + late + refused * mean_worth)


def _refusals_by_reason(simulation: Simulation) -> str:
    """Format the refused calls as percentages of all calls, by reason."""
    calls = max(1, simulation.counts["calls"])
    reasons = {
        key.removeprefix("refused "): count
        for key, count in sorted(simulation.counts.items())
        if key.startswith("refused ")
    }
    if not reasons:
        return "0"
    return ", ".join(
        f"{count / calls:.1%} {reason}" for reason, count in reasons.items()
    )


def _quantile_by_time(values: list[tuple[float, float]], fraction: float) -> list:
    """Return the start and the quantile of each interval of ``BUCKET_S``.

    Args:
      values: Times in seconds, each with a value.
      fraction: Quantile as a fraction, such as 0.95.
    """
    buckets: dict[int, list[float]] = defaultdict(list)
    for at_s, value in values:
        buckets[int(at_s / BUCKET_S)].append(value)
    return [
        (index * BUCKET_S, _quantile(bucket, fraction))
        for index, bucket in sorted(buckets.items())
    ]


def write_plots(
    simulations: dict[str, Simulation], directory: Path, title: str
) -> list[Path]:
    """Write the charts of simulations, and return their paths.

    Args:
      simulations: Simulations by name of the policy. The colours of the charts
        repeat after twelve.
      directory: Directory of the charts; created if it does not exist.
      title: Prefix of the chart titles and file names.
    """
    directory.mkdir(parents=True, exist_ok=True)
    x_label = "seconds since the start"
    first_tokens = {
        name: _quantile_by_time(
            [(s.at_s, s.first_token_ms) for s in simulation.samples], 0.95
        )
        for name, simulation in simulations.items()
    }
    loads = {
        name: _quantile_by_time(simulation.load_ratios, 0.5)
        for name, simulation in simulations.items()
    }
    charts = {
        "first": (f"{title}: first token, p95 by second", "ms", first_tokens),
        "load": (f"{title}: busiest engine over the mean", "times the mean", loads),
    }
    paths = []
    for key, (chart_title, unit, values) in charts.items():
        lines = [Series(policy, points) for policy, points in values.items()]
        path = directory / f"{title}-{key}.svg"
        path.write_text(line_chart(chart_title, x_label, unit, lines))
        paths.append(path)
    return paths
