"""Counters and latency histograms of one process, exported as text."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

# Range and precision of the histograms; longer durations count as the maximum.
HISTOGRAM_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2
# Percentiles that are exported.
PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Histograms of durations, and counters, by name."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self.counters: Counter = Counter()

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        if name not in self._histograms:
            self._histograms[name] = HdrHistogram(
                1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS
            )
        duration_us = min(HISTOGRAM_MAX_US, max(1, int(seconds * 1e6)))
        self._histograms[name].record_value(duration_us)

    def summary(self) -> dict[str, dict[str, float]]:
        """Return the count and the percentiles in milliseconds of each histogram."""
        return {
            name: {
                "count": histogram.get_total_count(),
                **{
                    f"p{percentile:g}_ms": round(
                        histogram.get_value_at_percentile(percentile) / 1000, 3
                    )
                    for percentile in PERCENTILES
                },
            }
            for name, histogram in sorted(self._histograms.items())
        }

    def text(self, counters: dict[str, int]) -> str:
        """Return all metrics as text, one a line.

        Args:
          counters: More counters to include, by name.
        """
        lines = []
        for name, values in self.summary().items():
            for label, value in values.items():
                lines.append(f"cranberrysail_{name}_{label} {value}")
        for name, value in sorted({**counters, **self.counters}.items()):
            lines.append(f"cranberrysail_{name.replace('.', '_')}_total {value}")
        return "\n".join(lines) + "\n"
