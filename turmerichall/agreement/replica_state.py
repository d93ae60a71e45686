"""State and timing that the tasks of one replica share."""

import collections
import enum
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.agreement import condition
from turmerichall.agreement import entry_log
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import timing as timings
from turmerichall.peers import link
from turmerichall.storage import data_folder

__all__ = [
    "NOT_RECOVERED",
    "Network",
    "Progress",
    "ReplicaState",
    "Role",
    "StateMachine",
    "Timing",
]


Timing = timings.Timing

NOT_RECOVERED = -1
# Number of recent log indexes whose digests are kept, for comparing the state
# with that of other replicas.
MAX_DIGESTS = 1024


class StateMachine(Protocol):
    """Replicated state machine; `apply` must be deterministic."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a change and return its result."""

    def snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""


class Network(Protocol):
    """Connections to the other instances; see `peers.network`."""

    name: str
    addresses: dict[str, str]
    listen_address: str

    def handle(
        self,
        kind: str,
        handler: Callable[[str, bytes], Awaitable[bytes | None]],
        is_critical: bool = False,
    ) -> None:
        """Register the handler for a kind of message."""

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Call a handler on another instance and return its answer."""

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of the other instances."""


class Role(enum.StrEnum):
    """Role of a replica in consensus."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    # Has no disk, or one that failed; receives a stream of committed entries.
    OBSERVER = "observer"


class Progress:
    """Replication progress of one member, as the leader sees it.

    Attributes:
        next: Index of the next entry to send.
        match: Last index that the member has acknowledged as durable.
        acked_round: Newest `barrier_round` that the member has answered.
        acked_sent_at: When the last answered message was sent, trio time.
        probing: Whether the last message was refused or not answered, so that
            the next one is sent without entries.
    """

    def __init__(self, next_index: int, now: float):
        self.next = next_index
        self.match = 0
        self.acked_round = 0
        self.acked_sent_at = now
        self.probing = False


class ReplicaState:
    """State of one replica.

    Attributes:
        name: Name of the instance.
        network: Connections to the other instances.
        machine: State machine that committed changes are applied to.
        log: Where to log.
        timing: Periods and limits.
        rng: Source of random delays.
        counters: Counts refusals, retries and unknown effects.
        address: Where this instance accepts connections, host:port.
        folder: The data folder; None without a disk.
        opened_log: Log of a replica with a disk; None before it is opened.
        role: Current role.
        leader: Name of the leader; empty if it is not known.
        cluster: Id of the cluster; empty if it is not known.
        commit: Index of the last entry known to be committed.
        applied: Index of the last applied entry.
        applied_term: Term of that entry.
        applied_members: Members as of that entry.
        digest: Digest of the entries applied up to there.
        digests: Recent digests by index.
        diverged_at: Index at which the digest of another replica was first
            seen to differ; 0 if none differed.
        recovery_index: Index at which the state is at least as new as any
            that was served before a restart; `NOT_RECOVERED` if unknown.
        started_at: When this replica was started, trio time.
        elect_now: Whether to skip the rest of the election timeout.
        transfer_requested: Whether the leader asked this replica to campaign.
        transferring: Whether this leader refuses new changes, since it is
            transferring its leadership.
        leader_contact_at: When the leader was last heard from, directly or
            through other instances, trio time.
        leader_quorum_age: Age of the leader's last known contact with a quorum
            at that time, in seconds.
        stopped: Why the replica left consensus; empty if it did not.
        progress: Progress of the other members by identity, while leading.
        barrier_round: Number of barriers so far; a message belongs to the round
            in which it is sent to a member.
        own_match: Last index that is durable in the journal of this replica,
            while leading.
        leader_scope: Scope of the tasks of a leader; cancelled to stop them.
        observed_members: Members that an observer last received.
        observed_term: Term that an observer last received.
        up_to_date_at: Last time at which the state of an observer is known to
            have included all committed entries, trio time.
        commit_advanced: Notified when `commit` increases.
        applied_advanced: Notified when `applied` increases.
        role_changed: Notified when `role` or `leader` changes.
        send_needed: Notified when a leader may have something to send.
        acknowledged: Notified when a member answered the leader.
        election_requested: Notified when `elect_now` is set.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        machine: StateMachine,
        log: link.Log,
        timing: Timing,
        rng: random.Random,
        counters: link.Counters | None = None,
    ):
        self.name = name
        self.network = network
        self.machine = machine
        self.log = log
        self.timing = timing
        self.rng = rng
        self.counters = counters or link.NullCounters()
        self.address = ""
        self.folder: data_folder.DataFolder | None = None
        self.opened_log: entry_log.EntryLog | None = None
        self.role = Role.OBSERVER
        self.leader = ""
        self.cluster = ""
        self.commit = 0
        self.applied = 0
        self.applied_term = 0
        self.applied_members: member.Members = ()
        self.digest = 0
        self.digests: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.diverged_at = 0
        self.recovery_index = NOT_RECOVERED
        self.started_at = -float("inf")
        self.elect_now = False
        self.transfer_requested = False
        self.transferring = False
        self.leader_contact_at = -float("inf")
        self.leader_quorum_age = 0.0
        self.stopped = ""
        self.progress: dict[str, Progress] = {}
        self.barrier_round = 0
        self.own_match = 0
        self.leader_scope = trio.CancelScope()
        self.observed_members: member.Members = ()
        self.observed_term = 0
        self.up_to_date_at = -float("inf")
        self.commit_advanced = condition.Condition()
        self.applied_advanced = condition.Condition()
        self.role_changed = condition.Condition()
        self.send_needed = condition.Condition()
        self.acknowledged = condition.Condition()
        self.election_requested = condition.Condition()

    @property
    def identity(self) -> str:
        """Identity of the disk; empty without one."""
        return self.folder.identity if self.folder else ""

    @property
    def raft_log(self) -> entry_log.EntryLog:
        """The log of a replica with a disk."""
        assert self.opened_log is not None
        return self.opened_log

    @property
    def term(self) -> int:
        """The newest term seen."""
        if self.role == Role.OBSERVER or self.opened_log is None:
            return self.observed_term
        return self.opened_log.vote_state.term

    @property
    def members(self) -> member.Members:
        """Members as of the last entry, committed or not."""
        if self.role == Role.OBSERVER or self.opened_log is None:
            return self.observed_members
        return self.opened_log.members

    @property
    def recovered(self) -> bool:
        """Whether the state is as new as any served before a restart."""
        return NOT_RECOVERED < self.recovery_index <= self.applied

    def members_differ(self, known: member.Members) -> bool:
        """Return whether the current members differ from `known`."""
        return self.members != known

    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        own = member.find(self.members, self.identity)
        return own is not None and own.voter

    def record_leader_contact(self, leader: str, quorum_age: float) -> None:
        """Record that the leader was heard from, directly or through others.

        Args:
            leader: Name of the leader.
            quorum_age: Seconds since the leader heard from a quorum.
        """
        self.leader_contact_at = trio.current_time()
        self.leader_quorum_age = quorum_age
        if leader != self.leader:
            self.leader = leader
            self.role_changed.notify_all()

    def seconds_since_quorum(self) -> float:
        """Return the age of the leader's last known contact with a quorum."""
        now = trio.current_time()
        if self.role == Role.LEADER:
            return now - self.quorum_contact_at()
        return now - self.leader_contact_at + self.leader_quorum_age

    def lag_seconds(self) -> float:
        """Return the time since the state was last known to be current."""
        if self.role == Role.OBSERVER:
            return trio.current_time() - self.up_to_date_at
        return self.seconds_since_quorum()

    def quorum_contact_at(self) -> float:
        """Return the trio time of the last contact with a majority.

        Only for a leader: the newest time such that a majority of the voters
        has answered a message sent at or after it.
        """
        now = trio.current_time()
        return member.majority_value(
            [
                now
                if voter.identity == self.identity
                else self.answered_at(voter)
                for voter in member.voters(self.members)
            ]
        )

    def answered_at(self, other: member.Member) -> float:
        """Return when the last message that a member answered was sent.

        Only for a leader: the trio time; minus infinity if the member is not
        known.
        """
        progress = self.progress.get(other.identity)
        return -float("inf") if progress is None else progress.acked_sent_at

    def observe_term(self, term: int) -> None:
        """Become a follower in a term that is newer than the current one.

        Raises:
            StorageError: The journal failed earlier.
        """
        if term > self.raft_log.vote_state.term:
            self.raft_log.save_vote(entry_log.VoteState(term))
            self.leader = ""
            self.step_down()

    def step_down(self) -> None:
        """Stop leading or campaigning, and become a follower."""
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.log.info(f"no longer {self.role.value}", term=self.term)
            if self.leader == self.name:
                self.leader = ""
            self.role = Role.FOLLOWER
        self.leader_scope.cancel()
        self.role_changed.notify_all()
        # Requests that wait for a majority at this leader are refused.
        self.acknowledged.notify_all()
        self.commit_advanced.notify_all()

    def record_digest(self, index: int, digest: int) -> None:
        """Record the digest of the entries applied up to an index."""
        self.digest = digest
        self.digests[index] = digest
        if len(self.digests) > MAX_DIGESTS:
            self.digests.popitem(last=False)

    def compare_digest(self, other: str, index: int, digest: int) -> None:
        """Record and log it if another replica's digest differs at an index.

        Only the first difference is recorded.
        """
        own = self.digests.get(index)
        if own is None or own == digest or self.diverged_at:
            return
        self.diverged_at = index
        self.log.error("state differs", other=other, index=index)

    def advance_commit(self, commit: int) -> None:
        """Record that the entries up to an index are committed."""
        if commit > self.commit:
            self.commit = commit
            self.commit_advanced.notify_all()

    def last_term_and_index(self) -> tuple[int, int]:
        """Return term and index of the last entry.

        An election compares them to find the more up-to-date of two logs.
        """
        return self.raft_log.last_term, self.raft_log.last_index

    def refuse(
        self, reason: outcomes.RefusalReason, detail: str
    ) -> message.Outcome:
        """Return a refusal after which the sender may retry."""
        return message.Outcome(
            message.OutcomeKind.REFUSAL,
            reason=reason.value,
            detail=detail,
            retry_after_seconds=self.timing.heartbeat_seconds,
            leader=self.leader,
        )
