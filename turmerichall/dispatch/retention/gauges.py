"""Gauges of what the replicated state holds."""

from turmerichall.dispatch.retention import memory_pressure
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["register"]


def register(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    queue_state: states.QueueState,
    memory_bytes: int,
) -> None:
    """Register the gauges of a replica.

    Args:
        metrics_registry: Metrics of the process.
        queue_state: The replicated state.
        memory_bytes: Memory that the process may use; 0 if unknown.
    """
    add_gauge = metrics_registry.add_gauge
    add_gauge(
        "state_jobs",
        "Number of jobs in the replicated state.",
        lambda: len(queue_state.jobs),
    )
    add_gauge(
        "state_jobs_bytes",
        "Estimated memory of these jobs, in bytes.",
        lambda: queue_state.jobs_bytes,
    )
    add_gauge(
        "state_workers",
        "Number of registered workers.",
        lambda: len(queue_state.workers),
    )
    add_gauge(
        "state_workers_gone",
        "Number of removed workers whose ids are still known.",
        lambda: len(queue_state.gone),
    )
    add_gauge(
        "state_withdrawn_jobs",
        "Number of unknown jobs whose cancellation is kept.",
        lambda: len(queue_state.withdrawn),
    )
    add_gauge(
        "state_memory_pressure",
        "0 if there is memory for jobs, 1 if it fills up, 2 if almost full.",
        lambda: memory_pressure.level(queue_state.jobs_bytes, memory_bytes),
    )
