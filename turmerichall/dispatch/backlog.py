"""Waiting tasks whose dependencies are done, grouped by step."""

from typing import NamedTuple

from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

__all__ = ["Backlog", "GroupName", "TaskGroup", "may_begin"]

# Time for which a task that urgent tasks preempted is not restarted: an urgent
# task runs for about a second, and others follow it.
PAUSE_SECONDS = 2.0


class GroupName(NamedTuple):
    """Name of a group: one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class TaskGroup:
    """Waiting tasks of one step.

    Attributes:
        name: Identifies the step.
        job: The job to which the step belongs.
        queue: The queue of the job, in its latest configuration.
        step: The step, with the resources that each task requests.
        waiting: Indices of the waiting tasks.
        critical_path_seconds: Estimated time of the job's longest chain of
            steps.
        began_at_ms: Time from which the age of the job counts, in ms since
            1970.
        avoided: Workers on which a task failed or from which it was moved, by
            index of the task.
        starved_since: Time on the steady clock since which no task found room
            while no other task of the job was running; infinite otherwise.
        waiting_since: Time on the steady clock since which a task has waited
            for room; infinite if none does.
        preempted: Times on the steady clock at which urgent tasks preempted
            waiting tasks, by index of the task.
        paused_until: Time on the steady clock until which no task is placed,
            because urgent tasks took the room of some.
        no_room_round: Number of the latest placing round that found no worker
            for the waiting tasks; 0 if there was room or a task was added.
        trial_name: What tasks that start together have in common, so that they
            count as one trial of a worker; None if each starts by itself.
    """

    __slots__ = (
        "avoided",
        "began_at_ms",
        "critical_path_seconds",
        "job",
        "name",
        "no_room_round",
        "paused_until",
        "preempted",
        "queue",
        "starved_since",
        "step",
        "trial_name",
        "waiting",
        "waiting_since",
    )

    def __init__(
        self,
        name: GroupName,
        job: job_records.Job,
        queue: configurations.Queue,
    ):
        self.name = name
        self.job = job
        self.queue = queue
        self.step: demands.StepDemand = job.demand.steps[name.step]
        starts_together = self.step.gang or self.step.same_rack
        self.trial_name = name if starts_together else None
        self.waiting: set[int] = set()
        self.critical_path_seconds = job.demand.critical_path_ms() / 1000
        self.began_at_ms = job.at_ms
        if job.demand.schedule is not None:
            self.began_at_ms = job.demand.schedule.due_at_ms(name.occurrence)
        self.avoided: dict[int, set[str]] = {}
        self.starved_since = float("inf")
        self.waiting_since = float("inf")
        self.preempted: dict[int, float] = {}
        self.paused_until = 0.0
        self.no_room_round = 0

    def preempted_seconds(self, now: float) -> float:
        """Return how long the first preempted task has waited; 0 if none."""
        return now - min(self.preempted.values(), default=now)

    def records(self) -> list[job_records.TaskRecord]:
        """Return the states of the step's tasks, by index."""
        return self.job.steps(self.name.occurrence)[self.name.step].tasks

    def siblings(self) -> dict[str, int]:
        """Return the number of running tasks of the step per worker, by id."""
        counts: dict[str, int] = {}
        for task in self.records():
            if task.worker:
                counts[task.worker] = counts.get(task.worker, 0) + 1
        return counts

    def task(self, index: int) -> changes.TaskName:
        """Return the name of the task of this step with a given index."""
        name = self.name
        return changes.TaskName(name.job, name.occurrence, name.step, index)


# Bounds on the unfinished occurrences of one job, and on their tasks, from
# which a further one waits although it is due.
MAX_OPEN_OCCURRENCES = 1000
MAX_OPEN_TASKS = 20_000


def may_begin(job: job_records.Job) -> bool:
    """Return whether one more occurrence of a job may be added."""
    unfinished = len(job.occurrences) - job.finished
    tasks = sum(step.count for step in job.demand.steps)
    return unfinished <= 0 or (
        unfinished < MAX_OPEN_OCCURRENCES
        and (unfinished + 1) * tasks <= MAX_OPEN_TASKS
    )


