"""Applies committed entries in order and answers those who wait for them."""

import trio
import xxhash

from turmerichall import errors
from turmerichall.agreement import message
from turmerichall.agreement import replica_state

__all__ = ["Applier", "Waiter"]

ENTRIES_PER_YIELD = 64


class Waiter:
    """Waits for the entry that a leader appended in a term.

    Attributes:
        term: Term of the entry.
        done: Set once the fate of the entry is known.
        result: The machine's result; None if another entry took its place.
    """

    def __init__(self, term: int):
        self.term = term
        self.done = trio.Event()
        self.result: bytes | None = None


class Applier:
    """Applies entries to the machine.

    Attributes:
        state: State of the replica.
        waiters: By index, those who wait for an entry.
    """

    def __init__(self, state: replica_state.ReplicaState):
        self.state = state
        self.waiters: dict[int, list[Waiter]] = {}

    async def run(self) -> None:
        """Applies what is committed until cancelled."""
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
        """Records the known commit soon after it moved.

        A replica that restarts without a quorum can serve its state at once
        if it knows that it never served a newer one.

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
        """Applies the entry that follows the last applied one.

        Raises:
            CorruptLogError: The entry does not follow.
        """
        state = self.state
        if entry.position != state.applied + 1:
            raise errors.CorruptLogError(
                f"entry {entry.position} applied after {state.applied}"
            )
        result = b""
        if entry.kind == message.EntryKind.CHANGE:
            result = state.machine.apply(entry.position, entry.data)
        state.applied = entry.position
        digest = next_digest(state.digest, entry, result)
        state.record_digest(entry.position, digest)
        for waiter in self.waiters.pop(entry.position, []):
            if waiter.term == entry.term:
                waiter.result = result
            waiter.done.set()

    def add_waiter(self, index: int, term: int) -> Waiter:
        """Registers interest in an entry that was just appended."""
        waiter = Waiter(term)
        self.waiters.setdefault(index, []).append(waiter)
        return waiter

    def remove_waiter(self, index: int, waiter: Waiter) -> None:
        """Gives up waiting."""
        waiting = self.waiters.get(index)
        if waiting and waiter in waiting:
            waiting.remove(waiter)
            if not waiting:
                del self.waiters[index]


def next_digest(digest: int, entry: message.Entry, result: bytes) -> int:
    """Returns the digest of everything applied, with one entry more.

    References:
        "Container Reconciliation (HDDS-10239)": replicas compare checksums
        of what they hold instead of trusting that equal inputs suffice.

    Examples:
        >>> entry = message.Entry(1, 1, message.EntryKind.CHANGE, b"x")
        >>> next_digest(0, entry, b"a") == next_digest(0, entry, b"b")
        False
    """
    hashed = xxhash.xxh3_64(entry.data, seed=digest)
    hashed.update(result)
    return int(hashed.intdigest())
