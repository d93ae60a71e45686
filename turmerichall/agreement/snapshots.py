"""Taking snapshots, and transferring them in parts.

The receiver requests a snapshot part by part.  It thereby sets the pace, and
a slow receiver delays nobody else.
"""

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import compaction
from turmerichall.agreement import condition as conditions
from turmerichall.agreement import disk_pressure
from turmerichall.agreement import entry_log
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.storage import data_folder
from turmerichall.storage import records

__all__ = ["Snapshots"]

RETRY_SECONDS = 0.2


class Snapshots:
    """The snapshots of one replica.

    Attributes:
        state: State of the replica.
        index: Index of the snapshot in the data folder; 0 without one.
        source: Instance to fetch a newer snapshot from; empty if none is
            needed.
    """

    def __init__(self, state: replica_state.ReplicaState):
        self.state = state
        self.index = 0
        self.source = ""
        self._requested = conditions.Condition()
        self._saving = trio.Lock()

    def load(self) -> message.Snapshot | None:
        """Read the snapshot in the data folder; blocks on file I/O.

        Returns:
            The snapshot; None if there is none.

        Raises:
            CorruptLogError: The snapshot is damaged.
            StorageError: The file can't be read.
        """
        assert self.state.folder is not None
        payload = self.state.folder.load_snapshot()
        if payload is None:
            return None
        snapshot = _decode(payload)
        self.index = snapshot.position
        return snapshot

    async def run_taking(self) -> None:
        """Take a snapshot whenever one is due, see `compaction`.

        Raises:
            StorageError: A snapshot could not be written.
        """
        while True:
            await self.state.applied_advanced.wait_for(self._is_due)
            await self.take()

    def _is_due(self) -> bool:
        state = self.state
        assert state.folder is not None
        return compaction.is_snapshot_due(
            state.timing,
            state.applied - self.index,
            state.raft_log.bytes_between(self.index, state.applied),
            state.folder.snapshot_bytes,
            short_of_room=self._is_short_of_room(),
        )

    def _is_short_of_room(self) -> bool:
        level = disk_pressure.level(self.state)
        return level > disk_pressure.Level.NORMAL

    async def take(self) -> None:
        """Take a snapshot of the applied state and compact the log.

        Raises:
            StorageError: The snapshot or the journal could not be written.
        """
        state = self.state
        async with self._saving:
            if state.applied <= self.index:
                return
            snapshot = self._of_applied_state()
            await self._save(snapshot)
            self._compact(snapshot.position)
            # The state was encoded, and may be large.
            del snapshot
            await state.raft_log.journal.wait_durable(state.raft_log.rewrite())

    def _compact(self, position: int) -> None:
        timing = self.state.timing
        raft_log = self.state.raft_log
        if position <= raft_log.base_index:
            return
        short = self._is_short_of_room()
        retained_bytes = 0 if short else timing.retained_bytes
        within = raft_log.index_within(position, retained_bytes)
        raft_log.compact(compaction.first_retained(timing, position, within))

    def _of_applied_state(self) -> message.Snapshot:
        state = self.state
        return message.Snapshot(
            state.cluster,
            state.applied,
            state.applied_term,
            state.applied_members,
            state.digest,
            state.machine.snapshot(),
        )

    async def restore_folder(self) -> None:
        """Write the state and the log to a disk that had failed.

        Meanwhile the replica must take no part in consensus and apply nothing.
        It may have applied entries of other instances that its own log lacks;
        a snapshot of the applied state then takes the place of the log.

        Raises:
            DiskError: The disk still fails.
        """
        state = self.state
        raft_log = state.raft_log
        async with self._saving:
            if raft_log.term_at(state.applied) != state.applied_term:
                snapshot = self._of_applied_state()
                await self._save(snapshot)
                raft_log.install_snapshot(snapshot)
                # What followed in the log was never committed.
                state.recovery_index = min(
                    state.recovery_index, snapshot.position
                )
            term = max(state.observed_term, state.applied_term)
            if term > raft_log.vote_state.term:
                raft_log.vote_state = entry_log.VoteState(term)
            await raft_log.rewrite_after_failure()

    async def _save(self, snapshot: message.Snapshot) -> None:
        assert self.state.folder is not None
        payload = message.encode(snapshot)
        parts = (records.header(payload), payload)
        await self.state.folder.save_snapshot(parts)
        self.index = snapshot.position

    async def bootstrap(self, snapshot: message.Snapshot) -> None:
        """Start a cluster from its first snapshot.

        Raises:
            StorageError: The snapshot could not be written.
        """
        async with self._saving:
            await self._save(snapshot)
            self._start_from(snapshot)

    def request_from(self, source: str) -> None:
        """Request that the snapshot of an instance be fetched."""
        self.source = source
        self._requested.notify_all()

    async def run_fetching(self) -> None:
        """Fetch and install requested snapshots, until cancelled.

        Raises:
            StorageError: A snapshot could not be written.
        """
        while True:
            await self._requested.wait_for(lambda: self.source != "")
            source = self.source
            framed = await self.fetch(source)
            if framed is None:
                await trio.sleep(RETRY_SECONDS)
            else:
                await self._install(framed)
            self.source = ""

    async def fetch(self, source: str) -> bytearray | None:
        """Fetch the current snapshot of an instance.

        Args:
            source: Name of the instance.

        Returns:
            The snapshot as one record, header included; None if it could not
            be fetched.
        """
        state = self.state
        received = bytearray()
        index = 0
        while True:
            answer = await state.network.call(
                source,
                "snapshot_part",
                message.encode(message.SnapshotPart(index, len(received))),
                state.timing.call_seconds,
            )
            if isinstance(answer, outcomes.Refusal):
                return None
            reply = message.decode(answer, message.SnapshotPartReply)
            if not reply.data:
                return None
            index = reply.position
            received += reply.data
            if len(received) >= reply.size:
                return received

    async def _install(self, framed: bytearray) -> None:
        state = self.state
        try:
            payload = data_folder.unframe_snapshot(framed)
        except errors.CorruptLogError as damaged:
            state.log.warning(
                "received a damaged snapshot", reason=str(damaged)
            )
            return
        snapshot = _decode(payload)
        async with self._saving:
            if snapshot.position <= state.applied:
                return
            assert state.folder is not None
            await state.folder.save_snapshot((framed,))
            self.index = snapshot.position
            if snapshot.position > state.applied:
                self._start_from(snapshot)
            await state.raft_log.journal.wait_durable(state.raft_log.rewrite())
        state.log.info("installed a snapshot", index=snapshot.position)

    def _start_from(self, snapshot: message.Snapshot) -> None:
        state = self.state
        state.raft_log.install_snapshot(snapshot)
        apply_snapshot(state, snapshot)

    async def on_snapshot_part(self, _: str, body: bytes) -> bytes:
        """Answer with a part of the current snapshot."""
        state = self.state
        request = message.decode(body, message.SnapshotPart)
        index = self.index
        if state.folder is None or index == 0:
            return message.encode(message.SnapshotPartReply(0, 0, b""))
        size = state.folder.snapshot_bytes
        data = await state.folder.read_snapshot_part(
            request.offset, state.timing.part_bytes
        )
        replaced = self.index != index or self._saving.locked()
        if replaced or request.position not in (0, index):
            data = b""
        return message.encode(message.SnapshotPartReply(index, size, data))


def apply_snapshot(
    state: replica_state.ReplicaState, snapshot: message.Snapshot
) -> None:
    """Replace the applied state by that of a snapshot, which is newer."""
    state.machine.restore(snapshot.data)
    state.cluster = snapshot.cluster
    state.applied = snapshot.position
    state.applied_term = snapshot.term
    state.applied_members = snapshot.members
    state.record_digest(snapshot.position, snapshot.digest)
    state.advance_commit(snapshot.position)
    state.applied_advanced.notify_all()


def decode_framed(framed: bytearray) -> message.Snapshot:
    """Verify and decode a snapshot that `Snapshots.fetch` returned.

    Raises:
        CorruptLogError: The snapshot is damaged.
    """
    return _decode(data_folder.unframe_snapshot(framed))


def _decode(payload: memoryview) -> message.Snapshot:
    return message.decode(payload, message.Snapshot)
