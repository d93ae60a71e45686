"""What a planner is told: workers, tasks and reports, as plain values.

Times named `at`, `now` or `_at` are seconds on one monotonic clock of the
caller; those named `wall_seconds` are Unix time.
"""

import math
from typing import NamedTuple

from turmerichall import resources
from turmerichall.customers import customer as customers

__all__ = ["TaskView", "UsageReport", "WorkerView", "job_of"]


class WorkerView(NamedTuple):
    """A worker as its announcements describe it.

    Attributes:
        name: Unique name.
        rack: Rack within the zone.
        zone: Availability zone.
        capacity: What it offers in sum.
        slots: Tasks that it holds at once at most.
        leaving: Whether it asked for no new work.
        leaves_at: When it is expected to begin its drain; infinite if no
            drain is known.
    """

    name: str
    rack: str
    zone: str
    capacity: resources.Resources
    slots: int = 16
    leaving: bool = False
    leaves_at: float = math.inf


class TaskView(NamedTuple):
    """A task that waits or runs.

    Attributes:
        task_id: Unique id; the part before `/` names the job.
        template: Name of the template.
        customer: Name of the customer.
        team: Team whose quota a batch task counts against.
        urgency: How urgent the customer's work is.
        service: Whether the task serves requests instead of running to an end.
        size: Declared size.
        run_seconds: Declared run time of a batch task without neighbours.
        deadline_wall_seconds: When the job must be finished.
        submitted_wall_seconds: When the job was accepted.
        attempt: Starts so far.
        checkpoint: Last checkpoint, or empty.
        evicted: Whether the last attempt was evicted or lost.
        failures: Attempts that failed.
        zones: Availability zones it may run in; empty for any.
    """

    task_id: str
    template: str
    customer: str
    team: str
    urgency: customers.Urgency
    service: bool
    size: resources.Resources
    run_seconds: float = 60.0
    deadline_wall_seconds: float = math.inf
    submitted_wall_seconds: float = 0.0
    attempt: int = 0
    checkpoint: str = ""
    evicted: bool = False
    failures: int = 0
    zones: tuple[str, ...] = ()


class UsageReport(NamedTuple):
    """A measurement of one attempt, which may arrive late or out of order.

    Attributes:
        worker: Worker that measured.
        task_id: The task.
        attempt: The attempt, as in the start: 1 for the first.
        usage: What it used.
        slowdown: Latency or run time over that without neighbours; 0.0 if it
            was not measured.
        measured_at: When it was measured.
    """

    worker: str
    task_id: str
    attempt: int
    usage: resources.Resources
    slowdown: float
    measured_at: float


def job_of(task_id: str) -> str:
    """Returns the job that a task belongs to.

    Examples:
        >>> job_of("j1/0")
        'j1'
    """
    return task_id.split("/", 1)[0]
