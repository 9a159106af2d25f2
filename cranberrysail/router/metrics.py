"""Counters and latency histograms in the Prometheus text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["RouterMetrics"]

# Upper limit and precision of the histograms; longer durations count as the limit, and
# shorter ones than 1 ms as 1 ms.
HISTOGRAM_MAX_MS = 120_000
SIGNIFICANT_DIGITS = 2
# Percentiles that are exported, under the label ``quantile`` as fractions of 1.
PERCENTILES = (50.0, 95.0, 99.0)


class RouterMetrics:
    """Counters and histograms of one router."""

    def __init__(self) -> None:
        self.counters: Counter = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Increment a counter.

        Args:
          name: Name of the counter.
          label: Value of the label ``kind``; empty for a counter without it.
        """
        self.counters[name, label] += 1

    def by_label(self, name: str) -> dict[str, int]:
        """Return the values of a counter by label."""
        return {
            label: value
            for (counter, label), value in sorted(self.counters.items())
            if counter == name
        }

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(
                1, HISTOGRAM_MAX_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(HISTOGRAM_MAX_MS, max(1, round(seconds * 1000))))

    def text(self, gauges: dict[str, float]) -> str:
        """Return all metrics in the Prometheus text format.

        Args:
          gauges: Current values by metric name.
        """
        lines = [f"cranberrysail_{name} {value}" for name, value in gauges.items()]
        for (name, label), value in sorted(self.counters.items()):
            labels = f'{{kind="{label}"}}' if label else ""
            lines.append(f"cranberrysail_{name}_total{labels} {value}")
        for name, histogram in sorted(self._histograms.items()):
            metric = f"cranberrysail_{name}_seconds"
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1000
                lines.append(f'{metric}{{quantile="{percentile / 100:g}"}} {value:g}')
            lines.append(f"{metric}_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"
