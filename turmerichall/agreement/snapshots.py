"""Snapshots: taking them, and passing them on in parts.

The one that lacks a snapshot asks for it part by part, so it sets the pace
and nobody else waits for it.
"""

import trio

from turmerichall import errors
from turmerichall import outcomes
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
        index: Index of the snapshot in the data folder; 0 if there is none.
        source: Instance to fetch a newer snapshot from, or empty.
    """

    def __init__(self, state: replica_state.ReplicaState):
        self.state = state
        self.index = 0
        self.source = ""
        self._wanted = replica_state.Condition()
        self._saving = trio.Lock()

    def load(self) -> message.Image | None:
        """Reads the snapshot of the data folder; blocks.

        Raises:
            CorruptLogError: It was damaged.
            StorageError: It can't be read.
        """
        assert self.state.folder is not None
        payload = self.state.folder.load_snapshot()
        if payload is None:
            return None
        image = _decode(payload)
        self.index = image.position
        return image

    async def run_taking(self) -> None:
        """Takes a snapshot whenever the log has grown enough.

        Raises:
            StorageError: It could not be written.
        """
        state = self.state
        limit = state.timing.snapshot_entries
        while True:
            await state.applied_advanced.wait_for(
                lambda: state.applied - self.index >= limit
            )
            await self.take()

    async def take(self) -> None:
        """Takes a snapshot of what is applied and shortens the log.

        Raises:
            StorageError: It could not be written.
        """
        state = self.state
        async with self._saving:
            index = state.applied
            if index <= self.index:
                return
            image = message.Image(
                state.cluster,
                index,
                state.kept.term_at(index) or 0,
                state.kept.members_at(index),
                state.digest,
                state.machine.snapshot(),
            )
            await self._save(image)
            state.kept.forget_up_to(index - state.timing.kept_entries)
            await state.kept.journal.wait_durable(state.kept.rewrite())

    async def _save(self, image: message.Image) -> None:
        assert self.state.folder is not None
        framed = records.frame(message.encode(image))
        await self.state.folder.save_snapshot(framed)
        self.index = image.position

    async def found(self, image: message.Image) -> None:
        """Makes a snapshot the beginning of a cluster.

        Raises:
            StorageError: It could not be written.
        """
        async with self._saving:
            await self._save(image)
            self._start_from(image)

    def wanted_from(self, source: str) -> None:
        """Asks for a snapshot to be fetched from an instance."""
        self.source = source
        self._wanted.notify_all()

    async def run_fetching(self) -> None:
        """Fetches and installs the snapshots that are asked for.

        Raises:
            StorageError: One could not be written.
        """
        while True:
            await self._wanted.wait_for(lambda: self.source != "")
            source = self.source
            framed = await self.fetch(source)
            if framed is None:
                await trio.sleep(RETRY_SECONDS)
            else:
                await self._install(framed)
            self.source = ""

    async def fetch(self, source: str) -> bytes | None:
        """Fetches the current snapshot of an instance.

        Args:
            source: Name of the instance.

        Returns:
            The snapshot with its checksum; None if it could not be had.
        """
        state = self.state
        received = bytearray()
        index = 0
        while True:
            answer = await state.network.call(
                source,
                "snapshot_part",
                message.encode(message.Part(index, len(received))),
                state.timing.call_seconds,
            )
            if isinstance(answer, outcomes.Refusal):
                return None
            reply = message.decode(answer, message.PartReply)
            if not reply.data:
                return None
            index = reply.position
            received += reply.data
            if len(received) >= reply.size:
                return bytes(received)

    async def _install(self, framed: bytes) -> None:
        state = self.state
        try:
            payload = data_folder.unframe_snapshot(framed)
        except errors.CorruptLogError as damaged:
            state.log.warning("snapshot arrived damaged", reason=str(damaged))
            return
        image = _decode(payload)
        async with self._saving:
            if image.position <= state.applied:
                return
            assert state.folder is not None
            await state.folder.save_snapshot(framed)
            self.index = image.position
            if image.position > state.applied:
                self._start_from(image)
            await state.kept.journal.wait_durable(state.kept.rewrite())
        state.log.info("installed a snapshot", index=image.position)

    def _start_from(self, image: message.Image) -> None:
        state = self.state
        state.kept.start_from(image)
        apply_image(state, image)

    async def on_part(self, _: str, body: bytes) -> bytes:
        """Serves a part of the current snapshot."""
        state = self.state
        request = message.decode(body, message.Part)
        index = self.index
        if state.folder is None or index == 0:
            return message.encode(message.PartReply(0, 0, b""))
        size = state.folder.snapshot_bytes
        data = await state.folder.read_snapshot_part(
            request.offset, state.timing.part_bytes
        )
        replaced = self.index != index or self._saving.locked()
        if replaced or request.position not in (0, index):
            data = b""
        return message.encode(message.PartReply(index, size, data))


def apply_image(
    state: replica_state.ReplicaState, image: message.Image
) -> None:
    """Replaces the applied state by that of a newer snapshot."""
    state.machine.restore(image.data)
    state.cluster = image.cluster
    state.applied = image.position
    state.note_digest(image.position, image.digest)
    state.move_commit(image.position)
    state.applied_advanced.notify_all()


def decode_framed(framed: bytes) -> message.Image:
    """Checks and decodes a snapshot that was fetched.

    Raises:
        CorruptLogError: It was damaged.
    """
    return _decode(data_folder.unframe_snapshot(framed))


def _decode(payload: bytes) -> message.Image:
    return message.decode(payload, message.Image)
