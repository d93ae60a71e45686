"""Announcements of backend servers, and the replies to them.

A backend server is the serving process of a worker.  It sends an announcement
to an entry instance of its zone immediately after a change, and otherwise every
`ANNOUNCE_PERIOD_SECONDS`.
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
    """State of a task attempt as the worker reports it."""

    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(NamedTuple):
    """A worker's report about one attempt of a task.

    Attributes:
        task_id: Id of the task.
        attempt: Number of the attempt, from the start command.
        state: State of the attempt; an ended attempt is reported until the end
            is acknowledged.
        usage: Resources in use at the time of the last measurement.
        slowdown: Measured run time or latency of the task, divided by the
            value it has without other tasks on the worker; 0.0 if not measured.
        measured_seconds_ago: Age of `usage` and `slowdown` at the time of
            sending, in seconds.
        checkpoint: Name of the last checkpoint, or empty.
        detail: Why the attempt failed or stopped, or empty.
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
        """Return whether processor usage or slowdown was measured."""
        return bool(self.usage.processors or self.slowdown)


class Announcement(NamedTuple):
    """State of a backend server, as announced by the server itself.

    Attributes:
        name: Name of the worker, unique in the cluster.
        incarnation: Increases with each restart of the worker.
        sequence: Increases with each announcement of an incarnation.
        zone: Availability zone.
        rack: Rack within the zone.
        address: `host:port` at which it accepts requests and task commands.
        capacity: Total resources of the worker.
        slots: Maximum number of requests that it processes concurrently.
        connections: Maximum number of concurrent connections that it accepts,
            from all entry instances together.
        leaving: Whether the worker is about to stop and must get no new work.
        tasks: Reports about the task attempts on the worker.
        epoch: Highest epoch of a placement authority that it has seen.
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
    """Action that a worker is to take on a task."""

    START = "start"
    THROTTLE = "throttle"
    EVICT = "evict"
    STOP = "stop"


class Command(NamedTuple):
    """Command from the placement authority to a worker.

    Attributes:
        kind: Action to take.
        task_id: Id of the task.
        attempt: Number of the attempt that the command is about.
        epoch: Epoch of the authority, used as a fencing token: a worker refuses
            commands with an epoch lower than the highest it has seen.
        incarnation: Incarnation of the worker that the command is meant for.
        anchor: Sequence number of the worker's announcement whose sending
            time is the start of the task's lease.
        lease_seconds: Duration of the lease from that time, in seconds.
        template: Name of the template.
        customer: Name of the customer.
        service: Whether the task serves requests; otherwise it is a batch task.
        size: Declared size, which the worker enforces as a limit.
        run_seconds: Declared run time, in seconds.
        checkpoint: Name of the checkpoint to resume from, or empty.
        throttle: Fraction of its processors that a throttled task may use.
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
    """Reply of an instance to an announcement.

    Attributes:
        accepted: Whether this instance accepted the announcement.
        authority_address: `host:port` at which the zone's placement authority
            accepts announcements, or empty if not known.
        epoch: Epoch of the placement authority if this instance is the
            authority, otherwise 0.
        renewed: `task_id#attempt` of the leases renewed by this announcement.
        acknowledged: `task_id#attempt` of ended attempts whose end is recorded,
            so that the worker need not report them again.
        lease_seconds: Duration of the renewed leases from the sending of the
            announcement, in seconds.
        commands: Commands to execute.
        detail: Why the announcement was not accepted, or empty.
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
    """Return the name of an attempt of a task in announcements and replies.

    Examples:
        >>> attempt_name("j1/0", 2)
        'j1/0#2'
    """
    return f"{task_id}#{attempt}"
