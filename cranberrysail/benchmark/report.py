"""Tables and charts of plays."""

from collections import defaultdict
from pathlib import Path

from cranberrysail.benchmark.play import Play
from cranberrysail.benchmark.plot import Line, chart

__all__ = ["as_table", "table", "write_plots"]

# Seconds of arrivals that make one point of a line.
POINT_S = 1.0
HEADS = (
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


def table(plays: dict[str, Play]) -> str:
    """Return a Markdown table, a line for each policy."""
    return as_table([[*HEADS], *(_cells(name, play) for name, play in plays.items())])


def as_table(lines: list[list[str]]) -> str:
    """Return lines of cells as a Markdown table; the first is its head."""
    head, *rows = lines
    ruled = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in ruled)


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def _cells(name: str, play: Play) -> list[str]:
    counts = play.counts
    calls = max(1, counts["calls"])
    times = [sample.first_ms for sample in play.samples]
    shared = max(1, counts["kept"] + counts["moved"] + counts["read"])
    preempted = sum(engine.preempted for engine in play.engines.values())
    return [
        name,
        f"{_quantile(times, 0.5):.0f}",
        f"{_quantile(times, 0.99):.0f}",
        f"{counts['late'] / calls:.1%}",
        f"{_worth_in_time(play):.3f}",
        f"{counts['paused'] / calls:.1%}",
        _refusals(play),
        f"{counts['kept'] / shared:.3f}",
        f"{counts['again'] / 1000:.0f}",
        f"{counts['moved'] / 1000:.0f}",
        f"{preempted}",
        f"{counts['over'] / calls:.1%}",
    ]


def _worth_in_time(play: Play) -> float:
    """Return the part of the worth of all calls whose first token was in time."""
    earned = sum(s.kind.worth for s in play.samples if not s.late)
    missed = sum(s.kind.worth for s in play.samples if s.late)
    refused = play.counts["refused"]
    mean = sum(c.rate * c.worth for c in play.sheet.calls)
    mean /= sum(c.rate for c in play.sheet.calls)
    return earned / max(1e-9, earned + missed + refused * mean)


def _refusals(play: Play) -> str:
    calls = max(1, play.counts["calls"])
    kinds = {
        key.removeprefix("refused "): count
        for key, count in sorted(play.counts.items())
        if key.startswith("refused ")
    }
    if not kinds:
        return "0"
    return ", ".join(f"{count / calls:.1%} {kind}" for kind, count in kinds.items())


def _by_time(values: list[tuple[float, float]], share: float) -> list:
    buckets: dict[int, list[float]] = defaultdict(list)
    for at_s, value in values:
        buckets[int(at_s / POINT_S)].append(value)
    return [
        (number * POINT_S, _quantile(found, share))
        for number, found in sorted(buckets.items())
    ]


def write_plots(plays: dict[str, Play], folder: Path, title: str) -> list[Path]:
    """Write the charts of plays and return their files.

    Args:
      plays: Plays by policy, at most twelve.
      folder: Where the files go.
      title: What was played; also begins the files' names.
    """
    folder.mkdir(parents=True, exist_ok=True)
    seconds = "seconds since the start"
    firsts = {
        name: _by_time([(s.at_s, s.first_ms) for s in play.samples], 0.95)
        for name, play in plays.items()
    }
    loads = {name: _by_time(play.loads, 0.5) for name, play in plays.items()}
    charts = {
        "first": (f"{title}: first token, p95 by second", "ms", firsts),
        "load": (f"{title}: busiest engine over the mean", "times the mean", loads),
    }
    written = []
    for key, (name, unit, found) in charts.items():
        lines = [Line(policy, points) for policy, points in found.items()]
        path = folder / f"{title}-{key}.svg"
        path.write_text(chart(name, seconds, unit, lines))
        written.append(path)
    return written
