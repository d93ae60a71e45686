"""Metrics of a process that must start fast and use little memory.

Counting is plain addition.  The Prometheus library is imported at the first
scrape, since most processes are never scraped.
"""

import bisect
import collections
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

__all__ = ["LATENCY_BOUNDS_SECONDS", "MetricsRegistry"]

LATENCY_BOUNDS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
PREFIX = "turmerichall_"

_Labels = tuple[tuple[str, str], ...]


class _Histogram:
    """Histogram of observations of one kind.

    Attributes:
        bounds: Upper bounds of the buckets except the last, ascending.
        counts: Number of observations per bucket; the last bucket has no upper
            bound.
        total: Sum of the observations.
    """

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def record(self, value: float) -> None:
        """Add an observation."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value

    def family(self, name: str, description: str) -> Any:
        """Return the histogram as a Prometheus metric family."""
        # pylint: disable-next=import-outside-toplevel
        from prometheus_client import core

        buckets = []
        cumulative_count = 0
        bounds = [str(bound) for bound in self.bounds] + ["+Inf"]
        for bound, bucket_count in zip(bounds, self.counts):
            cumulative_count += bucket_count
            buckets.append((bound, cumulative_count))
        return core.HistogramMetricFamily(
            name, description, buckets=buckets, sum_value=self.total
        )


class _Gauge(NamedTuple):
    """Gauge whose value is read at each scrape."""

    description: str
    read: Callable[[], float]


class MetricsRegistry:
    """Counters, gauges and histograms of one process.

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
        self._latencies: dict[str, _Histogram] = {}
        self._ratios: dict[str, _Histogram] = {}
        self._gauges: dict[str, _Gauge] = {}

    def count(self, name: str, times: int = 1, **labels: str) -> None:
        """Count an event.

        Args:
            name: Name of the counter, such as `calls`.
            times: Number of events to add.
            **labels: Labels of the counter; each must have few distinct values.
        """
        self._counts[(name, tuple(sorted(labels.items())))] += times

    def record_latency(self, name: str, seconds: float) -> None:
        """Add an observation to a latency histogram.

        Args:
            name: Name of the histogram without unit, such as `call`.
            seconds: The latency, in seconds.
        """
        latency = self._latencies.get(name)
        if latency is None:
            latency = self._latencies[name] = _Histogram(LATENCY_BOUNDS_SECONDS)
        latency.record(seconds)

    def record_ratio(
        self, name: str, ratio: float, bounds: tuple[float, ...]
    ) -> None:
        """Add an observation to a histogram of ratios.

        Args:
            name: Name of the histogram without unit, such as `forecast_error`.
            ratio: The observation.
            bounds: Upper bounds of the buckets, ascending; those of the first
                observation stay.
        """
        histogram = self._ratios.get(name)
        if histogram is None:
            histogram = self._ratios[name] = _Histogram(bounds)
        histogram.record(ratio)

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge, or replace the one of the same name.

        Args:
            name: Name of the gauge, such as `replica_term`.
            description: Help text, with the unit.
            read: Returns the value, which must be finite; called at each scrape
                and at no other time.
        """
        self._gauges[name] = _Gauge(description, read)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        The processor time and memory of the process are included.
        """
        # pylint: disable-next=import-outside-toplevel
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(_Collector(self))
        prometheus_client.ProcessCollector(registry=registry)
        return prometheus_client.generate_latest(registry)

    def metric_families(self) -> Iterator[Any]:
        """Return all metrics of the registry as Prometheus metric families."""
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
            family.add_metric([label_value for _, label_value in labels], value)
        yield from counters.values()
        for name, gauge in sorted(self._gauges.items()):
            yield core.GaugeMetricFamily(
                PREFIX + name, gauge.description, value=gauge.read()
            )
        for name, latency in sorted(self._latencies.items()):
            yield latency.family(
                f"{PREFIX}{name}_seconds", f"Latency of a {name}."
            )
        for name, histogram in sorted(self._ratios.items()):
            yield histogram.family(
                f"{PREFIX}{name}_ratio", f"Ratio of a {name}."
            )


class _Collector:
    """Adapter by which the Prometheus library reads a `MetricsRegistry`."""

    def __init__(self, metrics: MetricsRegistry):
        self.metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Return all metrics of the registry."""
        return self.metrics.metric_families()
