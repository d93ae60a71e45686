"""Handover of an entry instance's claims across a planned restart.

An instance that is stopped stops granting claims and then sends a snapshot of
its claim store to one other instance.  After the restart it fetches the
snapshot from all other instances before it grants any claim.

Snapshots expire after `RETENTION_SECONDS`.  An instance that got no snapshot
and could not reach all others, or that got several snapshots, waits for that
long before it grants claims.  So no later restart can restore a snapshot that
lacks the claims granted in the meantime.
"""

from typing import NamedTuple

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.gateway import claim_store
from turmerichall.gateway import claims as claims_module
from turmerichall.gateway import peer_calls
from turmerichall.leases import lease

__all__ = ["ClaimHandover", "RETENTION_SECONDS"]

RETENTION_SECONDS = 8.0
CALL_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.1
CLAIMS_PER_CHUNK = 5_000

STORE = "gateway.keep"
FETCH = "gateway.take"

STOPPING = "this instance is stopping"
RESTORING = "this instance is restoring its claims after a restart"


class SnapshotChunk(NamedTuple):
    """A chunk of a snapshot of a claim store.

    Attributes:
        number: Number of the chunk, from 0.
        chunk_count: Number of chunks of the snapshot.
        member_digests: Digests of the lists of entry instances in force when
            the snapshot was taken.
        complete_since: Unix time since which the claim store is complete; see
            `claim_store.ClaimStore`.
        claims: Claims by request id.
    """

    number: int
    chunk_count: int
    member_digests: tuple[int, ...]
    complete_since: float
    claims: list[tuple[str, claim_store.ClaimRecord]]


class StoredSnapshot(NamedTuple):
    """A snapshot of another instance's claim store, kept for that instance.

    Attributes:
        at: When the first chunk arrived, trio time.
        chunks: The chunks received so far, encoded.
    """

    at: float
    chunks: list[bytes]


class ClaimHandover:
    """Transfer of the claim store to another instance and back.

    Attributes:
        name: Name of this instance.
        network: Connections to the other instances.
        claims: Claims of this instance, which own the claim store.
        stored_snapshots: Snapshots of other instances, by instance name.
    """

    def __init__(
        self,
        name: str,
        network: peer_calls.Network,
        claims: claims_module.Claims,
    ):
        self.name = name
        self.network = network
        self.claims = claims
        self.stored_snapshots: dict[str, StoredSnapshot] = {}
        self.initial_complete_since = claims.store.complete_since
        claims.store.abstain_reason = RESTORING
        network.handle(STORE, self._handle_store)
        network.handle(FETCH, self._handle_fetch)

    async def restore(self) -> None:
        """Restore the claims from before the restart, then grant claims."""
        started_at = trio.current_time()
        while not self.claims.members:
            await trio.sleep(RETRY_INTERVAL_SECONDS)
        replies: dict[str, list[bytes]] = {}
        async with trio.open_nursery() as nursery:
            for name in self._others():
                nursery.start_soon(self._fetch_with_retries, name, replies)
        snapshots = [chunks for chunks in replies.values() if chunks]
        if len(snapshots) == 1:
            self._apply_snapshot(snapshots[0])
        elif snapshots or len(replies) < len(self._others()):
            until = started_at + lease.ended_after_seconds(RETENTION_SECONDS)
            await trio.sleep_until(until)
        self.claims.store.abstain_reason = ""

    async def hand_over(self) -> bool:
        """Stop granting claims and send a snapshot of them to one instance.

        After a call without an answer no other instance is tried: the first one
        may have stored the snapshot.  If it were unreachable after the restart,
        the copy of the other one would be restored at once, and a later restart
        could restore the outdated first copy.

        Returns:
            Whether an instance is known to have stored the snapshot.
        """
        self.claims.store.abstain_reason = STOPPING
        chunks = self._encode_chunks()
        for name in self._others():
            refusal = await self._send_snapshot(name, chunks)
            if refusal is None:
                return True
            if refusal.reason == outcomes.RefusalReason.TIMEOUT:
                return False
        return False

    async def _send_snapshot(
        self, name: str, chunks: list[bytes]
    ) -> outcomes.Refusal | None:
        for chunk in chunks:
            reply = await self.network.call(
                name, STORE, chunk, CALL_TIMEOUT_SECONDS
            )
            if isinstance(reply, outcomes.Refusal):
                return reply
        return None

    def _others(self) -> list[str]:
        zone = self.claims.members.get(self.name, "")
        others = [name for name in self.claims.members if name != self.name]
        # Other zones come first, since a whole zone may stop at once.
        return sorted(
            others, key=lambda name: (self.claims.members[name] == zone, name)
        )

    def _encode_chunks(self) -> list[bytes]:
        store = self.claims.store
        records = list(store.claims.items())
        count = max(1, -(-len(records) // CLAIMS_PER_CHUNK))
        return [
            msgspec.msgpack.encode(
                SnapshotChunk(
                    number,
                    count,
                    self.claims.member_digests(),
                    store.complete_since,
                    records[number * CLAIMS_PER_CHUNK :][:CLAIMS_PER_CHUNK],
                )
            )
            for number in range(count)
        ]

    async def _fetch_with_retries(
        self, name: str, replies: dict[str, list[bytes]]
    ) -> None:
        deadline = trio.current_time() + FETCH_TIMEOUT_SECONDS
        while trio.current_time() < deadline:
            chunks = await self._fetch(name)
            if chunks is not None:
                replies[name] = chunks
                return
            await trio.sleep(RETRY_INTERVAL_SECONDS)

    async def _fetch(self, name: str) -> list[bytes] | None:
        """Fetch this instance's snapshot from another instance.

        Returns:
            All chunks; an empty list if there is no complete snapshot; None if
            the call failed and may be repeated.
        """
        chunks: list[bytes] = []
        while True:
            reply = await self.network.call(
                name, FETCH, b"", CALL_TIMEOUT_SECONDS
            )
            if isinstance(reply, outcomes.Refusal):
                # The other instance deletes each chunk once it was fetched, so
                # after the first one the snapshot can't be fetched again.
                return [] if chunks else None
            if not reply:
                return chunks
            chunks.append(reply)

    def _apply_snapshot(self, encoded: list[bytes]) -> None:
        chunks = [
            msgspec.msgpack.decode(chunk, type=SnapshotChunk)
            for chunk in encoded
        ]
        numbers = [chunk.number for chunk in chunks]
        store = self.claims.store
        if numbers != list(range(chunks[0].chunk_count)):
            return
        if store.complete_since != self.initial_complete_since:
            return
        if chunks[0].member_digests != self.claims.member_digests():
            return
        for chunk in chunks:
            store.claims.update(chunk.claims)
        store.complete_since = chunks[0].complete_since

    async def _handle_store(self, sender: str, body: bytes) -> bytes:
        chunk = msgspec.msgpack.decode(body, type=SnapshotChunk)
        if chunk.number == 0:
            self.stored_snapshots[sender] = StoredSnapshot(
                trio.current_time(), []
            )
        stored = self.stored_snapshots.get(sender)
        if stored is not None and len(stored.chunks) == chunk.number:
            stored.chunks.append(body)
        return b"kept"

    async def _handle_fetch(self, sender: str, _: bytes) -> bytes:
        stored = self.stored_snapshots.get(sender)
        if stored is None or not stored.chunks:
            self.stored_snapshots.pop(sender, None)
            return b""
        if trio.current_time() - stored.at > RETENTION_SECONDS:
            del self.stored_snapshots[sender]
            return b""
        return stored.chunks.pop(0)
