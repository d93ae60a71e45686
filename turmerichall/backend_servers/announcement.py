"""What a backend server tells about itself.

A backend server is the serving process of a worker.  It announces itself to
an entry instance of its zone at once when something changed, and otherwise
every `ANNOUNCE_PERIOD_SECONDS`.
"""

import enum
from typing import NamedTuple

from turmerichall import resources

__all__ = [
    "ANNOUNCE_PERIOD_SECONDS",
    "Announcement",
    "Command",
    "CommandKind",
    "MAX_REPORTS",
    "Reply",
    "ReportedState",
    "TaskReport",
]

ANNOUNCE_PERIOD_SECONDS = 2.0
MAX_REPORTS = 1000


class ReportedState(enum.StrEnum):
    """State of a task as the worker reports it."""

    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(NamedTuple):
    """What a worker reports about one attempt of a task.

    Attributes:
        task_id: The task.
        attempt: The attempt, as given in the start.
        state: Its state; an ended attempt is reported until acknowledged.
        usage: What it used when it was measured.
        slowdown: Measured run time or latency over that without neighbours;
            0.0 if it was not measured.
        measured_seconds_ago: Age of `usage` and `slowdown` when sent.
        checkpoint: Last checkpoint, or empty.
        detail: Why it failed or stopped, or empty.
    """

    task_id: str
    attempt: int
    state: ReportedState
    usage: resources.Resources = resources.ZERO
    slowdown: float = 0.0
    measured_seconds_ago: float = 0.0
    checkpoint: str = ""
    detail: str = ""

    def has_measurement(self) -> bool:
        """Tells whether it holds a measurement."""
        return bool(self.usage.processors or self.slowdown)


class Announcement(NamedTuple):
    """One announcement of a backend server.

    Attributes:
        name: Name of the worker, unique among all.
        incarnation: Grows with each restart of the worker.
        sequence: Grows with each announcement of an incarnation.
        zone: Availability zone.
        rack: Rack within the zone.
        address: `host:port` at which it takes requests and task commands.
        capacity: What the worker offers in sum.
        slots: Requests that it runs at once.
        connections: Connections that it accepts at once, over all instances.
        leaving: Whether it asks for no new work because it will stop.
        tasks: Reports of its tasks.
        epoch: Highest epoch of a placing authority that it has seen.
    """

    name: str
    incarnation: int
    sequence: int
    zone: str
    rack: str
    address: str
    capacity: resources.Resources
    slots: int = 8
    connections: int = 64
    leaving: bool = False
    tasks: tuple[TaskReport, ...] = ()
    epoch: int = 0


class CommandKind(enum.StrEnum):
    """What a worker is asked to do with a task."""

    START = "start"
    THROTTLE = "throttle"
    EVICT = "evict"
    STOP = "stop"


class Command(NamedTuple):
    """One command to a worker.

    Attributes:
        kind: What to do.
        task_id: The task.
        attempt: The attempt that the command is about.
        epoch: Epoch of the authority; a worker refuses lower ones than it saw.
        incarnation: Incarnation of the worker that the command is meant for.
        anchor: Sequence of the announcement that the lease counts from.
        lease_seconds: Term of the lease from the anchor, in seconds.
        template: Name of the template.
        customer: Name of the customer.
        service: Whether the task serves requests instead of running to an end.
        size: Declared size, which the worker keeps as a limit.
        run_seconds: Declared run time, in seconds.
        checkpoint: Checkpoint to resume from, or empty.
        throttle: Share of its processors that a throttled task keeps.
    """

    kind: CommandKind
    task_id: str
    attempt: int
    epoch: int
    incarnation: int
    anchor: int
    lease_seconds: float = 0.0
    template: str = ""
    customer: str = ""
    service: bool = False
    size: resources.Resources = resources.ZERO
    run_seconds: float = 0.0
    checkpoint: str = ""
    throttle: float = 1.0


class Reply(NamedTuple):
    """Answer to an announcement.

    Attributes:
        accepted: Whether this instance took the announcement.
        authority_address: Where the zone's placing authority takes
            announcements, or empty if it is not known.
        epoch: Epoch of the authority, if this instance is it; otherwise 0.
        renewed: `task_id#attempt` of leases renewed from this announcement.
        acknowledged: `task_id#attempt` of ended attempts that are recorded.
        lease_seconds: Term of the renewed leases from the announcement.
        commands: Commands to carry out.
        detail: Why it was not accepted, or empty.
    """

    accepted: bool
    authority_address: str = ""
    epoch: int = 0
    renewed: tuple[str, ...] = ()
    acknowledged: tuple[str, ...] = ()
    lease_seconds: float = 0.0
    commands: tuple[Command, ...] = ()
    detail: str = ""


def attempt_name(task_id: str, attempt: int) -> str:
    """Names one attempt of a task.

    Examples:
        >>> attempt_name("j1/0", 2)
        'j1/0#2'
    """
    return f"{task_id}#{attempt}"
