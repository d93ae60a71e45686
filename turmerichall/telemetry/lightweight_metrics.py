"""Counts and latencies of a process that must start fast and stay small.

Counting is plain addition.  The library that writes the exposition is imported
with the first scrape, since most processes are never scraped.
"""

import bisect
import collections
from collections.abc import Iterator
from typing import Any

__all__ = ["BOUNDS_SECONDS", "MetricsRegistry"]

BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
PREFIX = "turmerichall_"

_Labels = tuple[tuple[str, str], ...]


class _Latency:
    """A histogram of one kind of latency."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_SECONDS) + 1)
        self.total = 0.0


class MetricsRegistry:
    """Counters and latency histograms of one process.

    Examples:
        >>> metrics = MetricsRegistry()
        >>> metrics.count("calls", status="200")
        >>> metrics.record_latency("call", 0.02)
        >>> exposition = metrics.exposition()
        >>> b'turmerichall_calls_total{status="200"} 1.0' in exposition
        True
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, _Labels]] = (
            collections.Counter()
        )
        self._latencies: dict[str, _Latency] = {}

    def count(self, name: str, times: int = 1, **labels: str) -> None:
        """Counts an event.

        Args:
            name: What happened, in the plural.
            times: How often.
            **labels: What tells it from others of its kind; few values each.
        """
        self._counts[(name, tuple(sorted(labels.items())))] += times

    def record_latency(self, name: str, seconds: float) -> None:
        """Takes in one latency."""
        latency = self._latencies.get(name)
        if latency is None:
            latency = self._latencies[name] = _Latency()
        latency.counts[bisect.bisect_left(BOUNDS_SECONDS, seconds)] += 1
        latency.total += seconds

    def exposition(self) -> bytes:
        """Returns everything in the Prometheus text format."""
        # pylint: disable-next=import-outside-toplevel
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(_Collector(self))
        prometheus_client.ProcessCollector(registry=registry)
        return prometheus_client.generate_latest(registry)

    def families(self) -> Iterator[Any]:
        """Gives metric families to the library that writes them."""
        # pylint: disable-next=import-outside-toplevel
        from prometheus_client import core

        counters: dict[str, Any] = {}
        for (name, labels), value in sorted(self._counts.items()):
            family = counters.get(name)
            if family is None:
                family = counters[name] = core.CounterMetricFamily(
                    PREFIX + name,
                    f"Number of {name}.",
                    labels=[key for key, _ in labels],
                )
            family.add_metric([text for _, text in labels], value)
        yield from counters.values()
        for name, latency in sorted(self._latencies.items()):
            buckets = []
            sum_so_far = 0
            bounds = [str(bound) for bound in BOUNDS_SECONDS] + ["+Inf"]
            for bound, number in zip(bounds, latency.counts):
                sum_so_far += number
                buckets.append((bound, sum_so_far))
            yield core.HistogramMetricFamily(
                f"{PREFIX}{name}_seconds",
                f"Latency of a {name}.",
                buckets=buckets,
                sum_value=latency.total,
            )


class _Collector:
    """Shows a registry to the library that writes the exposition."""

    def __init__(self, metrics: MetricsRegistry):
        self.metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Returns the metric families."""
        return self.metrics.families()
