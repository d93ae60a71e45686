"""Processors that jobs of a kind can have."""

from collections.abc import Iterable
from typing import NamedTuple

from turmerichall.dispatch import worker_state

__all__ = ["Capacity", "capacity"]

# Priority of queues whose tasks may stop long-running ones.
PREEMPTING_PRIORITY = 0
# Share of the processors of long-running tasks that urgent tasks are assumed to
# get by preemption.  Jobs may limit how many of their tasks pause at a time.
PREEMPTIBLE_SHARE = 0.5


class Capacity(NamedTuple):
    """Processors in cores.

    Attributes:
        rate: Those that tasks of the kind have now or can have.
        free: Those of them that no task has.
    """

    rate: float
    free: float


def capacity(
    workers: Iterable[worker_state.Worker], best_effort: bool, priority: int
) -> Capacity:
    """Return the processors that tasks of a kind can have.

    Args:
        workers: The workers of the kind's service.
        best_effort: Whether the tasks are best-effort.
        priority: Priority of their queue.
    """
    rate = free = 0.0
    for worker in workers:
        if not worker.in_touch or worker.draining or worker.evacuated:
            continue
        rate += worker.obtainable_cpu(best_effort)
        if best_effort:
            free += max(worker.free_cpu(), 0.0)
            continue
        free += max(worker.capacity.cpu - worker.cpu_reserved, 0)
        if priority == PREEMPTING_PRIORITY:
            long_running = worker.cpu_reserved - worker.cpu_batch
            rate += PREEMPTIBLE_SHARE * max(long_running, 0)
    return Capacity(rate / 1000, free / 1000)
