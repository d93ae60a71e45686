"""Registered workers that can't be called.

Earlier releases registered workers at any address, so the log or a snapshot may
hold such records.  They are the same on each replica.  Their sessions find them
silent, which ends their runs with the lease; then they are removed through the
log.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

import trio

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import worker_check
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Owner", "Quarantine", "QuarantinedWorker", "may_remove"]

CHECK_SECONDS = 0.5
MAX_ADDRESS_CHARS = 100


class QuarantinedWorker(NamedTuple):
    """A worker that can't be called.

    Attributes:
        worker: The worker.
        reason: Why it can't be called.
    """

    worker: worker_state.Worker
    reason: str


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    log: link.Log
    metrics_registry: lightweight_metrics.MetricsRegistry
    workers: dict[str, worker_state.Worker]

    async def remove_unusable(self, worker: worker_state.Worker) -> None:
        """Remove a worker that has no runs, through the log."""


def find(workers: Iterable[worker_state.Worker]) -> list[QuarantinedWorker]:
    """Return the workers that can't be called."""
    found = [
        QuarantinedWorker(each, worker_check.reason_unusable(each.record))
        for each in workers
    ]
    return [each for each in found if each.reason]


def may_remove(worker: worker_state.Worker, now: float) -> bool:
    """Return whether nothing is lost by the removal of a worker.

    Args:
        worker: The worker.
        now: Current time on the steady clock.
    """
    return not worker.runs and worker.lease.has_expired(now)


class Quarantine:
    """The workers of one term that can't be called.

    Attributes:
        owner: The leader.
        workers: The workers that are not removed yet.
    """

    def __init__(self, owner: Owner):
        self.owner = owner
        self.workers: list[QuarantinedWorker] = []
        owner.metrics_registry.add_gauge(
            "workers_quarantined",
            "Registered workers that can't be called.",
            lambda: len(self.workers),
        )

    async def run(self) -> None:
        """Report the workers, and remove each once nothing is lost by it."""
        self.workers = find(self.owner.workers.values())
        for worker, reason in self.workers:
            self.owner.log.warning(
                "registered worker can't be used",
                worker=worker.record.id[:MAX_ADDRESS_CHARS],
                address=worker.record.address[:MAX_ADDRESS_CHARS],
                reason=reason,
                runs=len(worker.runs),
            )
        try:
            while self.workers:
                await trio.sleep(CHECK_SECONDS)
                await self._remove()
        finally:
            self.workers = []

    async def _remove(self) -> None:
        for each in list(self.workers):
            if may_remove(each.worker, leases.steady_seconds()):
                await self.owner.remove_unusable(each.worker)
                self.workers.remove(each)
