"""Jobs as their callers described them."""

import msgspec

__all__ = ["JobDemand", "MAX_SPEC_BYTES", "Schedule", "StepDemand"]

# Maximum size of the text of a job that the platform admits.
MAX_SPEC_BYTES = 4096


class StepDemand(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        cpu: Processors that each task requests, in thousandths of a core.
        memory_mb: Memory that each task requests, in MB.
        gpu: Accelerators that each task requests.
        estimate_ms: The caller's rough estimate of a task's duration.
        after: Numbers of earlier steps whose tasks must all be done first.
        checkpoints: Whether tasks save checkpoints of their progress.
        gang: Whether the tasks must run at the same time (gang scheduling).
        same_rack: Whether tasks are slow if spread over more than one rack.
        required_label: Label that a worker must have, or empty.
        data_rack: Rack that holds the data, or empty; tasks are slow elsewhere.
        max_per_worker: Maximum number of tasks on one worker; 0 for no limit.
        speculative: Whether several copies of a task may run at the same time.
        lasting: Whether tasks are long-running: they run until the job is
            cancelled.
        image: Program that the tasks run; tasks of one image behave alike.
        target_ms: Target for the tail latency of long-running tasks; 0 for
            none.
        fills: Whether tasks are best-effort: they use the processors that
            others leave unused, and don't count against a worker's capacity.
        max_unavailable: Maximum number of long-running tasks that the
            scheduler may make unavailable at the same time; -1 for no limit.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = -1


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """Times at which a recurring job runs.

    Attributes:
        first_at_ms: Time of the first occurrence in ms since 1970.
        interval_ms: Time between two occurrences.
        count: Number of occurrences.
    """

    first_at_ms: int
    interval_ms: int
    count: int

    def due_at_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence in ms since 1970."""
        return self.first_at_ms + occurrence * self.interval_ms


class JobDemand(msgspec.Struct, frozen=True, array_like=True):
    """A job as its caller described it.

    Attributes:
        spec: Text that is passed to every task.
        steps: The steps, each after all steps on which it depends.
        schedule: Schedule of a recurring job; None for a job that runs once.
    """

    spec: str
    steps: tuple[StepDemand, ...]
    schedule: Schedule | None = None

    @property
    def lasting(self) -> bool:
        """Whether any step is long-running."""
        return any(step.lasting for step in self.steps)

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule else 1

    def critical_path_ms(self) -> int:
        """Return the estimated time of the longest chain of steps, in ms.

        Examples:
            >>> steps = (StepDemand(1, estimate_ms=5),
            ...          StepDemand(1, estimate_ms=7, after=(0,)))
            >>> JobDemand("", steps).critical_path_ms()
            12
        """
        ends: list[int] = []
        for step in self.steps:
            begins = max((ends[other] for other in step.after), default=0)
            ends.append(begins + step.estimate_ms)
        return max(ends, default=0)
