"""Choice of the checkpoint from which a task resumes.

Answers gangs whose members were started again with different checkpoints: a
member that was lost with its worker has an older one, or none.  The checkpoint
of any member is valid for the gang, and all members must carry the same.
"""

import collections

from turmerichall.queues import change as changes
from turmerichall.queues import job as job_records

__all__ = ["choose_checkpoint"]


def choose_checkpoint(job: job_records.Job, task: changes.TaskName) -> str:
    """Return the checkpoint for the next run of a task, or an empty string.

    The members of a gang that ended together hold the newest one, so the one
    that most members hold is taken.

    Args:
        job: The job of the task; its runs are not resumed once it has ended.
        task: The task.
    """
    if not job.open:
        return ""
    if not job.demand.steps[task.step].gang:
        return job.task(task).checkpoint
    members = job.steps(task.occurrence)[task.step].tasks
    held = collections.Counter(
        each.checkpoint for each in members if each.checkpoint
    )
    # Checkpoints have no order for the leader; the second part of the key only
    # makes the choice the same for all members.
    return max(held, key=lambda each: (held[each], each), default="")
