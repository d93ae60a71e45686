"""Jobs whose starts were committed, and of which no run is known to have begun.

Answers workers that refuse all starts: their jobs counted as begun, although
nothing had run.  `state.QueueState` keeps the set; it follows from the jobs.
"""

from collections.abc import Collection, Iterable

from turmerichall.queues import job as job_records

__all__ = ["OrderedJobs"]


class OrderedJobs:
    """The jobs of all queues that are ordered and not known to have begun.

    Attributes:
        runs: Number of current runs by id of the job, by key of the queue.
    """

    def __init__(self, jobs: Iterable[job_records.Job] = ()):
        self.runs: dict[str, dict[str, int]] = {}
        for job in jobs:
            if job.open and job.started and not job.begun:
                current = sum(1 for _ in job.runs())
                self.runs.setdefault(job.queue, {})[job.id] = current

    def of_queue(self, queue: str) -> Collection[str]:
        """Return the ids of the jobs of a queue."""
        return self.runs.get(queue, {}).keys()

    def record_start(self, job: job_records.Job) -> None:
        """Record the committed start of a run."""
        if not job.begun:
            runs = self.runs.setdefault(job.queue, {})
            runs[job.id] = runs.get(job.id, 0) + 1

    def record_unstarted(self, job: job_records.Job) -> bool:
        """Record a run that never began.

        Returns:
            Whether the job has no other run, so that nothing of it has begun.
        """
        runs = self.runs.get(job.queue, {})
        if job.id not in runs:
            return False
        runs[job.id] -= 1
        if runs[job.id] > 0:
            return False
        self.discard(job)
        return True

    def discard(self, job: job_records.Job) -> None:
        """Forget a job that has begun or ended, or waits again."""
        runs = self.runs.get(job.queue)
        if runs is not None and runs.pop(job.id, None) is not None and not runs:
            del self.runs[job.queue]
