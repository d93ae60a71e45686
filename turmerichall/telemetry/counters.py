"""Metrics of one daemon, readable by Prometheus.

Counting adds to a plain mapping, which costs well under a microsecond; the
OpenTelemetry instruments read the mappings only when the metrics are
collected.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from opentelemetry import metrics
from opentelemetry.exporter import prometheus as exporter
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from turmerichall import outcomes

__all__ = ["Counters", "LATENCY_BOUNDS_SECONDS", "Reading"]

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

# A value, or values by the label `of`.
Reading = float | Mapping[str, float]


class Counters:
    """Counters, gauges and histograms of one daemon.

    Attributes:
        registry: What the Prometheus text is made from; it also holds the
            processor time and memory of the process.
        meter: Makes further instruments.

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
        self._reasons: dict[str, Counter[tuple[str, str]]] = {}
        self._events: Counter[str] = Counter()
        self._add_reasons("refusals", "Refusals, by part and reason.")
        self._add_reasons("retries", "Retries, by part and reason.")
        self._add_reasons("unknown", "Unknown outcomes, by part and reason.")
        self.meter.create_observable_counter(
            "turmerichall_events",
            [self._observe_events],
            description="Events, by name.",
        )
        self._histograms: dict[str, metrics.Histogram] = {}

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Counts a refusal."""
        self._reasons["refusals"][(part, reason)] += 1

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Counts a retry."""
        self._reasons["retries"][(part, reason)] += 1

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Counts an outcome that is not known."""
        self._reasons["unknown"][(part, reason)] += 1

    def event(self, name: str, times: int = 1) -> None:
        """Counts an event, such as `requests_ran`."""
        self._events[name] += times

    def count_of(self, kind: str, part: str, reason: str) -> int:
        """Returns how often something was counted.

        Args:
            kind: `refusals`, `retries` or `unknown`.
            part: The part that counted.
            reason: The counted reason.

        Returns:
            The count since the daemon started.
        """
        return self._reasons[kind][(part, reason)]

    def event_count(self, name: str) -> int:
        """Returns how often an event was counted."""
        return self._events[name]

    def gauge(
        self, name: str, description: str, read: Callable[[], Reading]
    ) -> None:
        """Adds a gauge that is read when the metrics are collected.

        Args:
            name: Name without the `turmerichall_` in front.
            description: What it is, with its unit.
            read: Returns the value, or values by the label `of`.
        """

        def observe(_: metrics.CallbackOptions) -> list[metrics.Observation]:
            reading = read()
            if isinstance(reading, Mapping):
                return [
                    metrics.Observation(value, {"of": key})
                    for key, value in reading.items()
                ]
            return [metrics.Observation(reading)]

        self.meter.create_observable_gauge(
            f"turmerichall_{name}", [observe], description=description
        )

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram, made on first use.

        Args:
            name: Name without the `turmerichall_` in front and without unit.
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
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _add_reasons(self, kind: str, description: str) -> None:
        counts: Counter[tuple[str, str]] = Counter()
        self._reasons[kind] = counts

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
        for name, count in self._events.items():
            yield metrics.Observation(count, {"event": name})
