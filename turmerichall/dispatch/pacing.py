"""Throttling of best-effort tasks that share a worker with long-running tasks.

A pace is the share of its full speed that a best-effort task may use.  How much
a best-effort task slows a long-running one depends on the pair of images, and
the load of long-running tasks rises and falls within seconds.  The best-effort
tasks that slow a long-running task are throttled until its predicted tail
latency stays below its target by a margin; tasks that slow nothing keep their
full pace.  In addition, all tasks of a worker slow each other once they use
more processors than it has.

References:
    Lo et al., "Heracles: Improving Resource Efficiency at Scale", 2015: a
    control loop on each machine grows and disables best-effort work by the
    slack of the latency-critical tasks.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = [
    "BestEffortTask",
    "LongRunningTask",
    "NEGLIGIBLE_SLOWDOWN",
    "pace_percents",
    "tolerable_slowdown",
]

# Share of the target below which tail latencies are kept.
TARGET_SHARE = 0.9
# Slowdown up to which a best-effort task is taken not to slow a long-running
# task.
NEGLIGIBLE_SLOWDOWN = 0.04
# Slowdown of long-running tasks if more processors are requested than the
# worker has, divided by the excess as a share of its processors.
CONTENTION_FACTOR = 1.0
# Share of a worker's processors that its tasks can use without slowing each
# other.
UNCONTENDED_SHARE = 0.95
# Maximum rise of a pace per poll, in percent, because tail latencies show its
# effect only in the poll after the next.
MAX_RISE_PERCENT = 30
# Time in seconds that a tail latency may exceed its target before all
# best-effort tasks on the worker are stopped.
STOP_AFTER_SECONDS = 1.5

SlowdownWeight = Callable[[str, str], float]


class LongRunningTask(NamedTuple):
    """A long-running task.

    Attributes:
        image: Its image.
        idle_tail: Its tail latency without load and neighbours, as a share of
            its target.
        load: Predicted utilization without neighbours.
        over_seconds: Time for which its tail latency has exceeded its target; 0
            if it does not.
        is_unexplained: Whether its tail latency is well above what the load and
            the known neighbours explain.
    """

    image: str
    idle_tail: float
    load: float
    over_seconds: float = 0.0
    is_unexplained: bool = False


class BestEffortTask(NamedTuple):
    """A best-effort task that shares a worker with long-running tasks.

    Attributes:
        image: Its image.
        share: Share of the worker's processors that it uses at full pace.
        percent: Pace that was last set, in percent; negative if unknown.
    """

    image: str
    share: float
    percent: int = 100


def tolerable_slowdown(
    idle_tail: float, load: float, margin: float = TARGET_SHARE
) -> float:
    """Return the slowdown at which a tail latency reaches its limit.

    Args:
        idle_tail: Tail latency without load and neighbours, as a share of the
            target.
        load: Utilization without neighbours.
        margin: The limit, as a share of the target.

    Examples:
        >>> round(tolerable_slowdown(0.2, 0.4), 2)
        0.94
        >>> round(tolerable_slowdown(0.2, 0.8), 2)
        -0.03
    """
    return (1.0 - idle_tail / margin) / max(load, 0.01) - 1.0


def pace_percents(
    best_effort_tasks: Sequence[BestEffortTask],
    long_running_tasks: Sequence[LongRunningTask],
    spare: float,
    weight: SlowdownWeight,
    upper_weight: SlowdownWeight,
    limits: Sequence[int] = (),
    max_rise_percent: int = MAX_RISE_PERCENT,
) -> list[int]:
    """Return the pace of each best-effort task, in percent.

    The tasks that slow a long-running task most are throttled first, because
    that costs the least work.

    Args:
        best_effort_tasks: The best-effort tasks of one worker.
        long_running_tasks: The long-running tasks on the same worker.
        spare: Share of the processors that other tasks are expected to leave
            unused.
        weight: Returns the likely slowdown of a long-running image by a
            best-effort image that uses all processors of the worker.
        upper_weight: Returns a cautious upper estimate of the same slowdown.
        limits: Highest pace of each best-effort task, in percent; none if
            empty.
        max_rise_percent: Maximum rise of a pace, in percent.

    Examples:
        >>> def weight(long_running, best_effort):
        ...     return 4.0 if best_effort == "sort" else 0.0
        >>> tasks = [BestEffortTask("sort", 0.1), BestEffortTask("scan", 0.3)]
        >>> def paces(load, spare=0.6):
        ...     services = [LongRunningTask("desk", 0.2, load)]
        ...     return pace_percents(tasks, services, spare, weight, weight)
        >>> paces(0.4), paces(0.65), paces(0.77)
        ([100, 100], [49, 100], [3, 100])
        >>> paces(0.75, spare=0.25)
        [0, 74]
    """
    paces = [
        min(100, max(0, task.percent) + max_rise_percent)
        for task in best_effort_tasks
    ]
    if limits:
        paces = [min(pace, limit) for pace, limit in zip(paces, limits)]
    overcommit = sum(task.share for task in best_effort_tasks) - max(spare, 0.0)
    for long_running in long_running_tasks:
        if long_running.over_seconds > STOP_AFTER_SECONDS:
            return [0] * len(best_effort_tasks)
        is_uncertain = (
            long_running.over_seconds > 0 or long_running.is_unexplained
        )
        weight_of = upper_weight if is_uncertain else weight
        slowdowns = [
            weight_of(long_running.image, task.image)
            for task in best_effort_tasks
        ]
        cuts = _cuts(
            best_effort_tasks, slowdowns, long_running, max(overcommit, 0.0)
        )
        for i, cut in enumerate(cuts):
            paces[i] = min(paces[i], round(100 * (1 - cut)))
    return paces


def _cuts(
    best_effort_tasks: Sequence[BestEffortTask],
    slowdowns: Sequence[float],
    long_running: LongRunningTask,
    overcommit: float,
) -> list[float]:
    """Return the share of its full pace that each best-effort task gives up.

    Empty if none has to give up anything.

    Args:
        best_effort_tasks: The best-effort tasks.
        slowdowns: Slowdown of the long-running task by each best-effort task,
            if that used all processors of the worker.
        long_running: The long-running task.
        overcommit: Processors that the best-effort tasks request beyond those
            that other tasks leave unused, as a share of the worker's.
    """
    # If the load alone raises the tail latency above its target, throttling
    # tasks that add little would not help.
    idle_tail, load = long_running.idle_tail, long_running.load
    if overcommit and tolerable_slowdown(idle_tail, load, 1.0) <= 0:
        overcommit = 0.0
    added = [
        slow * task.share if slow * task.share > NEGLIGIBLE_SLOWDOWN else 0.0
        for slow, task in zip(slowdowns, best_effort_tasks)
    ]
    headroom = max(tolerable_slowdown(idle_tail, load), 0.0)
    excess = sum(added) + CONTENTION_FACTOR * overcommit - headroom
    if excess <= 0:
        return []
    cuts = [0.0] * len(best_effort_tasks)
    order = sorted(
        range(len(best_effort_tasks)), key=lambda i: slowdowns[i], reverse=True
    )
    for i in order:
        if excess <= 0:
            break
        relief = added[i] + CONTENTION_FACTOR * min(
            best_effort_tasks[i].share, overcommit
        )
        if relief <= 0:
            continue
        cuts[i] = min(1.0, excess / relief)
        excess -= cuts[i] * relief
        overcommit = max(overcommit - cuts[i] * best_effort_tasks[i].share, 0.0)
    return cuts
