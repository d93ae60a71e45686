"""Changes to the replicated state of queues, as stored in the log."""

import enum
from typing import NamedTuple, TypeAlias

import msgspec

from turmerichall.queues import configuration as configurations
from turmerichall.queues import configuration_edits
from turmerichall.queues import demand as demands
from turmerichall.queues import forgetting
from turmerichall.queues import levels

__all__ = [
    "AcceptJob",
    "BeginEvacuation",
    "CancelJob",
    "Capacity",
    "Change",
    "ClearCrashes",
    "DrainWorker",
    "EndEvacuation",
    "EndRuns",
    "EndedRun",
    "Ending",
    "LoseWorker",
    "NoteInterference",
    "Place",
    "RegisterWorker",
    "ResizeWorker",
    "SetConfiguration",
    "StartRuns",
    "StartedRun",
    "TaskName",
    "WorkerRecord",
    "decode",
    "encode",
    "incarnation_id",
    "is_incarnation_of",
]


class TaskName(NamedTuple):
    """Name of one task, unique among all jobs.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence of the job, from 0.
        step: Number of the step, from 0.
        number: Number of the task in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Return the dotted form of the name that logs use.

        Examples:
            >>> str(TaskName("5c0e", 0, 1, 17))
            '5c0e.0.1.17'
        """
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class Ending(enum.IntEnum):
    """How a run ended."""

    DONE = 0
    # The task or the worker failed; counts as an attempt.
    FAILED = 1
    STOPPED = 2
    # The worker's lease expired, or the worker was removed.
    LOST = 3
    # Another member of the gang ended.
    BROKEN = 4
    # The other members of the gang did not start in time.
    ALONE = 5
    # The worker never started the run.
    UNSTARTED = 6


# Kind and name of an address or a machine.
Place: TypeAlias = tuple[str, str]


def incarnation_id(name: str, born_ms: int) -> str:
    """Return the id of an incarnation of a worker that keeps its name.

    Args:
        name: Name of the worker.
        born_ms: Time of the incarnation's start in ms since 1970.

    Examples:
        >>> incarnation_id("i-7f", 1700000000000)
        'i-7f#1700000000000'
    """
    return f"{name}#{born_ms}"


def is_incarnation_of(worker_id: str, name: str) -> bool:
    """Return whether an id is that of an incarnation of a worker.

    Examples:
        >>> is_incarnation_of("i-7f#1700000000000", "i-7f")
        True
    """
    return name in (worker_id, worker_id.rpartition("#")[0])


class Capacity(NamedTuple):
    """Resources of a worker.

    Attributes:
        cpu: Processors in thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
    """

    cpu: int
    memory_mb: int
    gpu: int


class WorkerRecord(NamedTuple):
    """One incarnation of a worker, from its start until it ends.

    Attributes:
        id: Id of this incarnation.
        machine: Id of the machine, which outlives the incarnation; empty if
            unknown.
        address: Address at which the worker takes orders, as host:port.
        service: Name of the service whose tasks the worker runs.
        zone: Availability zone.
        rack: Rack, or empty if unknown.
        labels: Labels, among them the kind of machine and the rack.
        cpu: Processor capacity at the registration, in thousandths of a core.
        memory_mb: Memory capacity at the registration, in MB.
        gpu: Number of accelerators at the registration.
        kept_name: Name that the worker keeps when it starts again, so that
            orders to one incarnation may reach the next; empty if the worker
            has another id after each start.
        born_ms: Time of the incarnation's start in ms since 1970, by the
            worker's clock; 0 if unknown.
    """

    id: str
    machine: str
    address: str
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    kept_name: str = ""
    born_ms: int = 0

    @property
    def name(self) -> str:
        """Name by which orders and the worker itself call it."""
        return self.kept_name or self.id

    @property
    def places(self) -> frozenset[Place]:
        """Places that only one worker has at a time.

        These are its address and its machine; an unknown machine is none.
        """
        address = ("address", self.address)
        if not self.machine:
            return frozenset((address,))
        return frozenset((address, ("machine", self.machine)))

    def shares_place(self, other: "WorkerRecord") -> bool:
        """Return whether another worker has the same address or machine."""
        is_same_machine = bool(self.machine) and self.machine == other.machine
        return self.address == other.address or is_same_machine

    @property
    def capacity(self) -> Capacity:
        """Capacity at the registration."""
        return Capacity(self.cpu, self.memory_mb, self.gpu)


class StartedRun(NamedTuple):
    """The start of one run of a task.

    Attributes:
        task: The task.
        run: Number of the run, from 1; each start of a task has a higher one.
        worker: Id of the worker.
    """

    task: TaskName
    run: int
    worker: str


