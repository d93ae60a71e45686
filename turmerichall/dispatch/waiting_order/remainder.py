"""What is left to do of a job: its time, and the share of its work."""

from collections.abc import Callable
from typing import NamedTuple

from turmerichall.dispatch import run_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import slots
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records

__all__ = ["Remainder", "remainder"]

# Time from the end of a step, or from room for a task, until the task is at
# work: a commit, an order to the worker and the report of the end.
START_SECONDS = 0.1

FindRun = Callable[[changes.TaskName, str], run_state.Run | None]


class Remainder(NamedTuple):
    """What is left to do of one occurrence of a job.

    Attributes:
        seconds: Forecast time until its last step is done, if its tasks get
            the next slots that become free.
        waiting_seconds: Part of that time that does not pass while only the
            tasks that have a run now are running.
        fraction: Share of its work that is not done, from 0 to 1, in
            core-seconds by the forecast.
        running: Number of its tasks that have a run.
    """

    seconds: float
    waiting_seconds: float
    fraction: float
    running: int


def remainder(
    job: job_records.Job,
    occurrence: int,
    forecaster: forecast.Forecaster,
    find_run: FindRun,
    room_for: Callable[[demands.StepDemand], slots.Room],
    now: float,
) -> Remainder:
    """Return what is left to do of one occurrence of a job.

    Args:
        job: The job.
        occurrence: The occurrence.
        forecaster: Forecasts of run times.
        find_run: Returns the run of a task on a worker, by the worker's id.
        room_for: Returns the slots of the service for tasks of a step.
        now: Current time on the steady clock.
    """
    ends: list[float] = []
    waiting_ends: list[float] = []
    whole_work = work_left = 0.0
    running = 0
    for number, (step, progress) in enumerate(
        zip(job.demand.steps, job.steps(occurrence))
    ):
        begins = max((ends[other] for other in step.after), default=0.0)
        waiting_begins = max(
            (waiting_ends[other] for other in step.after), default=0.0
        )
        kind = (job.queue, step.image)
        whole = forecaster.expected_of_step(
            (job.id, occurrence, number), kind, step.estimate_ms / 1000
        )
        seconds = whole.typical_seconds
        count = len(progress.tasks)
        whole_work += step.cpu * seconds * count
        if progress.done == count:
            ends.append(0.0)
            waiting_ends.append(0.0)
            continue
        rests: list[float] = []
        waiting = count - progress.done
        if waiting and job.started:
            for index, task in enumerate(progress.tasks):
                if not task.worker or task.done:
                    continue
                name = changes.TaskName(job.id, occurrence, number, index)
                run = find_run(name, task.worker)
                rests.append(
                    forecast.remaining_of(run, whole, now).typical_seconds
                    if run
                    else seconds
                )
            waiting -= len(rests)
        running += len(rests)
        # A running task counts for no more than a whole one: a run that
        # outlives its forecast doesn't add to the work of its job.
        work_left += step.cpu * (
            waiting * seconds + sum(min(rest, seconds) for rest in rests)
        )
        room = room_for(step)
        slowest = START_SECONDS + forecaster.slowest(kind, seconds, waiting)
        ends.append(begins + _step_seconds(waiting, rests, slowest, room))
        waiting_ends.append(
            waiting_begins + _step_seconds(waiting, [], slowest, room)
        )
    fraction = work_left / whole_work if whole_work else 1.0
    return Remainder(
        max(ends, default=0.0),
        max(waiting_ends, default=0.0),
        fraction,
        running,
    )


def _step_seconds(
    waiting: int, rests: list[float], seconds: float, room: slots.Room
) -> float:
    """Return the time until the tasks of a step are done.

    Tasks that find no free slot get the ones that other tasks leave, of which
    all slots together leave one each `seconds`.

    Args:
        waiting: Number of its waiting tasks.
        rests: Remaining times of its running tasks.
        seconds: Time of a task.
        room: Slots for its tasks.

    Examples:
        >>> _step_seconds(10, [], 2.0, slots.Room(100.0, 50.0))
        2.0
        >>> _step_seconds(10, [1.0], 2.0, slots.Room(100.0, 0.0))
        2.2
        >>> _step_seconds(10, [], 2.0, slots.Room(4.0, 4.0))
        5.0
        >>> _step_seconds(0, [1.0, 7.0], 2.0, slots.Room(4.0, 0.0))
        7.0
    """
    longest = max(rests, default=0.0)
    if not waiting:
        return longest
    queued = max(waiting - room.free, 0.0)
    return max(longest, seconds * (1.0 + queued / max(room.slots, 1.0)))
