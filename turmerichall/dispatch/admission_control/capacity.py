"""Processors that jobs of a kind can have."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from turmerichall.dispatch import worker_state

__all__ = ["Capacity", "UnusableFree", "capacity"]

# Priority of queues whose tasks may stop long-running ones.
PREEMPTING_PRIORITY = 0
# Share of the processors of long-running tasks that urgent tasks are assumed to
# get by preemption.  Jobs may limit how many of their tasks pause at a time.
PREEMPTIBLE_SHARE = 0.5
# Number of observations in a row, at least 0.25 s apart, in which processors
# must have been free beside waiting tasks: placement runs every 0.25 s.
OBSERVATIONS = 3


class Capacity(NamedTuple):
    """Processors in cores.

    Attributes:
        rate: Those that tasks of the kind have now or can have.
        free: Those of them that no task has.
    """

    rate: float
    free: float


class UnusableFree:
    """Free processors that waiting tasks do not get.

    The rooms may be too small for a task, or best-effort tasks may slow
    long-running ones there.  What was free each time of late although tasks
    waited is not counted as capacity, since jobs that are predicted to be just
    on time would otherwise all be late.
    """

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque(
            maxlen=OBSERVATIONS
        )

    def record(self, free: float, ready_cores: float) -> float:
        """Record an observation; return the unusable processors in cores.

        Args:
            free: Processors that no task has.
            ready_cores: Processors of the tasks that wait.

        Examples:
            >>> unusable = UnusableFree()
            >>> [unusable.record(free, 50.0) for free in (40.0, 9.0, 8.0, 9.0)]
            [0.0, 0.0, 8.0, 8.0]
            >>> unusable.record(9.0, 0.0)
            0.0
        """
        if ready_cores <= free:
            self._latest.clear()
        else:
            self._latest.append(free)
        if len(self._latest) < OBSERVATIONS:
            return 0.0
        return min(self._latest)


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
