"""Share of the permitted slowdown of services that batch tasks may cause.

The share grows as the waiting batch tasks come closer to their deadlines.
"""

import math

from turmerichall.placement import fleet as fleets
from turmerichall.placement import waiting

__all__ = ["margin_share"]

MIN_MARGIN_SHARE = 0.5
# Share of the processors not allocated to services that batch tasks use on
# average; slowdowns are left out, as they are part of the learnt run times.
EFFICIENCY = 0.42
MIN_SECONDS_LEFT = 60.0


def margin_share(
    queue: waiting.WaitingTasks, fleet: fleets.Fleet, wall_now: float
) -> float:
    """Return what share of services' permitted slowdown batch tasks may cause.

    The share is the time that the waiting batch tasks need, relative to the
    time left until their earliest deadline.  Tasks that are due in many hours
    may thus slow services less than tasks that are late.

    Args:
        queue: The waiting tasks.
        fleet: State of the workers.
        wall_now: Unix time.

    Returns:
        A share from `MIN_MARGIN_SHARE` to 1.0.
    """
    work = 0.0
    deadline = math.inf
    for bucket in queue.buckets.values():
        task = bucket.head()
        if task is None or task.service:
            continue
        run_seconds = fleet.run_seconds(task)
        work += len(bucket.live) * task.size.processors * run_seconds
        deadline = min(deadline, task.deadline_wall_seconds)
    processors = sum(
        state.view.capacity.processors - state.service_processors
        for state in fleet.workers.values()
        if state.takes_work()
    )
    needed = work / max(EFFICIENCY * processors, 1.0)
    left = max(MIN_SECONDS_LEFT, deadline - wall_now)
    return max(MIN_MARGIN_SHARE, min(1.0, needed / left))
