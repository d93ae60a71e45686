"""Log entries, and the messages that replicas exchange.

All are encoded as MessagePack arrays, so the order of their fields matters.
"""

import enum
from typing import NamedTuple, TypeVar

import msgspec

from turmerichall.agreement import member

__all__ = [
    "Append",
    "AppendReply",
    "Barrier",
    "CRITICAL_KINDS",
    "ChangeMembers",
    "Departing",
    "Entry",
    "EntryKind",
    "Follow",
    "FollowReply",
    "IdentifyReply",
    "Join",
    "MemberAction",
    "Outcome",
    "OutcomeKind",
    "Propose",
    "Snapshot",
    "SnapshotPart",
    "SnapshotPartReply",
    "Vote",
    "VoteReply",
    "decode",
    "encode",
    "encode_members",
]

T = TypeVar("T")

# Kinds of messages whose handlers change the log, the vote or the members.  An
# unexpected exception in one of them ends the process.
CRITICAL_KINDS = frozenset(
    ("append", "change_members", "elect_now", "join", "propose", "vote")
)


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    CHANGE = 0
    MEMBERS = 1
    # Holds nothing.  A new leader appends it first, since it can commit entries
    # of earlier terms only together with one of its own.
    TERM_START = 2


class Entry(NamedTuple):
    """A log entry.

    Attributes:
        position: Index in the log, from 1.
        term: Term of the leader that appended it.
        kind: Kind of the entry.
        data: The change, or the encoded members.
    """

    position: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(NamedTuple):
    """A snapshot of the state at an index.

    Attributes:
        cluster: Id of the cluster.
        position: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        members: Members as of that entry.
        digest: Digest of the entries applied up to that entry.
        data: The encoded state of the state machine.
    """

    cluster: str
    position: int
    term: int
    members: member.Members
    digest: int
    data: bytes


class Vote(NamedTuple):
    """Request for a vote.

    Attributes:
        cluster: Id of the cluster.
        term: Term that the candidate wants to lead.
        candidate: Name of the candidate.
        candidate_identity: Identity of the candidate.
        target_identity: Identity of the voter that is asked.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        pre_vote: Whether to answer how the vote would go, without voting.
        transfer: Whether the current leader asked for this election.
    """

    cluster: str
    term: int
    candidate: str
    candidate_identity: str
    target_identity: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """Answer to `Vote`.

    Attributes:
        term: Newest term that the voter has seen.
        granted: Whether it votes, or would vote, for the candidate.
    """

    term: int
    granted: bool


class Append(NamedTuple):
    """Request to append entries; without entries it is a heartbeat.

    Attributes:
        cluster: Id of the cluster.
        term: Term of the leader.
        leader: Name of the leader.
        target_identity: Identity of the member that the leader replicates to.
        previous_position: Index of the entry before `entries`.
        previous_term: Term of that entry.
        entries: Consecutive entries.
        commit: Commit index of the leader.
        quorum_age_seconds: Time since the leader last heard from a quorum.
        snapshot: Whether the member has to fetch a snapshot first.
        applied: Index of the last entry that the leader has applied.
        digest: Digest of the entries applied up to there.
    """

    cluster: str
    term: int
    leader: str
    target_identity: str
    previous_position: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    quorum_age_seconds: float
    snapshot: bool = False
    applied: int = 0
    digest: int = 0


class AppendReply(NamedTuple):
    """Answer to `Append`.

    Attributes:
        term: Newest term that the member has seen.
        accepted: Whether the member has the entry at `previous_position`, and
            has appended the sent ones after it.
        match: If accepted, the last index up to which the member's log is
            durable and equal to the leader's; otherwise the index after which
            the leader should resume sending.
    """

    term: int
    accepted: bool
    match: int


class SnapshotPart(NamedTuple):
    """Request for a part of the receiver's snapshot file.

    Attributes:
        position: Index of the snapshot; 0 for the current one.
        offset: Start of the part in the file, in bytes.
    """

    position: int
    offset: int


class SnapshotPartReply(NamedTuple):
    """Answer to `SnapshotPart`.

    Attributes:
        position: Index of the current snapshot; 0 if there is none.
        size: Size of the whole snapshot file, in bytes.
        data: The part; empty if the requested snapshot was replaced.
    """

    position: int
    size: int
    data: bytes


