"""A job as its caller described it."""

import msgspec

__all__ = ["JobDemand", "Schedule", "StepDemand"]


class StepDemand(msgspec.Struct, frozen=True, array_like=True):
    """One step: tasks that are alike.

    Attributes:
        count: Number of tasks.
        cpu: Thousandths of a core that each asks for.
        memory_mb: Memory that each asks for.
        gpu: Accelerators that each asks for.
        estimate_ms: Rough estimate of a task's duration.
        after: Numbers of earlier steps whose tasks must all be done first.
        checkpoints: Whether tasks save their progress.
        gang: Whether tasks work only all together.
        same_rack: Whether tasks are slow on more than one rack.
        required_label: Label that a worker must have, or empty.
        data_rack: Rack of the data, or empty; slow on any other.
        max_per_worker: Tasks on one worker at most; 0 for any number.
        speculative: Whether copies may run at the same time.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run; those of one image behave alike.
        target_ms: Bound on the tail latency of lasting tasks; 0 for none.
        fills: Whether tasks take the processors that others leave unused, and
            don't count against a worker's capacity.
        max_unavailable: Lasting tasks that our orders may make unavailable at
            the same time; -1 for no bound.
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
    """When the steps of a job run again.

    Attributes:
        first_at_ms: When the first occurrence is due, since 1970.
        interval_ms: Between two occurrences.
        count: Number of occurrences.
    """

    first_at_ms: int
    interval_ms: int
    count: int

    def due_at_ms(self, occurrence: int) -> int:
        """Returns when an occurrence is due, since 1970."""
        return self.first_at_ms + occurrence * self.interval_ms


class JobDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a caller asked for.

    Attributes:
        spec: Text that every task receives.
        steps: The steps.
        schedule: Set if the steps run at set times.
    """

    spec: str
    steps: tuple[StepDemand, ...]
    schedule: Schedule | None = None

    @property
    def lasting(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return self.schedule.count if self.schedule else 1

    def critical_path_ms(self) -> int:
        """Returns the estimated time of the longest chain of steps.

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
