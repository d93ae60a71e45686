"""Workers on which a task is on trial, because it may crash them.

Nothing else is started beside such a task until it has run for a while; see
`crash_attribution`.
"""

from collections.abc import Iterable

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import crash_attribution
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.queues import job as job_records

__all__ = ["Trials"]


class Trials:
    """The trials of one placing round.

    Attributes:
        jobs: Ids of the jobs that have a task on trial, by id of the worker.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, str] = {}

    def begin_round(
        self, workers: Iterable[worker_state.Worker], now: float
    ) -> None:
        """Find the tasks on trial, also on workers out of touch.

        Args:
            workers: All workers.
            now: Current time on the steady clock.
        """
        before, self.jobs = self.jobs, {}
        for worker in workers:
            if worker.suspected_runs:
                self._update(worker, now)
            if not before:
                continue
            worker_id = worker.record.id
            if worker_id in before and worker_id not in self.jobs:
                # Tasks without room may fit now.
                worker.changed = True

    def record_change(
        self, worker: worker_state.Worker, run: run_state.Run, now: float
    ) -> None:
        """Record that a run was added to a worker, or removed from it."""
        if run.on_trial:
            self._update(worker, now)

    def _update(self, worker: worker_state.Worker, now: float) -> None:
        job = worker.job_on_trial(now)
        if job:
            self.jobs[worker.record.id] = job
        else:
            self.jobs.pop(worker.record.id, None)

    def allowed(
        self, workers: list[worker_state.Worker], job: str
    ) -> list[worker_state.Worker]:
        """Return the workers without a task on trial of another job."""
        if not self.jobs:
            return workers
        return [
            worker
            for worker in workers
            if self.jobs.get(worker.record.id, job) == job
        ]

    def must_wait(
        self, group: backlogs.TaskGroup, task: job_records.TaskRecord
    ) -> bool:
        """Return whether a task waits, because one of its job is on trial."""
        return (
            not group.step.gang
            and task.crashes + task.doubtful_crashes
            >= crash_attribution.SERIAL_TRIAL_CRASHES
            and group.job.id in self.jobs.values()
        )
