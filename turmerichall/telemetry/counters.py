"""Metrics of one daemon in the Prometheus format.

Counting adds to a plain mapping, which takes well under a microsecond; the
OpenTelemetry instruments read the mappings only when the metrics are collected.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from opentelemetry import metrics
from opentelemetry.exporter import prometheus as exporter
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from turmerichall import outcomes

__all__ = ["Counters", "GaugeValue", "LATENCY_BOUNDS_SECONDS"]

LATENCY_BOUNDS_SECONDS = (
    0.001,
    0.0025,
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
    30.0,
)

# Value of a gauge; if it has several, a mapping from the value of their label
# `of` to each.
GaugeValue = float | Mapping[str, float]


class Counters:
    """Counters, gauges and histograms of one daemon.

    Attributes:
        registry: Prometheus registry of all metrics, which include the
            processor time and memory of the process.
        meter: OpenTelemetry meter that creates the instruments.

    Examples:
        >>> counters = Counters()
        >>> counters.refused("gateway", outcomes.RefusalReason.DEADLINE)
        >>> counters.count_of(
        ...     "refusals", "gateway", outcomes.RefusalReason.DEADLINE
        ... )
        1
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        reader = exporter.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        prometheus_client.ProcessCollector(registry=self.registry)
        self._provider = sdk_metrics.MeterProvider([reader])
        self.meter = self._provider.get_meter("turmerichall")
        self._counts_by_reason: dict[str, Counter[tuple[str, str]]] = {}
        self._event_counts: Counter[str] = Counter()
        self._add_reason_counter("refusals", "Refusals, by part and reason.")
        self._add_reason_counter("retries", "Retries, by part and reason.")
        self._add_reason_counter(
            "unknown", "Unknown outcomes, by part and reason."
        )
        self.meter.create_observable_counter(
            "turmerichall_events",
            [self._observe_events],
            description="Events, by name.",
        )
        self._histograms: dict[str, metrics.Histogram] = {}

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Count a refusal by a part of the daemon, such as `gateway`."""
        self._counts_by_reason["refusals"][(part, reason)] += 1

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Count a retry by a part of the daemon, such as `gateway`."""
        self._counts_by_reason["retries"][(part, reason)] += 1

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Count an operation whose effect a part of the daemon can't tell."""
        self._counts_by_reason["unknown"][(part, reason)] += 1

    def event(self, name: str, times: int = 1) -> None:
        """Count an event, such as `requests_ran`."""
        self._event_counts[name] += times

    def count_of(self, kind: str, part: str, reason: str) -> int:
        """Return the value of a counter by part and reason.

        Args:
            kind: Name of the counter: `refusals`, `retries` or `unknown`.
            part: Part of the daemon that counted, such as `gateway`.
            reason: Reason of the refusals, retries or unknown outcomes.

        Returns:
            The count since the daemon started.
        """
        return self._counts_by_reason[kind][(part, reason)]

    def event_count(self, name: str) -> int:
        """Return the count of an event since the daemon started."""
        return self._event_counts[name]

    def gauge(
        self, name: str, description: str, read: Callable[[], GaugeValue]
    ) -> None:
        """Add a gauge, whose value is read when the metrics are collected.

        Args:
            name: Name without the prefix `turmerichall_`.
            description: Help text, with the unit.
            read: Returns the value; if there are several, a mapping from the
                value of their label `of` to each.
        """

        def observe(_: metrics.CallbackOptions) -> list[metrics.Observation]:
            gauge_value = read()
            if isinstance(gauge_value, Mapping):
                return [
                    metrics.Observation(value, {"of": key})
                    for key, value in gauge_value.items()
                ]
            return [metrics.Observation(gauge_value)]

        self.meter.create_observable_gauge(
            f"turmerichall_{name}", [observe], description=description
        )

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram, which is created on first use.

        Args:
            name: Name without the prefix `turmerichall_` and without unit.
            seconds: The duration, in seconds.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self.meter.create_histogram(
                f"turmerichall_{name}",
                unit="s",
                explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_SECONDS,
            )
            self._histograms[name] = histogram
        histogram.record(seconds)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _add_reason_counter(self, kind: str, description: str) -> None:
        counts: Counter[tuple[str, str]] = Counter()
        self._counts_by_reason[kind] = counts

        def observe(
            _: metrics.CallbackOptions,
        ) -> Iterable[metrics.Observation]:
            for (part, reason), count in counts.items():
                labels = {"part": part, "reason": str(reason)}
                yield metrics.Observation(count, labels)

        self.meter.create_observable_counter(
            f"turmerichall_{kind}", [observe], description=description
        )

    def _observe_events(
        self, _: metrics.CallbackOptions
    ) -> Iterable[metrics.Observation]:
        for name, count in self._event_counts.items():
            yield metrics.Observation(count, {"event": name})