class Backlog:
    """All groups of waiting tasks.

    Attributes:
        queue_state: The replicated state.
        groups: Groups by name; a group has no waiting tasks while all tasks
            that are not done are running.
    """

    def __init__(self, queue_state: states.QueueState):
        self.queue_state = queue_state
        self.groups: dict[GroupName, TaskGroup] = {}

    def add_job(self, job: job_records.Job, now_ms: int) -> int:
        """Add those steps of due occurrences whose dependencies are done.

        Called when the job is accepted and when a leader's term begins.  Of a
        job with thousands of due occurrences, the first are added.

        Returns:
            The number of occurrences that are added.
        """
        schedule = job.demand.schedule
        for occurrence in range(job.demand.occurrences):
            if schedule and schedule.due_at_ms(occurrence) > now_ms:
                return occurrence
            if occurrence not in job.occurrences and not may_begin(job):
                return occurrence
            self.add_occurrence(job, occurrence)
        return job.demand.occurrences

    def add_occurrence(self, job: job_records.Job, occurrence: int) -> None:
        """Add those steps of an occurrence whose dependencies are done."""
        for step in range(len(job.demand.steps)):
            self.add_step(job, occurrence, step)

    def add_step(
        self, job: job_records.Job, occurrence: int, step: int
    ) -> None:
        """Add a step whose dependencies are done.

        Does nothing if the step is done or already added, or the job has ended.
        """
        name = GroupName(job.id, occurrence, step)
        queue = self.queue_state.queues.get(job.queue)
        if not job.open or name in self.groups or queue is None:
            return
        if not job.step_is_ready(occurrence, step):
            return
        progress = job.steps(occurrence)[step]
        if progress.done == len(progress.tasks):
            return
        group = TaskGroup(name, job, queue)
        group.waiting = {
            index
            for index, task in enumerate(progress.tasks)
            if not task.done and not task.worker
        }
        self.groups[name] = group

    def drop_job(self, job: str) -> None:
        """Remove all groups of a job that has ended."""
        for name in [name for name in self.groups if name.job == job]:
            del self.groups[name]

    def requeue(self, task: changes.TaskName, failed_on: str = "") -> None:
        """Add a task that must run again.

        Args:
            task: The task.
            failed_on: Id of the worker on which it failed or from which it was
                moved, to be avoided from now on; empty for none.
        """
        job = self.queue_state.jobs.get(task.job)
        if job is None or not job.open:
            return
        group = self.groups.get(GroupName(task.job, task.occurrence, task.step))
        if group is None:
            self.add_step(job, task.occurrence, task.step)
            return
        group.waiting.add(task.number)
        group.no_room_round = 0
        if failed_on:
            group.avoided.setdefault(task.number, set()).add(failed_on)

    def pause(self, task: changes.TaskName, now: float) -> None:
        """Delay the restart of a task that urgent tasks preempted.

        The room that it leaves then serves the urgent tasks that arrive next.
        Preemptions during a pause don't extend it.

        Args:
            task: The task, which is waiting.
            now: Current time on the steady clock.
        """
        group = self.groups.get(GroupName(task.job, task.occurrence, task.step))
        if group is None:
            return
        group.preempted[task.number] = now
        if now >= group.paused_until:
            group.paused_until = now + PAUSE_SECONDS

    def record_done(self, task: changes.TaskName) -> bool:
        """Record that a task is done; add the steps that this unblocks.

        Returns:
            Whether the whole step is done, or the job has ended.
        """
        job = self.queue_state.jobs.get(task.job)
        if job is None:
            return False
        if not job.open:
            return True
        name = GroupName(task.job, task.occurrence, task.step)
        progress = job.steps(task.occurrence)[task.step]
        if progress.done < len(progress.tasks):
            return False
        self.groups.pop(name, None)
        for number, step in enumerate(job.demand.steps):
            if task.step in step.after:
                self.add_step(job, task.occurrence, number)
        return True

    def ready(self) -> list[TaskGroup]:
        """Return the groups that have waiting tasks."""
        return [group for group in self.groups.values() if group.waiting]
