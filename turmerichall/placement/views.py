"""Input of a planner: workers, tasks and usage reports as plain values.

Times named `at`, `now` or `_at` are seconds on the caller's monotonic clock;
times named `wall_seconds` are Unix time.
"""

import math
from typing import NamedTuple

from turmerichall import resources
from turmerichall.customers import customer as customers

__all__ = ["TaskView", "UsageReport", "WorkerView", "job_id_of"]


class WorkerView(NamedTuple):
    """A worker as described by its announcements.

    Attributes:
        name: Unique name.
        rack: Rack within the zone.
        zone: Availability zone.
        capacity: Total resources that it offers to tasks.
        slots: Maximum number of tasks on it at once.
        leaving: Whether it is draining and must not be given new tasks.
        leaves_at: Time at which its drain is expected to begin; infinite if
            no drain is planned.
    """

    name: str
    rack: str
    zone: str
    capacity: resources.Resources
    slots: int = 16
    leaving: bool = False
    leaves_at: float = math.inf


class TaskView(NamedTuple):
    """A waiting or running task.

    Attributes:
        task_id: Unique id; the part before `/` names the job.
        template: Name of the template.
        customer: Name of the customer.
        team: Team whose quota a batch task counts against.
        urgency: Scheduling priority of the customer's work.
        service: Whether the task serves requests instead of running to
            completion.
        size: Resources declared for the task.
        run_seconds: Declared run time of a batch task without neighbours, in
            seconds.
        deadline_wall_seconds: Unix time by which the job must have finished.
        submitted_wall_seconds: Unix time at which the job was accepted.
        attempt: Number of starts so far.
        checkpoint: Last checkpoint that a worker reported, or empty.
        evicted: Whether the last attempt was evicted or lost.
        failures: Number of failed attempts.
        zones: Availability zones that it may run in; empty for all.
        at_risk: Whether it may use the whole margin of services, since it
            would otherwise miss its deadline; set by the planner.
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
    at_risk: bool = False


class UsageReport(NamedTuple):
    """Measured resource usage of one attempt of a task.

    Reports may arrive late or out of order.

    Attributes:
        worker: Worker that took the measurement.
        task_id: Task that was measured.
        attempt: Number of the attempt, as in the start command; 1 is the first.
        usage: Resources in use.
        slowdown: Latency or run time divided by its value without neighbours;
            0.0 if it was not measured.
        measured_at: Time of the measurement.
    """

    worker: str
    task_id: str
    attempt: int
    usage: resources.Resources
    slowdown: float
    measured_at: float


def job_id_of(task_id: str) -> str:
    """Return the id of the job that a task belongs to.

    Examples:
        >>> job_id_of("j1/0")
        'j1'
    """
    return task_id.split("/", 1)[0]
