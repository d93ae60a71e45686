"""Bound on the number of registered workers.

Answers a writer that registers id after id at which nothing answers: each
takes memory on all replicas and polls of the leader.  At the bound, a new
worker takes the place of one that is silent, so that real workers always get
in.
"""

from collections.abc import Iterable
from typing import Protocol

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.retention import retention
from turmerichall.queues import forgetting
from turmerichall.telemetry import lightweight_metrics

__all__ = ["MAX_WORKERS", "Owner", "choose_replaced", "make_room"]

# The largest fleet that docs/CAPACITY.md works out has 790 workers.  A term
# that begins with 2,000 silent ones does not last on a busy machine.
MAX_WORKERS = 1_000


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    workers: dict[str, worker_state.Worker]
    metrics_registry: lightweight_metrics.MetricsRegistry
    retention: retention.Retention


def choose_replaced(
    workers: Iterable[worker_state.Worker], now: float
) -> worker_state.Worker | None:
    """Return the worker whose place a new one may take, if there is one.

    It is one that never answered this leader, or else the one that has been
    silent for longest.  Nothing can run on it.

    Args:
        workers: Registered workers, the earliest first.
        now: Current time on the steady clock.
    """
    idle = [each for each in workers if retention.is_idle(each, now)]
    return min(idle, key=lambda each: each.lost_at, default=None)


async def make_room(owner: Owner, most: int = MAX_WORKERS) -> bool:
    """Make room for a worker that registers; return whether there is any.

    Args:
        owner: The leader.
        most: Maximum number of registered workers.
    """
    if len(owner.workers) < most:
        return True
    replaced = None
    if owner.retention.options.may_forget():
        replaced = choose_replaced(
            owner.workers.values(), leases.steady_seconds()
        )
    if replaced is None:
        owner.metrics_registry.count("registrations_refused")
        return False
    await owner.retention.remove(
        forgetting.Forget(silent=(replaced.record.id,))
    )
    return True
