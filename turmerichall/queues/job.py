"""Jobs of the replicated state, and the state of their tasks."""

import enum
from collections.abc import Iterator

import msgspec

from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

__all__ = ["Job", "JobState", "StepProgress", "TaskRecord"]


class JobState(enum.StrEnum):
    """State of a job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"


class TaskRecord(msgspec.Struct, array_like=True):
    """State of one task.

    Attributes:
        run: Number of its latest run; 0 if it never started.
        worker: Id of the worker of the current run; empty if there is none.
        failures: Number of runs that failed.
        done: Whether a run completed the task.
        checkpoint: Saved progress from which the next run resumes, or empty.
        crashes: Number of crashes of workers with which it is charged.
        on_trial: Whether nothing is to be started beside its next runs, until
            they have run for a while.
        doubtful_crashes: Number of crashes during which it may have run, or
            not.
    """

    run: int = 0
    worker: str = ""
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    crashes: int = 0
    on_trial: bool = False
    doubtful_crashes: int = 0

    @property
    def suspected(self) -> bool:
        """Whether it may have caused the crash of a worker."""
        return bool(self.crashes or self.doubtful_crashes or self.on_trial)


class StepProgress(msgspec.Struct, array_like=True):
    """State of one step in one occurrence of its job.

    Attributes:
        tasks: The tasks by index.
        done: Number of tasks that are done.
        failed_runs: Number of runs of a gang in which a member failed.
        latest_failed_run: Number of the latest of these runs.
    """

    tasks: list[TaskRecord]
    done: int = 0
    failed_runs: int = 0
    latest_failed_run: int = 0

    def record_failure(self, task: TaskRecord, gang: bool) -> int:
        """Record that the current run of a task failed.

        Args:
            task: The task.
            gang: Whether the tasks are a gang, which fails as a whole.

        Returns:
            How often the task, or its gang, has failed.
        """
        task.failures += 1
        if not gang:
            return task.failures
        if task.run != self.latest_failed_run:
            self.latest_failed_run = task.run
            self.failed_runs += 1
        return self.failed_runs


class Job(msgspec.Struct, array_like=True):
    """A job that was accepted.

    Attributes:
        id: Id of the job.
        queue: Key of its queue.
        demand: The job as its caller described it.
        at_ms: Time of acceptance in ms since 1970.
        state: Current state.
        started: Whether the start of any task was committed, and was not found
            to have come to nothing.
        occurrences: State of each step, by occurrence.
        finished: Number of occurrences of which every step is done.
        begun: Whether a run of any task may have begun and has ended.
    """

    id: str
    queue: str
    demand: demands.JobDemand
    at_ms: int
    state: JobState = JobState.QUEUED
    started: bool = False
    occurrences: dict[int, list[StepProgress]] = {}
    finished: int = 0
    begun: bool = False

    @property
    def open(self) -> bool:
        """Whether tasks of the job may still start."""
        return self.state in (JobState.QUEUED, JobState.ACTIVE)

    def steps(self, occurrence: int) -> list[StepProgress]:
        """Return the states of an occurrence's steps; create them if needed."""
        found = self.occurrences.get(occurrence)
        if found is None:
            found = [
                StepProgress([TaskRecord() for _ in range(step.count)])
                for step in self.demand.steps
            ]
            self.occurrences[occurrence] = found
        return found

    def task(self, name: changes.TaskName) -> TaskRecord:
        """Return the state of one of the job's tasks."""
        steps = self.steps(name.occurrence)
        return steps[name.step].tasks[name.number]

    def step_is_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps on which a step depends are done."""
        steps = self.steps(occurrence)
        return all(
            steps[other].done == len(steps[other].tasks)
            for other in self.demand.steps[step].after
        )

    def runs(self) -> Iterator[tuple[changes.TaskName, TaskRecord]]:
        """Iterate over the tasks that have a current run."""
        for occurrence, steps in self.occurrences.items():
            for number, step in enumerate(steps):
                for index, task in enumerate(step.tasks):
                    if task.worker:
                        name = changes.TaskName(
                            self.id, occurrence, number, index
                        )
                        yield name, task
