"""Which jobs are turned away at the door, and when they should come back.

Answers bursts above capacity, in which every accepted job would otherwise
finish too late to be worth anything.
"""

from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = ["QueueView", "admit"]


class QueueView(NamedTuple):
    """What the decision is made from.

    Attributes:
        queue: The queue.
        demand: The job.
        capacity_cpu: Thousandths of a core of the workers in touch.
        backlog_cpu_seconds: Work that waits before this job.
    """

    queue: configurations.Queue
    demand: demands.JobDemand
    capacity_cpu: int
    backlog_cpu_seconds: float


def admit(view: QueueView) -> outcomes.Refusal | None:
    """Returns None to accept a job, or why not and when to come back."""
    del view
    return None
