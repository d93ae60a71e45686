"""What the tasks of one replica share."""

import collections
import enum
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import trio

from turmerichall import outcomes
from turmerichall.agreement import entry_log
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.peers import link
from turmerichall.storage import data_folder

__all__ = [
    "StateMachine",
    "NOT_RECOVERED",
    "Network",
    "Condition",
    "Progress",
    "Role",
    "ReplicaState",
    "Timing",
]


NOT_RECOVERED = -1
MAX_DIGESTS = 1024


class StateMachine(Protocol):
    """What committed changes are applied to."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies a change and returns its result."""

    def snapshot(self) -> bytes:
        """Encodes the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by that of a snapshot."""


class Network(Protocol):
    """Connections to the other instances; see `peers.network`."""

    name: str
    addresses: dict[str, str]
    listen_address: str

    def handle(
        self,
        kind: str,
        handler: Callable[[str, bytes], Awaitable[bytes | None]],
    ) -> None:
        """Registers the handler of a kind of message."""

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler on another instance."""

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replaces the addresses of the other instances."""


class Role(enum.StrEnum):
    """What a replica does."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    # Follows by a stream; has no disk, or one that failed.
    OBSERVER = "observer"


class Timing(NamedTuple):
    """Periods and limits of a replica.

    Attributes:
        heartbeat_seconds: Longest time between two messages of a leader.
        election_seconds: Shortest time without a leader before an election;
            also how long a leader goes on without a quorum.
        election_jitter_seconds: Added to that time, at random.
        call_seconds: How long to wait for another replica's answer.
        batch_bytes: Most bytes of entries in one message.
        part_bytes: Most bytes of a snapshot in one message.
        snapshot_entries: Entries after which a snapshot is taken.
        retained_entries: Entries before a snapshot that are kept for others.
        commit_delay_seconds: How long a commit may wait for entries that
            carry it to a member.
        commit_save_seconds: How long a known commit may go unrecorded.
        max_proposals: Most changes that wait for their result.
    """

    heartbeat_seconds: float = 1.0
    election_seconds: float = 3.0
    election_jitter_seconds: float = 2.0
    call_seconds: float = 2.0
    batch_bytes: int = 512 * 1024
    part_bytes: int = 256 * 1024
    snapshot_entries: int = 20_000
    retained_entries: int = 5_000
    commit_delay_seconds: float = 0.05
    commit_save_seconds: float = 0.5
    max_proposals: int = 4096


class Condition:
    """Wakes every task that waits for something to change."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify_all(self) -> None:
        """Wakes all tasks that wait now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self, deadline: float = float("inf")) -> None:
        """Waits for the next call of `notify_all` or a trio time."""
        with trio.CancelScope(deadline=deadline):
            await self._event.wait()

    async def wait_for(
        self, condition: Callable[[], bool], deadline: float = float("inf")
    ) -> bool:
        """Waits until a condition holds or a trio time is reached.

        Returns:
            Whether the condition holds.
        """
        while not condition():
            if trio.current_time() >= deadline:
                return False
            await self.wait(deadline)
        return True


class Progress:
    """What a leader knows of one member.

    Attributes:
        next: Index of the next entry to send.
        match: Last index known to be durable there.
        acked_round: Greatest round that it answered.
        acked_sent_at: When the last answered message was sent, trio time.
    """

    def __init__(self, next_index: int, now: float):
        self.next = next_index
        self.match = 0
        self.acked_round = 0
        self.acked_sent_at = now


class ReplicaState:
    """State of one replica.

    Attributes:
        name: Name of the instance.
        address: Where this instance accepts connections, host:port.
        folder: The data folder; None without a disk.
        opened_log: Log of a replica with a disk.
        role: What the replica does.
        leader: Name of the leader, or empty.
        cluster: Id of the cluster, or empty.
        commit: Index known to be committed.
        applied: Index up to which the machine has applied.
        digest: Digest of what was applied up to there.
        digests: Recent digests by index.
        diverged_at: Lowest index at which another replica was seen to have
            applied something else; 0 if none was.
        recovery_index: Index at which the state is at least as new as any
            that was served before a restart; `NOT_RECOVERED` if unknown.
        started_at: When this replica was started, trio time.
        elect_now: Whether to campaign without waiting for a silence.
        transfer_requested: Whether the leader asked this replica to campaign.
        transferring: Whether this leader takes no more changes.
        leader_contact_at: When a leader was last heard of, trio time.
        leader_quorum_age: How long before that the leader heard a quorum.
        stopped: Why the replica takes part no more; empty while it does.
        progress: By identity, while leading.
        barrier_round: Grows by one with each barrier.
        own_match: Last own entry that is durable, while leading.
        leader_scope: Ends the tasks of a leader when cancelled.
        observed_members: Members as told to an observer.
        observed_term: Term as told to an observer.
        up_to_date_at: As of when an observer has applied all that was committed,
            trio time.
        commit_advanced: Notified when `commit` grew; `applied_advanced`,
            `role_changed`, `acked` and `founded` likewise.
        send_needed: Notified when a leader may have something to send.
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
        self.counters = counters or link.NoCounters()
        self.address = ""
        self.folder: data_folder.DataFolder | None = None
        self.opened_log: entry_log.EntryLog | None = None
        self.role = Role.OBSERVER
        self.leader = ""
        self.cluster = ""
        self.commit = 0
        self.applied = 0
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
        self.commit_advanced = Condition()
        self.applied_advanced = Condition()
        self.role_changed = Condition()
        self.send_needed = Condition()
        self.acknowledged = Condition()
        self.election_requested = Condition()

    @property
    def identity(self) -> str:
        """Identity of the disk, or empty."""
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
        """Members as of the last entry."""
        if self.role == Role.OBSERVER or self.opened_log is None:
            return self.observed_members
        return self.opened_log.members

    @property
    def recovered(self) -> bool:
        """Whether the state is as new as any served before a restart."""
        return NOT_RECOVERED < self.recovery_index <= self.applied

    def members_differ(self, known: member.Members) -> bool:
        """Tells whether the members are others than those known."""
        return self.members != known

    def is_voter(self) -> bool:
        """Tells whether this replica votes."""
        own = member.find(self.members, self.identity)
        return own is not None and own.voter

    def record_leader_contact(self, leader: str, quorum_age: float) -> None:
        """Notes a message that goes back to the leader."""
        self.leader_contact_at = trio.current_time()
        self.leader_quorum_age = quorum_age
        if leader != self.leader:
            self.leader = leader
            self.role_changed.notify_all()

    def seconds_since_quorum(self) -> float:
        """Returns how long ago a quorum was last known to be in contact."""
        now = trio.current_time()
        if self.role == Role.LEADER:
            return now - self.quorum_contact_at()
        return now - self.leader_contact_at + self.leader_quorum_age

    def lag_seconds(self) -> float:
        """Returns how long ago the applied state was surely the newest."""
        if self.role == Role.OBSERVER:
            return trio.current_time() - self.up_to_date_at
        return self.seconds_since_quorum()

    def quorum_contact_at(self) -> float:
        """Returns when a majority had last answered, while leading."""
        now = trio.current_time()
        times = []
        for voter in member.voters(self.members):
            if voter.identity == self.identity:
                times.append(now)
            elif voter.identity in self.progress:
                times.append(self.progress[voter.identity].acked_sent_at)
            else:
                times.append(-float("inf"))
        return member.majority_value(times)

    def observe_term(self, term: int) -> None:
        """Goes over to a newer term as a follower.

        Raises:
            StorageError: The journal failed before.
        """
        if term > self.raft_log.vote_state.term:
            self.raft_log.save_vote(entry_log.VoteState(term))
            self.leader = ""
            self.step_down()

    def step_down(self) -> None:
        """Stops to lead or to be a candidate."""
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.log.info(f"no longer {self.role.value}", term=self.term)
            if self.leader == self.name:
                self.leader = ""
            self.role = Role.FOLLOWER
        self.leader_scope.cancel()
        self.role_changed.notify_all()

    def record_digest(self, index: int, digest: int) -> None:
        """Notes the digest of what is applied up to an index."""
        self.digest = digest
        self.digests[index] = digest
        if len(self.digests) > MAX_DIGESTS:
            self.digests.popitem(last=False)

    def compare_digest(self, other: str, index: int, digest: int) -> None:
        """Compares what was applied with what another replica applied."""
        own = self.digests.get(index)
        if own is None or own == digest or self.diverged_at:
            return
        self.diverged_at = index
        self.log.error("state differs", other=other, index=index)

    def advance_commit(self, commit: int) -> None:
        """Notes that entries up to an index are committed."""
        if commit > self.commit:
            self.commit = commit
            self.commit_advanced.notify_all()

    def last_term_and_index(self) -> tuple[int, int]:
        """Returns term and index of the last entry, which order logs."""
        return self.raft_log.last_term, self.raft_log.last_index

    def refuse(
        self, reason: outcomes.RefusalReason, detail: str
    ) -> message.Outcome:
        """Makes a refusal that a new try may avoid."""
        return message.Outcome(
            message.OutcomeKind.REFUSAL,
            reason=reason.value,
            detail=detail,
            retry_after_seconds=self.timing.heartbeat_seconds,
            leader=self.leader,
        )
