"""Decision which jobs have begun, as far as the leader knows.

Answers starts that are refused or not answered: their jobs were neither counted
as pending nor shown as queued, although no worker had begun anything of them.

`leader_api.LeaderApi` asks for it.
"""

from collections.abc import Iterable

from turmerichall.dispatch import worker_state
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

__all__ = ["count_pending", "find_state", "has_begun"]


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
    queue: str,
    queue_state: states.QueueState,
    workers: Iterable[worker_state.Worker],
) -> int:
    """Return the number of jobs of a queue of which no task has begun.

    Args:
        queue: Key of the queue.
        queue_state: The replicated state.
        workers: All workers.
    """
    ordered = set(queue_state.ordered.of_queue(queue))
    if ordered:
        ordered -= {
            run.task.job
            for worker in workers
            for run in worker.runs.values()
            if run.confirmed_at
        }
    return len(queue_state.waiting.get(queue, ())) + len(ordered)


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