class EndedRun(NamedTuple):
    """The end of one run of a task.

    Attributes:
        task: The task.
        run: Number of the run.
        ending: How the run ended.
        checkpoint: Saved progress, or empty.
    """

    task: TaskName
    run: int
    ending: Ending
    checkpoint: str


class _Tagged(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class SetConfiguration(_Tagged, frozen=True, array_like=True, tag=1):
    """Change that replaces a configuration of a lower version.

    Attributes:
        configuration: The parsed configuration.
        document: The document as the operator sent it, for reading it back.
    """

    configuration: configurations.Configuration
    document: bytes


class AcceptJob(_Tagged, frozen=True, array_like=True, tag=2):
    """Change that accepts a job, unless its id was accepted before.

    Attributes:
        job: Id of the job.
        queue: Key of its queue.
        demand: The job as its caller described it.
        at_ms: Time of acceptance in ms since 1970, by the leader's clock.
    """

    job: str
    queue: str
    demand: demands.JobDemand
    at_ms: int


class CancelJob(_Tagged, frozen=True, array_like=True, tag=3):
    """Change that cancels a job that has not ended."""

    job: str


class StartRuns(_Tagged, frozen=True, array_like=True, tag=4):
    """Starts of runs, committed before the workers are told to start them."""

    rows: tuple[StartedRun, ...]


class EndRuns(_Tagged, frozen=True, array_like=True, tag=5):
    """Ends of runs, committed before they are acknowledged to the worker."""

    rows: tuple[EndedRun, ...]


class RegisterWorker(_Tagged, frozen=True, array_like=True, tag=6):
    """Change that adds a worker, and removes those that it replaces.

    These are the workers with the same address or on the same machine.
    """

    worker: WorkerRecord


class DrainWorker(_Tagged, frozen=True, array_like=True, tag=7):
    """Change that marks a worker as draining: it is about to leave."""

    worker: str


class LoseWorker(_Tagged, frozen=True, array_like=True, tag=8):
    """Change that removes a worker that is gone; all of its runs are lost.

    Attributes:
        worker: Id of the worker.
        charged: If it crashed, the tasks that may have caused this.
        given_up: Ids of jobs that fail, since a task of theirs crashes its
            workers.
        on_trial: Tasks beside which nothing is started from now on, until they
            have run for a while.
        doubtful: Tasks that may have been at work, or not.
    """

    worker: str
    charged: tuple[TaskName, ...] = ()
    given_up: tuple[str, ...] = ()
    on_trial: tuple[TaskName, ...] = ()
    doubtful: tuple[TaskName, ...] = ()


class NoteInterference(_Tagged, frozen=True, array_like=True, tag=9):
    """Change that stores the interference model for the next leader.

    Attributes:
        added: Slowdown of a long-running image by a best-effort image that
            uses all processors of the worker, by long-running and then
            best-effort image.
        strengths: Strength of the evidence for each of them, in squared shares
            of a worker's processors; empty in changes of earlier releases.
    """

    added: dict[str, dict[str, float]]
    strengths: dict[str, dict[str, float]] = {}


class ClearCrashes(_Tagged, frozen=True, array_like=True, tag=10):
    """Change that clears tasks of the crashes with which they were charged."""

    tasks: tuple[TaskName, ...]


class ResizeWorker(_Tagged, frozen=True, array_like=True, tag=11):
    """Change of the capacity of a worker that goes on running."""

    worker: str
    capacity: Capacity


class BeginEvacuation(_Tagged, frozen=True, array_like=True, tag=12):
    """Change that evacuates an availability zone: nothing starts there.

    Attributes:
        zone: Name of the zone.
        at_ms: Time of the operator's request in ms since 1970, by the leader's
            clock.
    """

    zone: str
    at_ms: int


class EndEvacuation(_Tagged, frozen=True, array_like=True, tag=13):
    """Change that takes an availability zone back after an evacuation.

    The attributes are as in `BeginEvacuation`.
    """

    zone: str
    at_ms: int


Change: TypeAlias = (
    SetConfiguration
    | AcceptJob
    | CancelJob
    | StartRuns
    | EndRuns
    | RegisterWorker
    | DrainWorker
    | LoseWorker
    | NoteInterference
    | ClearCrashes
    | ResizeWorker
    | BeginEvacuation
    | EndEvacuation
    | configuration_edits.ReviseConfiguration
    | forgetting.Forget
    | levels.RaiseLevel
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Change)


def encode(change: Change) -> bytes:
    """Encode a change for the log."""
    return _ENCODER.encode(change)


def decode(data: bytes) -> Change:
    """Decode a change of the log.

    Raises:
        msgspec.DecodeError: The bytes don't encode a change.

    Examples:
        >>> decode(encode(CancelJob("a7")))
        CancelJob(job='a7')
    """
    return _DECODER.decode(data)
