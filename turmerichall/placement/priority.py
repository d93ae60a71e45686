"""Whose turn it is among waiting tasks."""

import enum
from typing import NamedTuple

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import fleet as fleets
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import views

__all__ = ["PriorityClass", "Priority", "priority_of"]

SLACK_RUNS = 1.5
SLACK_SECONDS = 600.0
SHARE_STEPS = 10


class PriorityClass(enum.IntEnum):
    """Lines of waiting tasks; a lower one goes first."""

    SERVICE = 0
    URGENT = 1
    AT_RISK = 2
    EVICTED = 3
    NORMAL = 4
    DEFERRABLE = 5
    BORROWING = 6


class Priority(NamedTuple):
    """The turn of a task; the smallest goes first.

    Attributes:
        priority_class: The line it stands in.
        share: Share of its quota that its team holds, in steps.
        latest_start: Latest start that keeps the deadline, in Unix time.
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
    """Returns the turn of a task.

    Args:
        task: The waiting task.
        size: What it will count for.
        fleet: What was learnt about run times.
        quotas: What teams hold.
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