class Follow(NamedTuple):
    """Long-polling request for committed entries, from a diskless instance.

    Attributes:
        after: Index of the last entry that the sender has applied.
        wait_seconds: How long to wait for a newer entry.
        lag_seconds: Time since the sender's state was last known to include
            all committed entries.
    """

    after: int
    wait_seconds: float
    lag_seconds: float = 0.0


class FollowReply(NamedTuple):
    """Answer to `Follow`.

    Attributes:
        leader: Name of the leader, or empty.
        term: Newest term that the source has seen.
        commit: Index of the last entry that the source has applied.
        members: Current members.
        entries: Committed entries that follow `after`.
        snapshot: Whether the follower has to fetch a snapshot first.
        quorum_age_seconds: Age of the leader's last known contact with a
            quorum.
        digest: Digest of the entries applied up to `commit`.
        lag_seconds: Time since the source's state was last known to include
            all committed entries.
    """

    leader: str
    term: int
    commit: int
    members: member.Members
    entries: tuple[Entry, ...]
    snapshot: bool
    quorum_age_seconds: float
    digest: int
    lag_seconds: float = 0.0


class Propose(NamedTuple):
    """Request to the leader to commit and apply a change.

    Attributes:
        change: The encoded change.
        timeout_seconds: How long to wait for the result.
    """

    change: bytes
    timeout_seconds: float


class MemberAction(enum.StrEnum):
    """Kind of a membership change."""

    ADD = "add"
    REMOVE = "remove"


class ChangeMembers(NamedTuple):
    """Request to the leader to add or remove a replica.

    Attributes:
        action: Whether to add or to remove it.
        name: Name of the instance.
        address: Where it accepts connections, host:port; only to add it.
        timeout_seconds: How long the sender waits.
    """

    action: MemberAction
    name: str
    address: str
    timeout_seconds: float


class Barrier(NamedTuple):
    """Request to the leader for the index that a linearizable read needs.

    Attributes:
        timeout_seconds: How long the sender waits.
    """

    timeout_seconds: float


class OutcomeKind(enum.IntEnum):
    """Whether a request was run, was refused, or may or may not have run."""

    RESULT = 0
    REFUSAL = 1
    UNKNOWN = 2


class Outcome(NamedTuple):
    """Answer to `Propose`, `Barrier`, `ChangeMembers` and `Join`.

    Attributes:
        kind: Kind of the outcome.
        position: Index of the appended entry; of a barrier, the index that
            must be applied before the read.
        result: What the state machine returned for a proposed change.
        reason: Reason of a refusal or of an unknown effect.
        detail: The reason as text for operators.
        retry_after_seconds: Delay after which a retry may succeed.
        leader: Name of the leader; empty if it is not known.
    """

    kind: OutcomeKind
    position: int = 0
    result: bytes = b""
    reason: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    leader: str = ""


class IdentifyReply(NamedTuple):
    """Answer to an `identify` request.

    Attributes:
        identity: Identity of the replica's disk; empty without a disk.
        cluster: Id of its cluster; empty before it joins one.
        leader: Name of the leader; empty if it is not known.
        members: Current members; empty if they are not known, or if operators
            add and remove replicas.
    """

    identity: str
    cluster: str
    leader: str
    members: member.Members = ()


class Join(NamedTuple):
    """Request of a replica with an empty disk to be added as a learner.

    Attributes:
        name: Name of the instance.
        identity: Identity of its disk.
        address: Where it accepts connections, host:port.
    """

    name: str
    identity: str
    address: str


class Departing(NamedTuple):
    """Notice of a replica that it is about to stop.

    Attributes:
        identity: Identity of its disk.
    """

    identity: str


def encode(value: NamedTuple) -> bytes:
    """Encode a message or an entry."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes | bytearray | memoryview, value_type: type[T]) -> T:
    """Decode a message or an entry.

    Raises:
        msgspec.DecodeError: The bytes don't encode a value of this type.

    Examples:
        >>> decode(encode(VoteReply(3, True)), VoteReply)
        VoteReply(term=3, granted=True)
    """
    return msgspec.msgpack.decode(data, type=value_type)


def encode_members(members: member.Members) -> bytes:
    """Encode the members for a log entry."""
    return msgspec.msgpack.encode(members)
