"""Decision which jobs have begun, as far as the leader knows.

Answers starts that are refused or not answered: their jobs were neither counted
as pending nor shown as queued, although no worker had begun anything of them.

`leader_api.LeaderApi` asks for it.
"""

from collections.abc import Iterable

from turmerichall.dispatch import worker_state
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

__all__ = ["BegunJobs", "count_pending", "find_state", "has_begun"]

# Age up to which a look at the runs is used again.  A count of pending jobs may
# be 2 s old when its caller gets it.
MAX_AGE_SECONDS = 0.5


class BegunJobs:
    """The jobs of which a worker has confirmed a run, as of a recent look.

    Answers callers that ask for counts many times a second, each of which would
    be a look at all runs of all workers.  A job that has begun stays so, thus
    an earlier look can only leave out some.
    """

    def __init__(self) -> None:
        self._jobs: set[str] = set()
        self._looked_at = -float("inf")

    def find(
        self, workers: Iterable[worker_state.Worker], now: float
    ) -> set[str]:
        """Return the ids of the jobs.

        Args:
            workers: All workers.
            now: Current time, in seconds of a steady clock.
        """
        if now - self._looked_at > MAX_AGE_SECONDS:
            self._looked_at = now
            self._jobs = {
                run.task.job
                for worker in workers
                for run in worker.runs.values()
                if run.confirmed_at
            }
        return self._jobs


def has_begun(job: str, workers: Iterable[worker_state.Worker]) -> bool:
    """Return whether a worker has confirmed or listed a run of a job.

    Args:
        job: Id of the job.
        workers: All workers.
    """
    return any(
        run.confirmed_at
        for worker in workers
        if job in worker.runs_by_job
        for run in worker.runs.values()
        if run.task.job == job
    )


def count_pending(
    queue: str, queue_state: states.QueueState, begun: set[str]
) -> int:
    """Return the number of jobs of a queue of which no task has begun.

    Args:
        queue: Key of the queue.
        queue_state: The replicated state.
        begun: Ids of jobs that have begun; see `BegunJobs`.
    """
    ordered = sum(
        job not in begun for job in queue_state.ordered.of_queue(queue)
    )
    return len(queue_state.waiting.get(queue, ())) + ordered


def find_state(
    job: job_records.Job,
    queue_state: states.QueueState,
    workers: Iterable[worker_state.Worker],
) -> job_records.JobState:
    """Return the state of a job that callers are shown."""
    is_ordered = job.id in queue_state.ordered.of_queue(job.queue)
    if is_ordered and not has_begun(job.id, workers):
        return job_records.JobState.QUEUED
    return job.state
