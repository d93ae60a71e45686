"""Priority of waiting tasks."""

import enum
from typing import NamedTuple

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import fleet as fleets
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import views

__all__ = ["Priority", "PriorityClass", "priority_of"]

# The latest start of a batch task is its deadline minus this multiple of its
# expected run time.
SLACK_RUNS = 1.5
# A batch task is at risk of being late if it still waits this long before the
# latest start that meets its deadline.
SLACK_SECONDS = 600.0
SHARE_STEPS = 10


class PriorityClass(enum.IntEnum):
    """Priority class of waiting tasks; lower values are started first."""

    SERVICE = 0
    URGENT = 1
    AT_RISK = 2
    EVICTED = 3
    NORMAL = 4
    DEFERRABLE = 5
    BORROWING = 6


class Priority(NamedTuple):
    """Sort key of waiting tasks; the smallest is started first.

    Attributes:
        priority_class: Class of the task.
        share: Dominant share of its quota that the task's team uses, in steps
            of 1 / `SHARE_STEPS`, rounded down; 0 in classes that ignore it.
        latest_start: Latest start of the task that meets its deadline, in Unix
            time; for a service task its time of submission.
    """

    priority_class: PriorityClass
    share: int
    latest_start: float


def priority_of(
    task: views.TaskView,
    size: resources.Resources,
    fleet: fleets.Fleet,
    quotas: quotas_of_teams.Quotas,
    wall_now: float,
) -> Priority:
    """Return the priority of a waiting task.

    Args:
        task: The waiting task.
        size: Resources that the task will be allocated.
        fleet: Fleet with the learnt run times.
        quotas: Quotas of teams and their use.
        wall_now: Unix time.
    """
    if task.service:
        return Priority(PriorityClass.SERVICE, 0, task.submitted_wall_seconds)
    run_seconds = fleet.run_seconds(task)
    latest_start = task.deadline_wall_seconds - SLACK_RUNS * run_seconds
    if task.urgency == customers.Urgency.URGENT:
        return Priority(PriorityClass.URGENT, 0, latest_start)
    if task.evicted:
        return Priority(PriorityClass.EVICTED, 0, latest_start)
    share = int(SHARE_STEPS * quotas.share(task.team))
    if quotas.borrows(task.team, size):
        return Priority(PriorityClass.BORROWING, share, latest_start)
    if latest_start - SLACK_SECONDS < wall_now:
        return Priority(PriorityClass.AT_RISK, 0, latest_start)
    if task.urgency == customers.Urgency.DEFERRABLE:
        return Priority(PriorityClass.DEFERRABLE, share, latest_start)
    return Priority(PriorityClass.NORMAL, share, latest_start)
