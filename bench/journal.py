"""Tables of the users' bench, from the journal.

``python -m bench.journal ID...`` prints, for each entry, its standard days with worth
and costs; with several entries of one site, worth day by day in the order given.
"""

import json
import sys
from pathlib import Path

from cranberrysail.benchmark.report import as_table

FOLDER = Path(__file__).parent.parent / "journal"
# Prices of the report by which a day's costs are told.
COSTS = (
    ("processor seconds", "processor s"),
    ("new connections to servers", "connections"),
    ("cloud calls", "store calls"),
    ("GB between zones", "GB between zones"),
    ("GB of prompt memory moved", "GB of caches moved"),
    ("1,000 tokens of shared parts read again", "k tokens read again"),
)


def load(name: str) -> dict:
    """Return the entry whose file ends with a name."""
    found = sorted(FOLDER.glob(f"*{name}.json"))
    if not found:
        sys.exit(f"no entry {name} in {FOLDER.name}; use an id that is there")
    return json.loads(found[-1].read_text())


def standard(entry: dict) -> list[dict]:
    """Return the standard days of an entry."""
    return [day for day in entry["days"] if not day["name"].startswith("fresh")]


def days(entry: dict) -> str:
    """Return a table of an entry's days."""
    heads = ["day", "mark", "worth", "score", "served", "refused", "failed", "MB"]
    lines = [heads + [name for _, name in COSTS]]
    for day in standard(entry):
        prices = {name: amount for name, amount, _ in day["prices"]}
        lines.append(
            [
                day["name"],
                f"{day['top']:.3f}",
                f"{day['G']:.3f}",
                f"{day['score']:.2f}",
                f"{day['served']:.3f}",
                f"{day['refused']:.3f}",
                f"{day['failed']:.3f}",
                f"{day['kb_an_instance'] / 1000:.1f}",
                *(f"{prices.get(key, 0):g}" for key, _ in COSTS),
            ]
        )
    return as_table(lines)


def worths(entries: dict[str, dict]) -> str:
    """Return a table of worth, a day a line and an entry a column.

    A day that an entry does not have is left empty.
    """
    marks = {d["name"]: d["top"] for e in entries.values() for d in standard(e)}
    found = [{day["name"]: day for day in standard(e)} for e in entries.values()]
    lines = [["day", "mark", *entries]]
    for name, mark in marks.items():
        told = [f"{days[name]['G']:.3f}" if name in days else "" for days in found]
        lines.append([name, f"{mark:.3f}", *told])
    return as_table(lines)


def main() -> None:
    """Print the tables of the entries named."""
    by_site: dict[str, dict[str, dict]] = {}
    for name in sys.argv[1:]:
        entry = load(name)
        by_site.setdefault(str(entry["site"]), {})[name] = entry
    for site, entries in by_site.items():
        print(f"\n{site}\n")
        if len(entries) > 1:
            print(f"{worths(entries)}\n")
        print(days(list(entries.values())[-1]))


if __name__ == "__main__":
    main()
