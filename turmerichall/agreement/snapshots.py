"""Snapshots: taking them, and passing them on in parts.

The one that lacks a snapshot asks for it part by part, so it sets the pace
and nobody else waits for it.
"""

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import message
from turmerichall.agreement import shared as agreement_shared
from turmerichall.storage import data_folder
from turmerichall.storage import records

__all__ = ["Snapshots"]

RETRY_SECONDS = 0.2


class Snapshots:
    """The snapshots of one replica.

    Attributes:
        shared: State of the replica.
        index: Index of the snapshot in the data folder; 0 if there is none.
        source: Instance to fetch a newer snapshot from, or empty.
    """

    def __init__(self, shared: agreement_shared.Shared):
        self.shared = shared
        self.index = 0
        self.source = ""
        self._wanted = agreement_shared.Notice()
        self._saving = trio.Lock()

    def load(self) -> message.Image | None:
        """Reads the snapshot of the data folder; blocks.

        Raises:
            CorruptLogError: It was damaged.
            StorageError: It can't be read.
        """
        assert self.shared.folder is not None
        payload = self.shared.folder.load_snapshot()
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
        shared = self.shared
        limit = shared.timing.snapshot_entries
        while True:
            await shared.applied_moved.until(
                lambda: shared.applied - self.index >= limit
            )
            await self.take()

    async def take(self) -> None:
        """Takes a snapshot of what is applied and shortens the log.

        Raises:
            StorageError: It could not be written.
        """
        shared = self.shared
        async with self._saving:
            index = shared.applied
            if index <= self.index:
                return
            image = message.Image(
                shared.cluster,
                index,
                shared.kept.term_at(index) or 0,
                shared.kept.members_at(index),
                shared.digest,
                shared.machine.snapshot(),
            )
            await self._save(image)
            shared.kept.forget_up_to(index - shared.timing.kept_entries)
            await shared.kept.journal.wait_durable(shared.kept.rewrite())

    async def _save(self, image: message.Image) -> None:
        assert self.shared.folder is not None
        framed = records.frame(message.encode(image))
        await self.shared.folder.save_snapshot(framed)
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
        self._wanted.notify()

    async def run_fetching(self) -> None:
        """Fetches and installs the snapshots that are asked for.

        Raises:
            StorageError: One could not be written.
        """
        while True:
            await self._wanted.until(lambda: self.source != "")
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
        shared = self.shared
        received = bytearray()
        index = 0
        while True:
            answer = await shared.network.call(
                source,
                "snapshot_part",
                message.encode(message.Part(index, len(received))),
                shared.timing.call_seconds,
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
        shared = self.shared
        try:
            payload = data_folder.unframe_snapshot(framed)
        except errors.CorruptLogError as damaged:
            shared.log.warning("snapshot arrived damaged", reason=str(damaged))
            return
        image = _decode(payload)
        async with self._saving:
            if image.position <= shared.applied:
                return
            assert shared.folder is not None
            await shared.folder.save_snapshot(framed)
            self.index = image.position
            if image.position > shared.applied:
                self._start_from(image)
            await shared.kept.journal.wait_durable(shared.kept.rewrite())
        shared.log.info("installed a snapshot", index=image.position)

    def _start_from(self, image: message.Image) -> None:
        shared = self.shared
        shared.kept.start_from(image)
        apply_image(shared, image)

    async def on_part(self, _: str, body: bytes) -> bytes:
        """Serves a part of the current snapshot."""
        shared = self.shared
        request = message.decode(body, message.Part)
        index = self.index
        if shared.folder is None or index == 0:
            return message.encode(message.PartReply(0, 0, b""))
        size = shared.folder.snapshot_bytes
        data = await shared.folder.read_snapshot_part(
            request.offset, shared.timing.part_bytes
        )
        replaced = self.index != index or self._saving.locked()
        if replaced or request.position not in (0, index):
            data = b""
        return message.encode(message.PartReply(index, size, data))


def apply_image(shared: agreement_shared.Shared, image: message.Image) -> None:
    """Replaces the applied state by that of a newer snapshot."""
    shared.machine.restore(image.data)
    shared.cluster = image.cluster
    shared.applied = image.position
    shared.note_digest(image.position, image.digest)
    shared.move_commit(image.position)
    shared.applied_moved.notify()


def decode_framed(framed: bytes) -> message.Image:
    """Checks and decodes a snapshot that was fetched.

    Raises:
        CorruptLogError: It was damaged.
    """
    return _decode(data_folder.unframe_snapshot(framed))


def _decode(payload: bytes) -> message.Image:
    return message.decode(payload, message.Image)
