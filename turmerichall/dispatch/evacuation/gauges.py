"""Gauges of the evacuation of availability zones."""

from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["register"]


def register(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    queue_state: states.QueueState,
) -> None:
    """Register the gauges of a replica.

    Args:
        metrics_registry: Metrics of the process.
        queue_state: The replicated state.
    """
    metrics_registry.add_gauge(
        "zones_evacuated",
        "Number of availability zones in evacuation.",
        lambda: len(queue_state.evacuations),
    )
    metrics_registry.add_gauge(
        "workers_evacuated",
        "Number of workers in zones in evacuation.",
        lambda: sum(
            worker.zone in queue_state.evacuations
            for worker in queue_state.workers.values()
        ),
    )
