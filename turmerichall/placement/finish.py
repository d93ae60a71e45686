"""Estimates when jobs finish."""

from turmerichall.customers import customer as customers
from turmerichall.placement import decisions
from turmerichall.placement import fleet as fleets
from turmerichall.placement import worker_state
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["FinishEstimator"]

MIN_MARGIN = 0.1
UNKNOWN_MARGIN = 0.5
WAITING_MARGIN = 0.6
# A task that is over its expected run time takes this share of it more.
OVERDUE_SHARE = 0.1
# Batch work holds at least this share of what services leave, once it waits.
MIN_RATE_SHARE = 0.25


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
        running = self._running_end(job_id, now)
        waiting_end = self._waiting_end(job_id, now)
        ends = [end for end in (running, waiting_end) if end is not None]
        at = max((end.at for end in ends), default=now)
        margin = max((end.margin_seconds for end in ends), default=0.0)
        return decisions.FinishEstimate(
            job_id, at, margin, running, waiting_end
        )

    def _running_end(
        self, job_id: str, now: float
    ) -> decisions.ExpectedEnd | None:
        running = self._running(job_id)
        if not running:
            return None
        is_one_of_several = len(running) > 1
        at = max(
            self._expected_end(allocation, is_one_of_several, now)
            for allocation in running
        )
        margins = [self._margin(allocation.task) for allocation in running]
        margin = max(MIN_MARGIN * (at - now), *margins)
        return decisions.ExpectedEnd(at, margin)

    def _running(self, job_id: str) -> list[worker_state.Allocation]:
        return [
            allocation
            for state in self.fleet.workers.values()
            for allocation in state.allocations.values()
            if views.job_of(allocation.task.task_id) == job_id
        ]

    def _expected_end(
        self,
        allocation: worker_state.Allocation,
        is_one_of_several: bool,
        now: float,
    ) -> float:
        """Estimates when a running task ends.

        The last of several tasks is late by about the usual error.
        """
        seconds = self.fleet.run_seconds(allocation.task)
        if not self._is_learnt(allocation.task):
            seconds *= max(1.0, allocation.slowdown)
        elif is_one_of_several:
            seconds *= 1 + self._error(allocation.task)
        started = allocation.decided_at
        if allocation.started_at is not None:
            started = allocation.started_at
        return max(started + seconds, now + OVERDUE_SHARE * seconds)

    def _waiting_end(
        self, job_id: str, now: float
    ) -> decisions.ExpectedEnd | None:
        """Estimates when the last waiting task ends.

        All that waits counts as before it: neither turns nor deadlines are
        kept so strictly that counting by them comes closer.
        """
        own = list(self.waiting.jobs.get(job_id, {}).values())
        if not own:
            return None
        ahead = sum(
            len(bucket.live) * self._bucket_work(bucket)
            for bucket in self.waiting.buckets.values()
            if _runs_before(bucket, own[0])
        )
        if not _is_urgent(own[0]):
            ahead += self._running_work(now)
        longest = max(self.fleet.run_seconds(task) for task in own)
        left = max(longest, ahead / self._rate() + longest / 2)
        return decisions.ExpectedEnd(now + left, WAITING_MARGIN * left)

    def _bucket_work(self, bucket: waiting.Bucket) -> float:
        head = bucket.head()
        return 0.0 if head is None else self._work(head)

    def _running_work(self, now: float) -> float:
        """Returns what running batch tasks still do, in processor seconds."""
        return sum(
            allocation.task.size.processors
            * (self._expected_end(allocation, False, now) - now)
            for state in self.fleet.workers.values()
            for allocation in state.allocations.values()
            if not allocation.task.service
        )

    def _rate(self) -> float:
        """Returns the processors that do batch work while tasks wait."""
        allocated = 0.0
        possible = 0.0
        for state in self.fleet.workers.values():
            allocated += sum(
                allocation.task.size.processors
                for allocation in state.allocations.values()
                if not allocation.task.service
            )
            if state.takes_work():
                room = state.view.capacity.processors
                possible += room - state.service_processors
        return max(allocated, MIN_RATE_SHARE * possible, 1.0)

    def _work(self, task: views.TaskView) -> float:
        return task.size.processors * self.fleet.run_seconds(task)

    def _is_learnt(self, task: views.TaskView) -> bool:
        seen = self.fleet.learnt.templates.get(task.template)
        return seen is not None and seen.runs > 0

    def _margin(self, task: views.TaskView) -> float:
        return self._error(task) * self.fleet.run_seconds(task)

    def _error(self, task: views.TaskView) -> float:
        seen = self.fleet.learnt.templates.get(task.template)
        return UNKNOWN_MARGIN if seen is None else seen.run_error


def _is_urgent(task: views.TaskView) -> bool:
    return task.urgency == customers.Urgency.URGENT


def _runs_before(bucket: waiting.Bucket, task: views.TaskView) -> bool:
    if not _is_urgent(task):
        return True
    return bucket.key.urgency == customers.Urgency.URGENT
