"""Reservation of one waiting task, and the blocked group that it belongs to."""

from typing import NamedTuple

from turmerichall.dispatch import backlog as backlogs
from turmerichall.queues import demand as demands

__all__ = ["BlockedGroup", "Claim", "Urgency"]

# Priority of the queue, class of the rank within it, and for the highest
# priority the time left; the lowest goes first.
Urgency = tuple[int, int, float]


class BlockedGroup(NamedTuple):
    """A group of waiting tasks that has found no room for some time.

    Attributes:
        name: Name of the group.
        service: Service whose workers may run it.
        step: The step.
        waiting: Number of waiting tasks.
        siblings: Number of running tasks of the step on each worker, by id.
        urgency: Its urgency.
        waits_since: Time on the steady clock since which none of its tasks has
            started.
        held: Ids of the workers on which it held reservations before.
    """

    name: backlogs.GroupName
    service: str
    step: demands.StepDemand
    waiting: int
    siblings: dict[str, int]
    urgency: Urgency
    waits_since: float
    held: frozenset[str] = frozenset()


class Claim(NamedTuple):
    """Reservation of room on a worker for one task of a group.

    Attributes:
        group: Name of the group.
        worker_id: Id of the worker.
        step: The step.
        urgency: Urgency of the group.
        starts_at: Time on the steady clock from which the task is expected to
            fit.
        waits_since: Time since which none of the group's tasks has started.
    """

    group: backlogs.GroupName
    worker_id: str
    step: demands.StepDemand
    urgency: Urgency
    starts_at: float
    waits_since: float
