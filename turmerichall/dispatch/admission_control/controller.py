"""Interface of admission control, and the decision by the backlog alone."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from turmerichall import outcomes
from turmerichall.dispatch import admission
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import job_estimate as job_estimates
from turmerichall.dispatch import worker_state
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = ["AdmissionController", "BacklogController", "Submission"]


class Submission(NamedTuple):
    """A job that a caller submits.

    Attributes:
        job_id: Id of the job.
        queue: Its queue.
        demand: The job as its caller described it.
        caller_zone: Availability zone of the entry instance that received the
            call; empty if unknown.
    """

    job_id: str
    queue: configurations.Queue
    demand: demands.JobDemand
    caller_zone: str = ""


class AdmissionController(Protocol):
    """Decides which jobs are accepted."""

    def decide(
        self,
        submission: Submission,
        workers: Iterable[worker_state.Worker],
        now: float,
    ) -> outcomes.Refusal | None:
        """Return None to accept a job, or a refusal with its reason.

        Args:
            submission: The job.
            workers: The workers of all services.
            now: Current time on the steady clock.
        """


class BacklogController:
    """Admission by the waiting work as a whole; see `admission.admit`.

    Attributes:
        backlog: Waiting tasks.
        durations: Learned run times.
    """

    def __init__(
        self,
        backlog: backlogs.Backlog,
        durations: run_durations.DurationEstimator,
    ):
        self.backlog = backlog
        self.durations = durations

    def decide(
        self,
        submission: Submission,
        workers: Iterable[worker_state.Worker],
        now: float,
    ) -> outcomes.Refusal | None:
        """See `AdmissionController`."""
        del now
        return admission.admit(
            job_estimates.estimate_job(
                submission.job_id,
                submission.queue,
                submission.demand,
                workers,
                self.backlog,
                self.durations,
            )
        )
