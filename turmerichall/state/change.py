"""Changes of the replicated state, and the results of applying them.

Each change is a `NamedTuple`; `encode` wraps it with its kind.  The log keeps
the encoded form.  New fields go to the end, with a default, so that older
records stay readable.
"""

import enum
from typing import NamedTuple

import msgspec

from turmerichall import errors
from turmerichall.customers import customer
from turmerichall.instances import instance
from turmerichall.instances import presence as presences
from turmerichall.state import packing
from turmerichall.templates import template

__all__ = [
    "AcceptJob",
    "CancelJob",
    "Change",
    "EndTasks",
    "EvictTasks",
    "ForgetInstance",
    "PublishTemplate",
    "RecordDecisions",
    "RegisterInstance",
    "ReleaseGrant",
    "RenewGrant",
    "Result",
    "SetCustomer",
    "SetIntention",
    "SetQuota",
    "StartTasks",
    "Status",
    "TakeGrant",
    "decode",
    "encode",
]


class Operation(NamedTuple):
    """Who asks for a change, and the id that makes a resend idempotent.

    Attributes:
        operation_id: Unique id; a resend carries the same one.
        operator: Name of the operator or instance.
        wall_seconds: When it was asked for, Unix time.
    """

    operation_id: str
    operator: str
    wall_seconds: float


class PublishTemplate(NamedTuple):
    """Publishes or revises a template.

    Attributes:
        operation: Who asks.
        base_version: Version that the revision is based on; 0 for a new one.
        body: The template.
    """

    operation: Operation
    base_version: int
    body: template.Template


class SetCustomer(NamedTuple):
    """Sets the parameters of a customer; see `PublishTemplate`."""

    operation: Operation
    base_version: int
    body: customer.Customer


class SetQuota(NamedTuple):
    """Sets the quota of a team; see `PublishTemplate`."""

    operation: Operation
    base_version: int
    body: customer.Quota


class Intention(enum.StrEnum):
    """What operators want of a backend server."""

    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class SetIntention(NamedTuple):
    """Sets what operators want of a backend server."""

    operation: Operation
    base_version: int
    backend_server: str
    intention: Intention


class AcceptJob(NamedTuple):
    """Accepts a batch job.

    Attributes:
        operation: Who asks; its id also names the job when resent.
        job_id: Unique id of the job.
        customer: Name of the customer.
        template: Name of a batch template.
        tasks: How many tasks.
        deadline_wall_seconds: When it must be finished, Unix time.
    """

    operation: Operation
    job_id: str
    customer: str
    template: str
    tasks: int
    deadline_wall_seconds: float


class CancelJob(NamedTuple):
    """Cancels a job: waiting tasks end, running ones are stopped."""

    operation: Operation
    job_id: str


class TakeGrant(NamedTuple):
    """Takes the grant of a zone over, if it is still as expected."""

    zone: str
    holder: str
    expected_epoch: int
    expected_renewal: int


class RenewGrant(NamedTuple):
    """Renews the grant of a zone, if the holder still has it.

    Attributes:
        zone: The availability zone.
        holder: Name of the instance.
        epoch: Epoch that it holds.
        confirmed: Earlier holders that have stopped renewing leases.
    """

    zone: str
    holder: str
    epoch: int
    confirmed: tuple[str, ...] = ()


class ReleaseGrant(NamedTuple):
    """Gives the grant of a zone back: its holder renews no leases any more."""

    zone: str
    holder: str
    epoch: int


class Start(NamedTuple):
    """One task to start.

    Attributes:
        task_id: The task; a service task is made by its first start.
        attempt: Attempt that this start makes, one above the last.
        worker: Worker to run it on.
        incarnation: Incarnation of the worker.
        reason: Why this worker.
    """

    task_id: str
    attempt: int
    worker: str
    incarnation: int
    reason: str = ""


class StartTasks(NamedTuple):
    """Grants leases for a batch of starts in one zone."""

    zone: str
    epoch: int
    wall_seconds: float
    starts: list[Start]


