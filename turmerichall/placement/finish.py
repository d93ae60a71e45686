"""Estimates when jobs finish."""

from turmerichall.placement import decisions
from turmerichall.placement import fleet as fleets
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["FinishEstimator"]

MIN_MARGIN = 0.1


class FinishEstimator:
    """Estimates from what runs and from the work that waits before a job.

    Attributes:
        fleet: The workers and the learnt run times.
        waiting: The waiting tasks.
    """

    def __init__(
        self, fleet: fleets.Fleet, queue: waiting.WaitingTasks
    ) -> None:
        self.fleet = fleet
        self.waiting = queue

    def estimate(self, job_id: str, now: float) -> decisions.FinishEstimate:
        """Estimates when the last task of a job finishes.

        Args:
            job_id: The job, of which tasks run or wait.
            now: The caller's monotonic clock, in seconds.
        """
        last = now
        error = MIN_MARGIN
        for known in self.fleet.workers.values():
            for held in known.held.values():
                if views.job_of(held.task.task_id) != job_id:
                    continue
                started = held.decided_at
                if held.started_at is not None:
                    started = held.started_at
                end = started + self.fleet.run_seconds(held.task)
                last = max(last, end)
                error = max(error, self._error(held.task))
        last = max(last, self._waiting_end(job_id, now))
        return decisions.FinishEstimate(job_id, last, error * (last - now))

    def _waiting_end(self, job_id: str, now: float) -> float:
        own = list(self.waiting.jobs.get(job_id, {}).values())
        if not own:
            return now
        deadline = max(task.deadline_wall_seconds for task in own)
        ahead = 0.0
        for bucket in self.waiting.buckets.values():
            head = bucket.head()
            if head is not None and head.deadline_wall_seconds <= deadline:
                ahead += len(bucket.live) * self._work(head)
        running = sum(
            self._work(held.task) / 2
            for known in self.fleet.workers.values()
            for held in known.held.values()
            if not held.task.service
        )
        rate = max(self._batch_processors(), 1.0)
        wait = (ahead + running) / rate
        longest = max(self.fleet.run_seconds(task) for task in own)
        return now + max(wait, longest)

    def _work(self, task: views.TaskView) -> float:
        return task.size.processors * self.fleet.run_seconds(task)

    def _batch_processors(self) -> float:
        return sum(
            known.view.capacity.processors - known.service_processors
            for known in self.fleet.workers.values()
            if known.takes_work()
        )

    def _error(self, task: views.TaskView) -> float:
        seen = self.fleet.learnt.templates.get(task.template)
        return 0.5 if seen is None else seen.run_error
