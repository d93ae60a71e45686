"""Number of tasks that the workers of each service run at the same time."""

from collections.abc import Iterable
import math

from turmerichall.dispatch import worker_state
from turmerichall.queues import demand as demands

__all__ = ["ServiceSlots"]

# Time for which the counts are kept; a worker more or less changes them by a
# small share.
KEPT_SECONDS = 1.0


class ServiceSlots:
    """Processors of the usable workers, counted from time to time."""

    def __init__(self) -> None:
        # Thousandths of a core that tasks can have, by service and whether they
        # are best-effort.
        self._cpu: dict[tuple[str, bool], float] = {}
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
            for best_effort in (False, True):
                key = (service, best_effort)
                cpu = worker.obtainable_cpu(best_effort)
                self._cpu[key] = self._cpu.get(key, 0.0) + cpu

    def slots(self, service: str, step: demands.StepDemand) -> float:
        """Return how many tasks of a step run at the same time.

        It is infinite if no worker of the service is usable, since a step then
        waits for workers and not for others of its tasks.
        """
        workers = self._workers.get(service, 0)
        if not workers or not step.cpu:
            return math.inf
        slots = self._cpu[(service, step.fills)] / step.cpu
        if step.max_per_worker:
            return min(slots, step.max_per_worker * workers)
        return slots