class Ending(enum.StrEnum):
    """How an attempt of a task ended."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class End(NamedTuple):
    """The end of one attempt.

    Attributes:
        task_id: The task.
        attempt: The attempt that ended.
        ending: How it ended.
        checkpoint: Last checkpoint, or empty to keep the one before.
        reason: Why, as a sentence.
    """

    task_id: str
    attempt: int
    ending: Ending
    checkpoint: str = ""
    reason: str = ""


class EndTasks(NamedTuple):
    """Records ends of attempts in one zone.

    With `epoch` 0 and `zone` of a lost zone, a holder of another zone's grant
    records that the leases there have provably ended.
    """

    zone: str
    epoch: int
    wall_seconds: float
    ends: list[End]


class Eviction(NamedTuple):
    """One running attempt to evict, and why."""

    task_id: str
    attempt: int
    reason: str


class EvictTasks(NamedTuple):
    """Records that attempts are asked to checkpoint and stop."""

    zone: str
    epoch: int
    wall_seconds: float
    evictions: list[Eviction]


class Note(NamedTuple):
    """A decision to record about a job; see `jobs.job.Decision`."""

    task_id: str
    what: str
    reason: str


class RecordDecisions(NamedTuple):
    """Records decisions that change no task, such as why a task waits."""

    zone: str
    epoch: int
    wall_seconds: float
    notes: list[Note]


class RegisterInstance(NamedTuple):
    """Lists an entry instance, or corrects what is listed of it."""

    body: instance.Instance


class ForgetInstance(NamedTuple):
    """Takes an entry instance that is gone for good off the list."""

    operation: Operation
    name: str


class SetPresence(NamedTuple):
    """Notes that an entry instance fell silent, or comes back.

    Attributes:
        name: Name of the instance.
        presence: What it is from now on.
        by: Name of the instance that noted it.
    """

    name: str
    presence: presences.Presence
    by: str


class Status(enum.StrEnum):
    """Whether a change was applied."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"


class Result(NamedTuple):
    """What came of a change.

    Attributes:
        status: Whether it was applied.
        version: Version now current, epoch of the grant, or 0.
        holder: For a conflict, who made the current version.
        reason: A `RefusalReason` value if not applied.
        detail: A sentence for people.
        refused: Ids of tasks in a batch that were passed over.
        position: Position in the log of the change.
    """

    status: Status
    version: int = 0
    holder: str = ""
    reason: str = ""
    detail: str = ""
    refused: tuple[str, ...] = ()
    position: int = 0


Change = (
    PublishTemplate
    | SetCustomer
    | SetQuota
    | SetIntention
    | AcceptJob
    | CancelJob
    | TakeGrant
    | RenewGrant
    | StartTasks
    | EndTasks
    | EvictTasks
    | RecordDecisions
    | RegisterInstance
    | ForgetInstance
    | ReleaseGrant
    | SetPresence
)

# The kinds are part of the format of the log: never renumber them.
_KINDS: dict[int, type] = {
    1: PublishTemplate,
    2: SetCustomer,
    3: SetQuota,
    4: SetIntention,
    5: AcceptJob,
    6: CancelJob,
    7: TakeGrant,
    8: RenewGrant,
    9: StartTasks,
    10: EndTasks,
    11: EvictTasks,
    12: RecordDecisions,
    13: RegisterInstance,
    14: ForgetInstance,
    15: ReleaseGrant,
    # 16 and 17 are batches, see below.
    18: SetPresence,
}
_KIND_OF = {change_type: kind for kind, change_type in _KINDS.items()}
# Several starts or ends; a single one is smaller as kind 9 or 10.
_PACKED_STARTS = 16
_PACKED_ENDS = 17
_ENCODER = msgspec.msgpack.Encoder()
_PACKED = msgspec.msgpack.Decoder(packing.Packed)
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS: dict[int, msgspec.msgpack.Decoder[Change]] = {
    kind: msgspec.msgpack.Decoder(change_type)
    for kind, change_type in _KINDS.items()
}


def encode(change: Change) -> bytes:
    """Encodes a change for the log."""
    if isinstance(change, StartTasks) and len(change.starts) > 1:
        return _ENCODER.encode((_PACKED_STARTS, packing.pack(*change)))
    if isinstance(change, EndTasks) and len(change.ends) > 1:
        return _ENCODER.encode((_PACKED_ENDS, packing.pack(*change)))
    return _ENCODER.encode((_KIND_OF[type(change)], change))


def decode(data: bytes) -> Change:
    """Decodes a change from the log.

    Raises:
        CorruptLogError: `data` is not an encoded change.
    """
    try:
        kind, body = _ENVELOPE.decode(data)
        if kind == _PACKED_STARTS:
            return _starts_of(_PACKED.decode(body))
        if kind == _PACKED_ENDS:
            return _ends_of(_PACKED.decode(body))
        return _DECODERS[kind].decode(body)
    except (msgspec.DecodeError, LookupError, ValueError) as error:
        raise errors.CorruptLogError(f"not a change: {error}") from error


def _starts_of(packed: packing.Packed) -> StartTasks:
    return StartTasks(*packed[:3], packing.unpack(packed, Start))


def _ends_of(packed: packing.Packed) -> EndTasks:
    return EndTasks(*packed[:3], packing.unpack(packed, End))


def encode_result(result: Result) -> bytes:
    """Encodes a result for another daemon."""
    return _ENCODER.encode(result)


def decode_result(data: bytes) -> Result:
    """Decodes what `encode_result` made."""
    return msgspec.msgpack.decode(data, type=Result)
