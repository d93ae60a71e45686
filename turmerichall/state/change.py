"""Changes of the replicated state, and the results of applying them.

Each change is a `NamedTuple`.  The replicated log stores the encoding that
`encode` returns: the number of the kind of change, followed by its fields in
order.  New fields are added at the end, with a default, so that records of
earlier versions can still be decoded.
"""

import enum
from typing import NamedTuple

import msgspec

from turmerichall import errors
from turmerichall.customers import customer
from turmerichall.instances import instance
from turmerichall.instances import presence as presences
from turmerichall.state import operation as operations
from turmerichall.state import packing
from turmerichall.state import zone_change
from turmerichall.templates import template

__all__ = [
    "AcceptJob",
    "CancelJob",
    "Change",
    "EndTasks",
    "EvictTasks",
    "ForgetInstance",
    "Operation",
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


Operation = operations.Operation


class PublishTemplate(NamedTuple):
    """Change that publishes or revises a template.

    Attributes:
        operation: Origin and idempotency key.
        base_version: Version that the revision is based on; 0 for a template
            that does not exist yet.
        body: The template.
    """

    operation: Operation
    base_version: int
    body: template.Template


class SetCustomer(NamedTuple):
    """Change that sets a customer; its fields are as in `PublishTemplate`."""

    operation: Operation
    base_version: int
    body: customer.Customer


class SetQuota(NamedTuple):
    """Change that sets the quota of a team.

    The fields are as in `PublishTemplate`.
    """

    operation: Operation
    base_version: int
    body: customer.Quota


class Intention(enum.StrEnum):
    """The state that operators request for a backend server."""

    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class SetIntention(NamedTuple):
    """Change of the state that operators request for a backend server."""

    operation: Operation
    base_version: int
    backend_server: str
    intention: Intention


class AcceptJob(NamedTuple):
    """Change that accepts a batch job.

    Attributes:
        operation: Origin and idempotency key; a retry gets the result of the
            first attempt.
        job_id: Unique id of the job.
        customer: Name of the customer.
        template: Name of a batch template.
        tasks: Number of tasks.
        deadline_wall_seconds: When the job must be finished, Unix time.
    """

    operation: Operation
    job_id: str
    customer: str
    template: str
    tasks: int
    deadline_wall_seconds: float


class CancelJob(NamedTuple):
    """Change that cancels a job.

    Its waiting tasks end, and its running tasks are stopped.
    """

    operation: Operation
    job_id: str


class TakeGrant(NamedTuple):
    """Change that acquires the grant of a zone for an instance.

    It is applied only if the epoch and the renewal of the grant are those that
    the instance saw last.  So of two instances that saw the same grant expire,
    only one acquires it.
    """

    zone: str
    holder: str
    expected_epoch: int
    expected_renewal: int


class RenewGrant(NamedTuple):
    """Change that renews the grant of a zone, if the instance still holds it.

    Attributes:
        zone: The availability zone.
        holder: Name of the instance.
        epoch: Epoch of the grant that the instance holds.
        confirmed: Names of the earlier holders of the grant that have confirmed
            that they no longer renew leases of tasks.
    """

    zone: str
    holder: str
    epoch: int
    confirmed: tuple[str, ...] = ()


class ReleaseGrant(NamedTuple):
    """Change that releases the grant of a zone.

    The holder of the grant has stopped renewing leases of tasks.
    """

    zone: str
    holder: str
    epoch: int


class Start(NamedTuple):
    """The start of one attempt of a task.

    Attributes:
        task_id: The task.  A service task is created by its first start.
        attempt: Number of the attempt, one above that of the last attempt.
        worker: Name of the worker to run it on.
        incarnation: Incarnation of the worker.
        reason: Why this worker was chosen.
    """

    task_id: str
    attempt: int
    worker: str
    incarnation: int
    reason: str = ""


class StartTasks(NamedTuple):
    """Change that starts a batch of attempts in one zone.

    Each attempt gets a task lease.
    """

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
        checkpoint: Name of the last checkpoint; if empty, the task keeps the
            checkpoint of its earlier attempts.
        reason: Why it ended, as a sentence.
    """

    task_id: str
    attempt: int
    ending: Ending
    checkpoint: str = ""
    reason: str = ""


class EndTasks(NamedTuple):
    """Change that records the ends of a batch of attempts in one zone.

    If a zone is lost, the placement authority of another zone first acquires
    the grant of the lost zone.  It then records, with the new epoch, the ends
    of the attempts whose leases have provably ended.
    """

    zone: str
    epoch: int
    wall_seconds: float
    ends: list[End]


class Eviction(NamedTuple):
    """Eviction of one running attempt, with the reason."""

    task_id: str
    attempt: int
    reason: str


class EvictTasks(NamedTuple):
    """Change that records that attempts must write a checkpoint and stop."""

    zone: str
    epoch: int
    wall_seconds: float
    evictions: list[Eviction]


class Note(NamedTuple):
    """Decision about a task, to record for its job; see `jobs.job.Decision`."""

    task_id: str
    what: str
    reason: str


class RecordDecisions(NamedTuple):
    """Change that records decisions, such as why a task waits.

    It has no effect on the tasks.
    """

    zone: str
    epoch: int
    wall_seconds: float
    notes: list[Note]


class RegisterInstance(NamedTuple):
    """Change that adds or replaces an entry in the list of entry instances."""

    body: instance.Instance


class ForgetInstance(NamedTuple):
    """Change that removes an entry instance from the list of entry instances.

    The instance is gone for good.
    """

    operation: Operation
    name: str


class SetPresence(NamedTuple):
    """Change that records that an entry instance fell silent or is coming back.

    Attributes:
        name: Name of the instance.
        presence: Its new presence.
        by: Name of the instance that observed the change of presence.
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
    """The result of applying a change.

    Attributes:
        status: Whether the change was applied.
        version: Depending on the change, the current version of the entry, the
            epoch of the grant, or 0.
        holder: If the status is a conflict, the operator who wrote the current
            version or the instance that holds the grant.
        reason: A `RefusalReason` value if the change was not applied.
        detail: The reason as a sentence for people.
        refused: Ids of the tasks for which a batch of starts, ends or evictions
            was not applied.
        position: Index of the change in the log.
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
    | zone_change.SetZoneState
)

# The kind numbers are part of the log format: never renumber them.
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
    # Kinds 16 and 17 are the packed forms of kinds 9 and 10; see
    # `_PACKED_STARTS` and `_PACKED_ENDS`.
    18: SetPresence,
    19: zone_change.SetZoneState,
}
_KIND_BY_TYPE = {change_type: kind for kind, change_type in _KINDS.items()}
# Kinds whose batches of several starts or ends are packed by `packing.pack`.  A
# batch of a single one is smaller unpacked, as kind 9 or 10.
_PACKED_STARTS = 16
_PACKED_ENDS = 17
_ENCODER = msgspec.msgpack.Encoder()
_PACKED_DECODER = msgspec.msgpack.Decoder(packing.PackedBatch)
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS: dict[int, msgspec.msgpack.Decoder[Change]] = {
    kind: msgspec.msgpack.Decoder(change_type)
    for kind, change_type in _KINDS.items()
}


def encode(change: Change) -> bytes:
    """Encode a change for the log."""
    if isinstance(change, StartTasks) and len(change.starts) > 1:
        return _ENCODER.encode((_PACKED_STARTS, packing.pack(*change)))
    if isinstance(change, EndTasks) and len(change.ends) > 1:
        return _ENCODER.encode((_PACKED_ENDS, packing.pack(*change)))
    return _ENCODER.encode((_KIND_BY_TYPE[type(change)], change))


def decode(data: bytes) -> Change:
    """Decode a change from the log.

    Raises:
        CorruptLogError: `data` is not an encoded change.
    """
    try:
        kind, body = _ENVELOPE_DECODER.decode(data)
        if kind == _PACKED_STARTS:
            return _unpack_starts(_PACKED_DECODER.decode(body))
        if kind == _PACKED_ENDS:
            return _unpack_ends(_PACKED_DECODER.decode(body))
        return _DECODERS[kind].decode(body)
    except (msgspec.DecodeError, LookupError, ValueError) as error:
        raise errors.CorruptLogError(f"not a change: {error}") from error


def _unpack_starts(packed: packing.PackedBatch) -> StartTasks:
    return StartTasks(*packed[:3], packing.unpack(packed, Start))


def _unpack_ends(packed: packing.PackedBatch) -> EndTasks:
    return EndTasks(*packed[:3], packing.unpack(packed, End))


def encode_result(result: Result) -> bytes:
    """Encode a result to send it to another daemon."""
    return _ENCODER.encode(result)


def decode_result(data: bytes) -> Result:
    """Decode a result that `encode_result` encoded."""
    return msgspec.msgpack.decode(data, type=Result)
