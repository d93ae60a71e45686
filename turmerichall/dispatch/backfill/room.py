"""Room on a worker, now and as its runs end.

A worker has two kinds of processors: those that no task has requested, which
urgent and long-running tasks need, and those that are estimated to be unused,
which best-effort tasks need.
"""

from typing import NamedTuple

from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.queues import demand as demands

__all__ = ["NONE", "Profile", "Room", "free_room", "need", "use"]

# Expected time until a run that is being stopped has ended; 0.2 to 0.9 s were
# measured (docs/design/scale.md).
STOP_SECONDS = 0.5
# Minimum remaining time of a run, and as a share of its age.  Otherwise,
# reservations stay with runs that outlive forecasts without a correction.
MIN_REMAINING_SECONDS = 0.05
MIN_REMAINING_SHARE = 0.25


class Room(NamedTuple):
    """Resources of a worker, or of a task on it.

    Attributes:
        cpu: Processors that no task requests, in thousandths of a core.
        unused_cpu: Processors that are estimated to be unused.
        memory_mb: Memory in MB.
        gpu: Accelerators.
    """

    cpu: float
    unused_cpu: float
    memory_mb: float
    gpu: float

    def plus(self, other: "Room") -> "Room":
        """Return the sum of both."""
        return Room(
            self.cpu + other.cpu,
            self.unused_cpu + other.unused_cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: "Room") -> "Room":
        """Return the difference of both."""
        return Room(
            self.cpu - other.cpu,
            self.unused_cpu - other.unused_cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )

    def covers(self, needed: "Room") -> bool:
        """Return whether a need fits; what isn't needed may be overdrawn.

        Examples:
            >>> Room(-5, 2000, 100, 0).covers(Room(0, 1800, 100, 0))
            True
        """
        return (
            (self.cpu >= needed.cpu or needed.cpu <= 0)
            and (self.unused_cpu >= needed.unused_cpu or needed.unused_cpu <= 0)
            and (self.memory_mb >= needed.memory_mb or needed.memory_mb <= 0)
            and (self.gpu >= needed.gpu or needed.gpu <= 0)
        )


NONE = Room(0, 0, 0, 0)


def need(step: demands.StepDemand) -> Room:
    """Return the room that must be free for a task to start."""
    if step.fills:
        return Room(0, step.cpu, step.memory_mb, step.gpu)
    return Room(step.cpu, 0, step.memory_mb, step.gpu)


def use(step: demands.StepDemand) -> Room:
    """Return the room that a running task takes from others."""
    unused_cpu: float = step.cpu
    if step.lasting:
        unused_cpu *= worker_state.ASSUMED_LONG_RUNNING_USE
    cpu = 0 if step.fills else step.cpu
    return Room(cpu, unused_cpu, step.memory_mb, step.gpu)


def free_room(worker: worker_state.Worker) -> Room:
    """Return the room on a worker that no run takes now."""
    capacity = worker.capacity
    return Room(
        capacity.cpu - worker.cpu_reserved,
        worker.free_cpu(),
        capacity.memory_mb - worker.memory_reserved,
        capacity.gpu - worker.gpu_reserved,
    )


class Profile:
    """Room on one worker that its runs free as they end.

    Long-running runs have no end by themselves, so only those that are being
    stopped count.

    Attributes:
        capacity: Capacity of the worker when the ends were forecast.
        ends: Runs with the times on the steady clock at which they are expected
            to end, ascending.
    """

    __slots__ = ("_worker", "capacity", "ends")

    def __init__(
        self,
        worker: worker_state.Worker,
        forecaster: forecast.Forecaster,
        now: float,
    ):
        """Forecast the ends of the runs on a worker.

        Args:
            worker: The worker.
            forecaster: Forecasts of run times.
            now: Current time on the steady clock.
        """
        self._worker = worker
        self.capacity = worker.capacity
        self.ends = sorted(
            (
                (_end(run, forecaster, now), run)
                for run in worker.runs.values()
                if run.stopping or not run.step.lasting
            ),
            key=lambda end: end[0],
        )

    def freed_by(self, at: float) -> Room:
        """Return the room that runs free by a time, if they have not yet."""
        runs = self._worker.runs
        total = NONE
        for end, run in self.ends:
            if end > at:
                break
            if runs.get(run.task) is run:
                total = total.plus(use(run.step))
        return total

    def earliest(self, free: Room, needed: Room, now: float) -> float:
        """Return the time from which a task fits; infinite if it never does.

        Args:
            free: Room that is free now, less what others have reserved.
            needed: Room that the task needs.
            now: Current time on the steady clock.
        """
        if free.covers(needed):
            return now
        for at, run in self.ends:
            free = free.plus(use(run.step))
            if free.covers(needed):
                return at
        return float("inf")


def _end(
    run: run_state.Run, forecaster: forecast.Forecaster, now: float
) -> float:
    """Return the time at which a run is expected to end."""
    if run.stopping:
        return now + STOP_SECONDS
    return now + max(
        forecaster.remaining(run, now).typical_seconds,
        MIN_REMAINING_SECONDS,
        MIN_REMAINING_SHARE * run.seconds_at_work(now),
    )
