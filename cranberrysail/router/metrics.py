"""Counters and latency histograms in Prometheus text."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["RouterMetrics"]

# Longest duration told apart, and significant digits, of a histogram.
MAX_MS = 120_000
DIGITS = 2
# Shares of observations, in percent.
QUANTILES = (50.0, 95.0, 99.0)


class RouterMetrics:
    """Counters and histograms of one router."""

    def __init__(self) -> None:
        self.counters: Counter = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter.

        Args:
          name: Name of the counter.
          label: Value of its label ``kind``, if it has one.
        """
        self.counters[name, label] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(1, MAX_MS, DIGITS)
        histogram.record_value(min(MAX_MS, max(1, round(seconds * 1000))))

    def text(self, gauges: dict[str, float]) -> str:
        """Return everything as Prometheus text.

        Args:
          gauges: Present values by name.
        """
        lines = [f"cranberrysail_{name} {value}" for name, value in gauges.items()]
        for (name, label), value in sorted(self.counters.items()):
            labels = f'{{kind="{label}"}}' if label else ""
            lines.append(f"cranberrysail_{name}_total{labels} {value}")
        for name, histogram in sorted(self._histograms.items()):
            full = f"cranberrysail_{name}_seconds"
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1000
                lines.append(f'{full}{{quantile="{quantile / 100:g}"}} {value:g}')
            lines.append(f"{full}_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"
