"""How fast tasks that fill may run beside lasting tasks.

Answers interference that depends on the pair of images, beside lasting tasks
whose own load rises and falls within seconds.  The filling tasks that slow a
lasting task together may add as much as keeps its tail below a margin at the
load that is expected next; what slows nothing keeps its pace.  Beside that, all
tasks of a worker slow each other once they use more processors than it has.

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

# Of the target: what tails are held below.
TARGET_SHARE = 0.9
# Slowdown of a lasting task by one filling one that does not matter.
NEGLIGIBLE_SLOWDOWN = 0.04
# Slowdown of lasting tasks by use beyond the worker's processors, as shares of
# them; measured on recorded looks at 0.9 to 1.1 of each.
CONTENTION_FACTOR = 1.0
# Share of the processors up to which tasks don't crowd each other.
UNCONTENDED_SHARE = 0.95
# Rise of a pace in one look, percent: tails show it only after the next one.
MAX_RISE_PERCENT = 30
# Over its target for as long as this, everything that fills beside a task is
# stopped, seconds.
STOP_AFTER_SECONDS = 1.5

SlowdownWeight = Callable[[str, str], float]


class LongRunningTask(NamedTuple):
    """One lasting task, or the worst placed of several.

    Attributes:
        image: Its image.
        idle: Its tail without load and neighbours, as a share of its target.
        load: Share of time in use that is expected next, without neighbours.
        over_seconds: For how long its tail has been over its target; 0 if it
            is not.
        is_unexplained: Whether its tail is well above what the load and the
            known neighbours explain.
    """

    image: str
    idle_tail: float
    load: float
    over_seconds: float = 0.0
    is_unexplained: bool = False


class BestEffortTask(NamedTuple):
    """One filling task beside lasting tasks.

    Attributes:
        image: Its image.
        share: Share of the worker's processors that it uses at full pace.
        percent: Its pace, as it was last told.
    """

    image: str
    share: float
    percent: int = 100


def tolerable_slowdown(
    idle_tail: float, load: float, margin: float = TARGET_SHARE
) -> float:
    """Returns the slowdown by which a tail reaches a share of its target.

    Args:
        idle: Tail without load and neighbours, as a share of the target.
        load: Share of time in use without neighbours.
        margin: The share of the target.

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
) -> list[int]:
    """Returns the pace of each filling task.

    Those that slow a lasting task most are held back first, as that costs the
    least work.

    Args:
        fillings: The filling tasks of one worker.
        services: The lasting tasks beside them.
        spare: Share of the processors that all others leave soon.
        weight: Gives by how much a whole worker of a filling image slows a
            lasting image.
        cautious: The same, as much as may well be.

    Examples:
        >>> def weight(lasting, best_effort):
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
        min(100, max(0, task.percent) + MAX_RISE_PERCENT)
        for task in best_effort_tasks
    ]
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
    """Returns the share of its pace that each filling task gives up.

    Args:
        fillings: The filling tasks.
        slows: By how much a whole worker of each slows the lasting task.
        service: The lasting task.
        crowd: Share of the processors that is asked for beyond all of them.
    """
    cuts = [0.0] * len(best_effort_tasks)
    # Where the load alone brings the tail over its target, holding back what
    # adds little would help nobody.
    if tolerable_slowdown(long_running.idle_tail, long_running.load, 1.0) <= 0:
        overcommit = 0.0
    added = [
        slow * task.share if slow * task.share > NEGLIGIBLE_SLOWDOWN else 0.0
        for slow, task in zip(slowdowns, best_effort_tasks)
    ]
    headroom = max(
        tolerable_slowdown(long_running.idle_tail, long_running.load), 0.0
    )
    excess = sum(added) + CONTENTION_FACTOR * overcommit - headroom
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
