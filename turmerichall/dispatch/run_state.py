"""State of one run of a task, as known to the leader."""

import enum

from turmerichall.dispatch import crash_attribution
from turmerichall.dispatch import stragglers
from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records

__all__ = ["UNKNOWN_PACE", "Phase", "Run"]

UNKNOWN_PACE = -1
# Pace in percent up to which a run makes hardly any progress.
LOW_PACE_PERCENT = 40


class Phase(enum.Enum):
    """Phase of a run."""

    # The start is not committed yet.
    PLANNED = "planned"
    # The start is committed, but the worker has not confirmed it yet.
    ORDERED = "ordered"
    RUNNING = "running"


class Run:
    """One run of a task on a worker.

    All times are seconds on the steady clock, unless their name ends in `_ms`.

    Attributes:
        task: The task.
        number: Number of the run.
        step: The step of the task, with the resources that it requests.
        queue: Key of its queue.
        phase: Current phase.
        refused_after_ms: Time on the worker's clock after which the worker
            refuses a start that was sent; 0 if none was sent.
        adopted: Whether it was found in the replicated state when the leader's
            work began, so that an earlier try of its start may be under way.
        start_spawned: Whether a task of this term sends the start, or has done
            so.
        sent_at: Time at which its start was first sent in this term; 0 if no
            try of it can have reached the worker.
        confirmed_at: Time at which the worker first listed or confirmed the
            run; 0 before.
        stopping: Whether the run is to be stopped.
        forced: Whether the run was placed although it raises a tail latency too
            far, because no other task of its job was running.
        moved: Whether it is stopped in order to be moved to another worker.
        preempted: Whether it is stopped in order to give room to urgent tasks.
        pace_percent: Pace that was last set, or `UNKNOWN_PACE`.
        pace_told_at: Time at which the last answered order of a pace was sent.
        late_pace_until: Time until which an order of a pace that was not
            answered may still be carried out, also after newer ones.
        load: Latest measurement of the worker: tail latency in ms of a
            long-running task, processors in use in thousandths of a core of any
            other.
        progress_percent: Latest progress listed.
        initial_percent: Progress when the run was first listed; -1 before.
        progressed_at: Time at which the progress last grew.
        last_slowed_at: Time at which the run last had less than its full pace.
        last_unthrottled_at: Time at which the run last had more than a low
            pace.
        checkpoint: Latest saved progress listed.
        checkpoint_percent: Progress when that was first listed.
        suspected: Whether its task is suspected of the crash of a worker.
        on_trial: Whether nothing may be started beside it, until it has run for
            a while.
    """

    __slots__ = (
        "adopted",
        "checkpoint",
        "checkpoint_percent",
        "confirmed_at",
        "forced",
        "initial_percent",
        "last_slowed_at",
        "last_unthrottled_at",
        "late_pace_until",
        "load",
        "moved",
        "number",
        "on_trial",
        "pace_percent",
        "pace_told_at",
        "phase",
        "preempted",
        "progress_percent",
        "progressed_at",
        "queue",
        "refused_after_ms",
        "sent_at",
        "start_spawned",
        "step",
        "stopping",
        "suspected",
        "task",
    )

    def __init__(
        self,
        task: changes.TaskName,
        number: int,
        step: demands.StepDemand,
        queue: str,
    ):
        self.task = task
        self.number = number
        self.step = step
        self.queue = queue
        self.phase = Phase.PLANNED
        self.refused_after_ms = 0
        self.adopted = False
        self.start_spawned = False
        self.sent_at = 0.0
        self.confirmed_at = 0.0
        self.stopping = False
        self.moved = False
        self.preempted = False
        self.forced = False
        self.pace_percent = 100
        self.pace_told_at = 0.0
        self.late_pace_until = -float("inf")
        self.load = 0
        self.progress_percent = 0
        self.initial_percent = -1
        self.progressed_at = 0.0
        self.last_slowed_at = -float("inf")
        self.last_unthrottled_at = 0.0
        self.checkpoint = ""
        self.checkpoint_percent = 0
        self.suspected = False
        self.on_trial = False

    def record_progress(self, percent: int, now: float) -> None:
        """Record the progress that the worker lists.

        Args:
            percent: Progress in percent.
            now: Current time on the steady clock.
        """
        if self.initial_percent < 0:
            self.initial_percent = percent
        if percent > self.progress_percent or not self.progressed_at:
            self.progressed_at = now
        if self.pace_percent < 100 or self.late_pace_possible():
            self.last_slowed_at = now
        # An unknown pace is not taken for a low one: the run may be moved only
        # for what is known.
        is_low = 0 <= self.pace_percent <= LOW_PACE_PERCENT
        if not is_low or not self.last_unthrottled_at:
            self.last_unthrottled_at = now
        self.progress_percent = percent

    def record_checkpoint(self, checkpoint: str) -> None:
        """Record the saved progress that the worker lists."""
        if checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.checkpoint_percent = self.progress_percent

    def late_pace_possible(self) -> bool:
        """Return whether a late order may have changed the last pace set.

        It may until an order is answered that was sent when no earlier one
        could be carried out any more.
        """
        return self.pace_told_at <= self.late_pace_until

    def record_suspicion(self, task: job_records.TaskRecord) -> None:
        """Take over whether the task may have caused the crash of a worker."""
        self.suspected = task.suspected
        self.on_trial = task.on_trial

    def is_on_trial(self, now: float) -> bool:
        """Return whether nothing else may be started beside the run."""
        return self.on_trial and self.has_just_started(now)

    def has_just_started(self, now: float) -> bool:
        """Return whether the run has not been at work for a trial's time."""
        return self.seconds_at_work(now) <= crash_attribution.TRIAL_SECONDS

    def seconds_at_work(self, now: float) -> float:
        """Return for how long the run has been at work; 0 if not confirmed.

        Args:
            now: Time on the steady clock.
        """
        return max(now - self.confirmed_at, 0.0) if self.confirmed_at else 0.0

    def progress(self, now: float) -> stragglers.Progress:
        """Return the progress of the run at a time on the steady clock."""
        return stragglers.Progress(
            now - self.confirmed_at,
            self.progress_percent,
            max(self.initial_percent, 0),
            now - self.progressed_at,
            now - self.last_slowed_at,
            0.0 if self.forced else now - self.last_unthrottled_at,
            self.step.checkpoints,
        )

    def order(self) -> worker_client.Order:
        """Return an order that identifies the run, to stop or pace it."""
        return worker_client.Order(self.task, self.number)
