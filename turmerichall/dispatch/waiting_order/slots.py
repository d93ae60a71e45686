"""Room for tasks on the workers of each service."""

from collections.abc import Iterable
import math
from typing import NamedTuple

from turmerichall.dispatch import worker_state
from turmerichall.queues import demand as demands

__all__ = ["Room", "ServiceSlots"]

# Time for which the counts are kept: room comes and goes with each task, and a
# batch task runs for about 2 s.
KEPT_SECONDS = 0.25


class Room(NamedTuple):
    """Room for the tasks of one step.

    Attributes:
        slots: How many tasks of the step run at the same time, at most.
        free: How many more can start now.
    """

    slots: float
    free: float


_UNLIMITED = Room(math.inf, math.inf)


class ServiceSlots:
    """Processors of the usable workers, counted from time to time."""

    def __init__(self) -> None:
        # Thousandths of a core that tasks can have, and those that are free, by
        # service and whether the tasks are best-effort.
        self._cpu: dict[tuple[str, bool], Room] = {}
        self._workers: dict[str, int] = {}
        self._counted_at = -math.inf

    def count(self, workers: Iterable[worker_state.Worker], now: float) -> None:
        """Count the processors, unless this was done lately.

        Args:
            workers: The workers of all services.
            now: Current time on the steady clock.
        """
        if now - self._counted_at < KEPT_SECONDS:
            return
        self._counted_at = now
        self._cpu.clear()
        self._workers.clear()
        for worker in workers:
            if worker.draining or worker.evacuated or not worker.in_touch:
                continue
            service = worker.record.service
            self._workers[service] = self._workers.get(service, 0) + 1
            self._add(
                (service, True), worker.cpu_best_effort, worker.free_cpu()
            )
            # Long-running tasks are stopped for others that can be on time, so
            # what they reserve counts as free.
            self._add(
                (service, False),
                worker.cpu_batch,
                worker.capacity.cpu - worker.cpu_batch,
            )

    def _add(self, key: tuple[str, bool], used: float, free: float) -> None:
        """Add the processors of a worker."""
        before = self._cpu.get(key, Room(0.0, 0.0))
        free = max(free, 0.0)
        self._cpu[key] = Room(before.slots + used + free, before.free + free)

    def room(self, service: str, step: demands.StepDemand) -> Room:
        """Return the room for the tasks of a step.

        It is unlimited if no worker of the service is usable, since a step then
        waits for workers and not for others of its tasks.
        """
        workers = self._workers.get(service, 0)
        if not workers or not step.cpu:
            return _UNLIMITED
        cpu = self._cpu[(service, step.fills)]
        limit = step.max_per_worker * workers or math.inf
        return Room(
            min(cpu.slots / step.cpu, limit), min(cpu.free / step.cpu, limit)
        )
