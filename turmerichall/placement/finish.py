"""Estimates of the time at which jobs finish."""

from turmerichall.customers import customer as customers
from turmerichall.placement import decisions
from turmerichall.placement import fleet as fleets
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import worker_state

__all__ = ["FinishEstimator"]

MIN_MARGIN = 0.1
UNKNOWN_MARGIN = 0.5
WAITING_MARGIN = 0.6
# A task that has run longer than expected is taken to need this share of its
# expected run time from now on.
OVERDUE_SHARE = 0.1
# While tasks wait, batch tasks are taken to use at least this share of the
# processors that are not allocated to services.
MIN_RATE_SHARE = 0.25


class FinishEstimator:
    """Estimator of when jobs finish, from their running and waiting tasks.

    Attributes:
        fleet: State of the workers and the learnt run times.
        waiting: The waiting tasks.
    """

    def __init__(
        self, fleet: fleets.Fleet, queue: waiting.WaitingTasks
    ) -> None:
        self.fleet = fleet
        self.waiting = queue

    def estimate(self, job_id: str, now: float) -> decisions.FinishEstimate:
        """Estimate when the last task of a job finishes.

        Args:
            job_id: Id of a job with running or waiting tasks.
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
            if views.job_id_of(allocation.task.task_id) == job_id
        ]

    def _expected_end(
        self,
        allocation: worker_state.Allocation,
        is_one_of_several: bool,
        now: float,
    ) -> float:
        """Estimate when a running task ends.

        If several tasks of its job are running, the usual error of the learnt
        run time is added, because the last of them probably exceeds that time.
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
        """Estimate when the last waiting task of a job ends.

        For jobs that are not urgent, all waiting and running batch work is
        assumed to run before it: tasks are not started strictly enough in the
        order of priority and deadline for these to improve the estimate.
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
        """Return the work left in running batch tasks, in processor seconds."""
        return sum(
            allocation.task.size.processors
            * (self._expected_end(allocation, False, now) - now)
            for state in self.fleet.workers.values()
            for allocation in state.allocations.values()
            if not allocation.task.service
        )

    def _rate(self) -> float:
        """Return how many processors do batch work while batch tasks wait."""
        allocated = 0.0
        possible = 0.0
        for state in self.fleet.workers.values():
            allocated += sum(
                allocation.task.size.processors
                for allocation in state.allocations.values()
                if not allocation.task.service
            )
            if state.takes_work():
                processors = state.view.capacity.processors
                possible += processors - state.service_processors
        return max(allocated, MIN_RATE_SHARE * possible, 1.0)

    def _work(self, task: views.TaskView) -> float:
        return task.size.processors * self.fleet.run_seconds(task)

    def _is_learnt(self, task: views.TaskView) -> bool:
        stats = self.fleet.learnt.templates.get(task.template)
        return stats is not None and stats.runs > 0

    def _margin(self, task: views.TaskView) -> float:
        return self._error(task) * self.fleet.run_seconds(task)

    def _error(self, task: views.TaskView) -> float:
        stats = self.fleet.learnt.templates.get(task.template)
        return UNKNOWN_MARGIN if stats is None else stats.run_error


def _is_urgent(task: views.TaskView) -> bool:
    return task.urgency == customers.Urgency.URGENT


def _runs_before(bucket: waiting.Bucket, task: views.TaskView) -> bool:
    if not _is_urgent(task):
        return True
    return bucket.key.urgency == customers.Urgency.URGENT
