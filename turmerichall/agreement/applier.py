"""Application of committed entries, in log order, to the state machine."""

import trio
import xxhash

from turmerichall import errors
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replica_state

__all__ = ["Applier", "Waiter"]

# Maximum number of entries applied in a row before other tasks get to run.
ENTRIES_PER_YIELD = 64


class Waiter:
    """Awaits the result of an entry that this replica appended as leader.

    Attributes:
        term: Term in which the entry was appended.
        done: Set when an entry with this index is applied.
        result: Result of the state machine; None if an entry of another
            term was committed at this index instead.
    """

    def __init__(self, term: int):
        self.term = term
        self.done = trio.Event()
        self.result: bytes | None = None


class Applier:
    """Applies committed entries to the state machine.

    Attributes:
        state: State of the replica.
        waiters: Waiters for the result of an entry, by its index.
    """

    def __init__(self, state: replica_state.ReplicaState):
        self.state = state
        self.waiters: dict[int, list[Waiter]] = {}

    async def run(self) -> None:
        """Apply entries as they are committed, until cancelled."""
        state = self.state
        while True:
            await state.commit_advanced.wait_for(
                lambda: state.commit > state.applied
            )
            last = min(state.commit, state.applied + ENTRIES_PER_YIELD)
            while state.applied < last:
                self.apply_entry(state.raft_log.get(state.applied + 1))
            state.applied_advanced.notify_all()
            await trio.lowlevel.checkpoint()

    async def run_persisting_commit(self) -> None:
        """Record the commit index in the journal soon after it advanced.

        With it, a replica that restarts without a quorum can restore its state
        up to this index.  If its log ends there, it serves that state at once,
        since it can't have served a newer one.

        Raises:
            StorageError: The journal failed.
        """
        state = self.state
        raft_log = state.raft_log
        while True:
            await state.commit_advanced.wait_for(
                lambda: state.commit > raft_log.commit
            )
            await trio.sleep(state.timing.commit_save_seconds)
            raft_log.save_commit(state.commit)

    def apply_entry(self, entry: message.Entry) -> None:
        """Apply the entry that follows the last applied one.

        Raises:
            CorruptLogError: The entry does not follow the last applied one.
        """
        state = self.state
        if entry.position != state.applied + 1:
            raise errors.CorruptLogError(
                f"cannot apply entry {entry.position} after {state.applied}"
            )
        result = b""
        if entry.kind == message.EntryKind.CHANGE:
            try:
                result = state.machine.apply(entry.position, entry.data)
            except Exception as error:
                # The state can't be trusted any more, so the process ends.
                error.add_note(
                    f"applying entry {entry.position} of term {entry.term},"
                    f" {len(entry.data)} bytes"
                )
                raise
        elif entry.kind == message.EntryKind.MEMBERS:
            state.applied_members = message.decode(entry.data, member.Members)
        state.applied = entry.position
        state.applied_term = entry.term
        digest = next_digest(state.digest, entry, result)
        state.record_digest(entry.position, digest)
        for waiter in self.waiters.pop(entry.position, []):
            if waiter.term == entry.term:
                waiter.result = result
            waiter.done.set()

    def add_waiter(self, index: int, term: int) -> Waiter:
        """Create and register a waiter for the result of an appended entry."""
        waiter = Waiter(term)
        self.waiters.setdefault(index, []).append(waiter)
        return waiter

    def remove_waiter(self, index: int, waiter: Waiter) -> None:
        """Stop waiting for the result of an entry."""
        waiting = self.waiters.get(index)
        if waiting and waiter in waiting:
            waiting.remove(waiter)
            if not waiting:
                del self.waiters[index]


def next_digest(digest: int, entry: message.Entry, result: bytes) -> int:
    """Return the digest of all applied entries and results up to an entry.

    Args:
        digest: Digest up to the entry before.
        entry: The entry that was applied.
        result: Result of the state machine for this entry.

    References:
        "Container Reconciliation (HDDS-10239)": replicas compare checksums of
        their state rather than rely on equal inputs giving equal states.

    Examples:
        >>> entry = message.Entry(1, 1, message.EntryKind.CHANGE, b"x")
        >>> next_digest(0, entry, b"a") == next_digest(0, entry, b"b")
        False
    """
    hashed = xxhash.xxh3_64(entry.data, seed=digest)
    hashed.update(result)
    return int(hashed.intdigest())
