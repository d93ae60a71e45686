"""Entries of the log and the messages that replicas exchange."""

import enum
from typing import NamedTuple, TypeVar

import msgspec

from turmerichall.agreement import member

__all__ = [
    "Append",
    "AppendReply",
    "Barrier",
    "ChangeMembers",
    "Entry",
    "EntryKind",
    "Follow",
    "FollowReply",
    "IdentifyReply",
    "Snapshot",
    "Join",
    "MemberAction",
    "Outcome",
    "OutcomeKind",
    "SnapshotPart",
    "SnapshotPartReply",
    "Propose",
    "Vote",
    "VoteReply",
    "decode",
    "encode",
    "encode_members",
]

T = TypeVar("T")


class EntryKind(enum.IntEnum):
    """What an entry of the log is."""

    CHANGE = 0
    MEMBERS = 1
    # The first entry of a leader's term.
    TERM_START = 2


class Entry(NamedTuple):
    """One entry of the log.

    Attributes:
        position: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: What it is.
        data: The change, or the encoded members.
    """

    position: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(NamedTuple):
    """A snapshot of everything up to an index.

    Attributes:
        cluster: Id of the cluster.
        position: Position of the last entry that it covers.
        term: Term of that entry.
        members: Members as of that entry.
        digest: Digest of what was applied up to that entry.
        data: The machine's snapshot.
    """

    cluster: str
    position: int
    term: int
    members: member.Members
    digest: int
    data: bytes


class Vote(NamedTuple):
    """Asks for a vote.

    Attributes:
        cluster: Id of the cluster.
        term: Term to be elected for.
        candidate: Name of the candidate.
        candidate_identity: Identity of the candidate.
        target_identity: Identity that the candidate counts as a voter.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        pre_vote: Whether only to tell how the vote would go.
        transfer: Whether the leader itself asked for this election.
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
    """Answers `Vote`.

    Attributes:
        term: Term of the replica that answers.
        granted: Whether it votes, or would vote, for the candidate.
    """

    term: int
    granted: bool


class Append(NamedTuple):
    """Sends entries to a replica; without entries it is a heartbeat.

    Attributes:
        cluster: Id of the cluster.
        term: Term of the leader.
        leader: Name of the leader.
        target_identity: Identity that the leader replicates to.
        previous_position: Index of the entry before `entries`.
        previous_term: Term of that entry.
        entries: Consecutive entries.
        commit: Index up to which the leader knows entries to be committed.
        quorum_age_seconds: How long ago the leader last heard a quorum.
        needs_snapshot: Whether the replica has to fetch a snapshot first.
        applied: Index up to which the leader has applied.
        digest: Digest of what the leader applied up to there.
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
    needs_snapshot: bool = False
    applied: int = 0
    digest: int = 0


class AppendReply(NamedTuple):
    """Answers `Append`.

    Attributes:
        term: Term of the replica.
        accepted: Whether `previous_position` matched.
        match: Last index that is durable and equal to the leader's, when
            accepted; otherwise where the leader should try next.
    """

    term: int
    accepted: bool
    match: int


class SnapshotPart(NamedTuple):
    """Asks for a part of the sender's current snapshot.

    Attributes:
        position: Index of the snapshot; 0 for whichever is current.
        offset: Where the part starts, in bytes.
    """

    position: int
    offset: int


class SnapshotPartReply(NamedTuple):
    """Answers `SnapshotPart`.

    Attributes:
        position: Index of the current snapshot; 0 if there is none.
        size: Size of the whole snapshot in bytes.
        data: The part; empty if the snapshot asked for is gone.
    """

    position: int
    size: int
    data: bytes


class Follow(NamedTuple):
    """Asks an instance for committed entries, and waits for them.

    Attributes:
        after: Index that the follower has applied.
        wait_seconds: How long to wait for a newer entry.
        lag_seconds: How long ago what the follower applied was all that was
            committed.
    """

    after: int
    wait_seconds: float
    lag_seconds: float = 0.0


class FollowReply(NamedTuple):
    """Answers `Follow`.

    Attributes:
        leader: Name of the leader, or empty.
        term: Term of the replica that answers.
        commit: Index up to which entries are known to be committed.
        members: Current members.
        entries: Committed entries that follow `after`.
        needs_snapshot: Whether a snapshot must be fetched first.
        quorum_age_seconds: How long ago the replica last heard of a quorum.
        digest: Digest of what the replica applied up to `commit`.
        lag_seconds: How long ago what is applied was all that was committed.
    """

    leader: str
    term: int
    commit: int
    members: member.Members
    entries: tuple[Entry, ...]
    needs_snapshot: bool
    quorum_age_seconds: float
    digest: int
    lag_seconds: float = 0.0


class Propose(NamedTuple):
    """Asks the leader to carry out a change.

    Attributes:
        change: The change.
        timeout_seconds: How long to wait for its result.
    """

    change: bytes
    timeout_seconds: float


class MemberAction(enum.StrEnum):
    """What an operator asks for."""

    ADD = "add"
    REMOVE = "remove"


class ChangeMembers(NamedTuple):
    """Asks the leader to add or remove a replica.

    Attributes:
        action: What to do.
        name: Name of the instance.
        address: Where it accepts connections, host:port; to add only.
        timeout_seconds: How long the sender waits.
    """

    action: MemberAction
    name: str
    address: str
    timeout_seconds: float


class Barrier(NamedTuple):
    """Asks the leader for something that takes only a timeout.

    Attributes:
        timeout_seconds: How long the sender waits.
    """

    timeout_seconds: float


class OutcomeKind(enum.IntEnum):
    """What an outcome is."""

    RESULT = 0
    REFUSAL = 1
    UNKNOWN = 2


class Outcome(NamedTuple):
    """Answers `Propose`, a barrier and a change of members.

    Attributes:
        kind: What the outcome is.
        position: Index of the entry, or up to which a barrier must apply.
        result: The machine's result.
        reason: Reason of a refusal or of an unknown effect.
        detail: A sentence for people.
        retry_after_seconds: When a new try may succeed.
        leader: Name of the leader, as far as it is known.
    """

    kind: OutcomeKind
    position: int = 0
    result: bytes = b""
    reason: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    leader: str = ""


class IdentifyReply(NamedTuple):
    """Tells who a replica is.

    Attributes:
        identity: Identity of its disk; empty if it has none.
        cluster: Id of its cluster; empty if it is in none yet.
        leader: Name of the leader, as far as it is known.
        members: Current members, as far as they are known.
    """

    identity: str
    cluster: str
    leader: str
    members: member.Members = ()


class Join(NamedTuple):
    """A replica with an empty disk asks to be taken in.

    Attributes:
        name: Name of the instance.
        identity: Identity of its disk.
        address: Where it accepts connections, host:port.
    """

    name: str
    identity: str
    address: str


def encode(value: NamedTuple) -> bytes:
    """Encodes a message or an entry."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, value_type: type[T]) -> T:
    """Decodes a message or an entry.

    Raises:
        msgspec.DecodeError: The bytes are no such message.

    Examples:
        >>> decode(encode(VoteReply(3, True)), VoteReply)
        VoteReply(term=3, granted=True)
    """
    return msgspec.msgpack.decode(data, type=value_type)


def encode_members(members: member.Members) -> bytes:
    """Encodes the members for an entry of the log."""
    return msgspec.msgpack.encode(members)
