"""Counters of refusals, retries and unknown outcomes in lightweight metrics."""

from turmerichall import outcomes
from turmerichall.telemetry import lightweight_metrics

__all__ = ["LightweightCounters"]


class LightweightCounters:
    """Implementation of `peers.link.Counters` over a `MetricsRegistry`.

    Attributes:
        metrics_registry: Holds the counters.

    Examples:
        >>> metrics = lightweight_metrics.MetricsRegistry()
        >>> counters = LightweightCounters(metrics)
        >>> counters.refused("peers", outcomes.RefusalReason.TIMEOUT)
        >>> b'refusals_total{part="peers",reason="timeout"}' in (
        ...     metrics.exposition()
        ... )
        True
    """

    def __init__(self, metrics_registry: lightweight_metrics.MetricsRegistry):
        self.metrics_registry = metrics_registry

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Count a refusal."""
        self.metrics_registry.count("refusals", part=part, reason=reason.value)

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Count a retry."""
        self.metrics_registry.count("retries", part=part, reason=reason.value)

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Count a request that may or may not have taken effect."""
        self.metrics_registry.count("unknown", part=part, reason=reason.value)
