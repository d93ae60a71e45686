"""The stream of committed entries to instances without a disk."""

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import applying
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import shared as agreement_shared
from turmerichall.agreement import snapshots

__all__ = ["Following", "Serving"]

WAIT_SECONDS = 2.0
RETRY_SECONDS = 0.2


class Serving:
    """Gives committed entries to those that follow.

    Attributes:
        shared: State of the replica.
    """

    def __init__(self, shared: agreement_shared.Shared):
        self.shared = shared

    async def on_follow(self, _: str, body: bytes) -> bytes:
        """Answers with what follows an index, or after waiting for it.

        Raises:
            StorageError: The replica was stopped meanwhile.
        """
        shared = self.shared
        request = message.decode(body, message.Follow)
        wait = min(request.wait_seconds, WAIT_SECONDS)
        deadline = trio.current_time() + wait
        await shared.applied_moved.until(
            lambda: shared.applied > request.after, deadline
        )
        if shared.stopped:
            # What was applied since then is not what the own log holds.
            raise errors.StorageError(shared.stopped)
        kept = shared.kept
        snapshot = request.after < kept.base_index
        entries: tuple[message.Entry, ...] = ()
        if not snapshot and request.after < shared.applied:
            entries = tuple(
                entry
                for entry in kept.after(
                    request.after, shared.timing.batch_bytes
                )
                if entry.position <= shared.applied
            )
        return message.encode(
            message.FollowReply(
                shared.leader,
                shared.term,
                shared.applied,
                shared.members,
                entries,
                snapshot,
                shared.seconds_since_quorum(),
                shared.digest,
            )
        )


class Following:
    """Follows one replica at a time and changes it when it falls behind.

    Attributes:
        shared: State of the replica.
        applying: Applies what arrives.
        snapshots: Fetches a snapshot when it is needed.
        source: Instance that is followed, or empty.
    """

    def __init__(
        self,
        shared: agreement_shared.Shared,
        own_applying: applying.Applying,
        own_snapshots: snapshots.Snapshots,
    ):
        self.shared = shared
        self.applying = own_applying
        self.snapshots = own_snapshots
        self.source = ""

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            self.source = self._choose()
            followed = self.source != "" and await self._follow_once()
            if not followed:
                await trio.sleep(RETRY_SECONDS)
                self.source = ""

    def _choose(self) -> str:
        """Keeps the source, or takes another one at random."""
        shared = self.shared
        stale = shared.seconds_since_quorum() > shared.timing.election_seconds
        if self.source and not stale:
            return self.source
        names = {voter.name for voter in shared.members}
        names.update(shared.network.addresses)
        names.discard(shared.name)
        others = sorted(names - {self.source})
        return shared.rng.choice(others) if others else self.source

    async def _follow_once(self) -> bool:
        shared = self.shared
        request = message.Follow(shared.applied, WAIT_SECONDS)
        answer = await shared.network.call(
            self.source,
            "follow",
            message.encode(request),
            WAIT_SECONDS + shared.timing.call_seconds,
        )
        if isinstance(answer, outcomes.Refusal):
            return False
        reply = message.decode(answer, message.FollowReply)
        if reply.snapshot and not await self._fetch():
            return False
        for entry in reply.entries:
            if entry.position == shared.applied + 1:
                self.applying.apply_entry(entry)
        shared.move_commit(shared.applied)
        shared.applied_moved.notify()
        shared.compare_digest(self.source, reply.commit, reply.digest)
        self._take_news(reply)
        return True

    def _take_news(self, reply: message.FollowReply) -> None:
        shared = self.shared
        shared.followed_members = reply.members
        shared.followed_term = max(shared.followed_term, reply.term)
        member.learn_addresses(shared.network, reply.members)
        age = trio.current_time() - shared.heard_at + shared.heard_quorum_age
        if reply.quorum_age_seconds < age:
            shared.heard_from(reply.leader, reply.quorum_age_seconds)

    async def _fetch(self) -> bool:
        shared = self.shared
        framed = await self.snapshots.fetch(self.source)
        if framed is None:
            return False
        try:
            image = snapshots.decode_framed(framed)
        except errors.CorruptLogError:
            return False
        if image.position > shared.applied:
            snapshots.apply_image(shared, image)
        return True
