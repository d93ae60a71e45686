"""Decision which runs of a removed worker have to be started again.

Answers ends `done` that are committed just before the removal of their worker,
and whose runs the leader still counts: their tasks were started again.
"""

from collections.abc import Mapping

from turmerichall.queues import change as changes
from turmerichall.queues import job as job_records

__all__ = ["is_done"]


def is_done(
    task: changes.TaskName, jobs: Mapping[str, job_records.Job]
) -> bool:
    """Return whether a task is done according to the replicated state.

    Args:
        task: The task of a run that was lost.
        jobs: Jobs by id.

    Examples:
        >>> is_done(changes.TaskName("5c0e", 0, 0, 3), {})
        False
    """
    job = jobs.get(task.job)
    return job is not None and job.open and job.task(task).done
