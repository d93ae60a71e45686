"""What operators see of connections that gave way."""

from collections.abc import Callable
import time
from typing import Protocol

from turmerichall import outcomes
from turmerichall.intake import budget as budgets
from turmerichall.intake import limits as limits_module
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import logs
from turmerichall.telemetry import repeat_limit

__all__ = ["count_and_log", "count_refusals", "make_budget", "register"]


class Counters(Protocol):
    """Counters of refusals by part of the daemon and by reason."""

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Count a refusal."""


def make_budget(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    port: str,
    limits: limits_module.Limits,
) -> budgets.Budget:
    """Return the budget of a port, with its counter and gauges."""
    budget = budgets.Budget(limits, count_and_log(metrics_registry, port))
    register(metrics_registry, port, budget)
    return budget


def count_and_log(
    metrics_registry: lightweight_metrics.MetricsRegistry, port: str
) -> Callable[[budgets.Reason], None]:
    """Return a callback that counts all that give way and logs some of them.

    Args:
        metrics_registry: Receives the counter `connections_given_up`.
        port: Name of the port, a label of the counter.
    """
    limit = repeat_limit.RepeatLimit()

    def report(reason: budgets.Reason) -> None:
        metrics_registry.count(
            "connections_given_up", port=port, reason=reason.value
        )
        _log(limit, port, reason)

    return report


def count_refusals(
    counters: Counters, part: str
) -> Callable[[budgets.Reason], None]:
    """Return a callback that counts refusals and logs some of them.

    Args:
        counters: Counts them as overload.
        part: Part of the daemon, such as `gateway`.
    """
    limit = repeat_limit.RepeatLimit()

    def report(reason: budgets.Reason) -> None:
        if reason == budgets.Reason.IDLE:
            return
        counters.refused(part, outcomes.RefusalReason.OVERLOADED)
        _log(limit, part, reason)

    return report


def _log(
    limit: repeat_limit.RepeatLimit, port: str, reason: budgets.Reason
) -> None:
    times = limit.count(time.monotonic())
    if times:
        logs.Log("intake").warning(
            "connections gave way, or requests were refused for them",
            port=port,
            reason=reason.value,
            times=times,
        )


def register(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    port: str,
    budget: budgets.Budget,
) -> None:
    """Register the gauges of a port.

    Args:
        metrics_registry: Metrics of the process.
        port: Name of the port, a part of the gauges' names.
        budget: Budget of the port.
    """
    metrics_registry.add_gauge(
        f"{port}_connections",
        f"Number of open connections on the port {port}.",
        lambda: len(budget.holdings),
    )
    metrics_registry.add_gauge(
        f"{port}_held_bytes",
        f"Bytes of requests and responses in memory on the port {port}.",
        lambda: budget.size,
    )
