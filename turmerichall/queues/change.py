"""Changes of the replicated state of queues, as they stand in the log."""

import enum
from typing import NamedTuple, TypeAlias

import msgspec

from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = [
    "AcceptJob",
    "CancelJob",
    "Change",
    "DrainWorker",
    "EndRuns",
    "EndedRun",
    "Ending",
    "LoseWorker",
    "NoteInterference",
    "RegisterWorker",
    "SetConfiguration",
    "StartRuns",
    "StartedRun",
    "TaskName",
    "WorkerRecord",
    "decode",
    "encode",
]


class TaskName(NamedTuple):
    """Names one task.

    Attributes:
        job: Id of the job.
        occurrence: Which occurrence of the job, from 0.
        step: Number of the step, from 0.
        number: Number of the task in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Returns the name for logs.

        Examples:
            >>> str(TaskName("5c0e", 0, 1, 17))
            '5c0e.0.1.17'
        """
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class Ending(enum.IntEnum):
    """How a run ended."""

    DONE = 0
    # Through its own fault or the worker's.
    FAILED = 1
    STOPPED = 2
    # The worker's lease ran out, or the worker is gone.
    LOST = 3
    # Another member of the gang ended.
    BROKEN = 4
    # The other members of the gang did not come.
    ALONE = 5
    # The worker never began it.
    UNSTARTED = 6


class WorkerRecord(NamedTuple):
    """One life of a worker.

    Attributes:
        id: Id of this life.
        machine: The machine, which outlives it; empty if not known.
        address: Where it takes orders, host:port.
        service: The service whose tasks it runs.
        zone: Availability zone.
        rack: Rack, or empty.
        labels: Labels, among them kind and rack.
        cpu: Thousandths of a core.
        memory_mb: Memory.
        gpu: Accelerators.
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


class StartedRun(NamedTuple):
    """One start.

    Attributes:
        task: The task.
        run: Number of the start, from 1.
        worker: Id of the worker.
    """

    task: TaskName
    run: int
    worker: str


class EndedRun(NamedTuple):
    """The end of one run.

    Attributes:
        task: The task.
        run: Number of its start.
        ending: How it ended.
        checkpoint: Saved progress, or empty.
    """

    task: TaskName
    run: int
    ending: Ending
    checkpoint: str


class _Tagged(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class SetConfiguration(_Tagged, frozen=True, array_like=True, tag=1):
    """Puts a configuration in force, unless a higher one is.

    Attributes:
        configuration: What it says.
        document: As the operator sent it, for reads.
    """

    configuration: configurations.Configuration
    document: bytes


class AcceptJob(_Tagged, frozen=True, array_like=True, tag=2):
    """Accepts a job, unless it is known.

    Attributes:
        job: Its id.
        queue: Key of its queue.
        demand: What was asked for.
        at_ms: When it came, since 1970, by the leader's clock.
    """

    job: str
    queue: str
    demand: demands.JobDemand
    at_ms: int


class CancelJob(_Tagged, frozen=True, array_like=True, tag=3):
    """Cancels a job that has not ended."""

    job: str


class StartRuns(_Tagged, frozen=True, array_like=True, tag=4):
    """Notes starts before they are ordered."""

    rows: tuple[StartedRun, ...]


class EndRuns(_Tagged, frozen=True, array_like=True, tag=5):
    """Notes ends before they are acknowledged to the worker."""

    rows: tuple[EndedRun, ...]


class RegisterWorker(_Tagged, frozen=True, array_like=True, tag=6):
    """Takes in a worker; the one at the same address is gone."""

    worker: WorkerRecord


class DrainWorker(_Tagged, frozen=True, array_like=True, tag=7):
    """Notes that a worker is about to leave."""

    worker: str


class LoseWorker(_Tagged, frozen=True, array_like=True, tag=8):
    """Notes that a worker is gone, and all of its runs with it."""

    worker: str


class NoteInterference(_Tagged, frozen=True, array_like=True, tag=9):
    """Keeps what the leader learnt of interference for the next one.

    Attributes:
        added: What a whole worker of a filling image adds to the tail of a
            lasting image, as a share of its target, by both images.
    """

    added: dict[str, dict[str, float]]


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
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Change)


def encode(change: Change) -> bytes:
    """Encodes a change for the log."""
    return _ENCODER.encode(change)


def decode(data: bytes) -> Change:
    """Decodes a change of the log.

    Raises:
        msgspec.DecodeError: The bytes are no change.

    Examples:
        >>> decode(encode(CancelJob("a7")))
        CancelJob(job='a7')
    """
    return _DECODER.decode(data)
