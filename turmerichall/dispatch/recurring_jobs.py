"""Recurring jobs, whose occurrences are added to the backlog when due."""

from turmerichall.dispatch import backlog as backlogs
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

__all__ = ["RecurringJobs"]


class RecurringJobs:
    """Recurring jobs with occurrences that are not due yet.

    Attributes:
        queue_state: The replicated state.
        backlog: Receives the occurrences that are due.
    """

    def __init__(
        self, queue_state: states.QueueState, backlog: backlogs.Backlog
    ):
        self.queue_state = queue_state
        self.backlog = backlog
        # Number of the next occurrence of each job, by id of the job.
        self._next: dict[str, int] = {}

    def add(self, job: job_records.Job, now_ms: int) -> None:
        """Add a job's due occurrences to the backlog; schedule the later ones.

        Args:
            job: The job.
            now_ms: Current time in ms since 1970.
        """
        begun = self.backlog.add_job(job, now_ms)
        if begun < job.demand.occurrences:
            self._next[job.id] = begun

    def drop(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._next.pop(job_id, None)

    def advance(self, now_ms: int) -> bool:
        """Add due occurrences to the backlog; return whether any were due."""
        found = False
        for job_id, occurrence in list(self._next.items()):
            job = self.queue_state.jobs[job_id]
            schedule = job.demand.schedule
            if schedule is None or not job.open:
                del self._next[job_id]
            elif schedule.due_at_ms(occurrence) <= now_ms and (
                backlogs.may_begin(job)
            ):
                self.backlog.add_occurrence(job, occurrence)
                self._next[job_id] = occurrence + 1
                if occurrence + 1 >= schedule.count:
                    del self._next[job_id]
                found = True
        return found
