"""The stream of committed entries to instances without a disk."""

from typing import Protocol

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import applier
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import relay_buffer
from turmerichall.agreement import replica_state
from turmerichall.agreement import snapshots
from turmerichall.agreement import sources

__all__ = ["StreamFollower", "StreamServer"]

# How long a follower waits for news, and at most lets another one wait.
WAIT_SECONDS = 1.0
MAX_WAIT_SECONDS = 2.0
SILENT_SECONDS = 1.0
NEWS_SECONDS = 0.5
RETRY_SECONDS = 0.2


class Kept(Protocol):
    """Entries that are kept; see `EntryLog` and `RelayBuffer`."""

    base_index: int

    def after(self, index: int, max_bytes: int) -> tuple[message.Entry, ...]:
        """Returns the entries that follow an index, at least one if any."""


class StreamServer:
    """Gives committed entries to those that follow.

    Attributes:
        state: State of the replica.
        kept: The entries to give.
    """

    def __init__(self, state: replica_state.ReplicaState, kept: Kept):
        self.state = state
        self.kept = kept

    async def on_follow(self, _: str, body: bytes) -> bytes:
        """Answers with what follows an index, or after waiting for it.

        An instance without a disk also answers when it heard of a quorum
        anew, so that the news is not held up at each instance on its way, and
        at once while it has not caught up itself.

        Raises:
            StorageError: The replica was stopped meanwhile.
        """
        state = self.state
        request = message.decode(body, message.Follow)
        wait = min(request.wait_seconds, MAX_WAIT_SECONDS)
        is_observer = state.role == replica_state.Role.OBSERVER
        if is_observer and state.lag_seconds() == float("inf"):
            wait = 0.0
        deadline = trio.current_time() + wait
        news_at = trio.current_time() - request.lag_seconds + NEWS_SECONDS
        await state.applied_advanced.wait_for(
            lambda: state.applied > request.after or state.fresh_at > news_at,
            deadline,
        )
        if state.stopped:
            # What was applied since then is not what the own log holds.
            raise errors.StorageError(state.stopped)
        snapshot = request.after < self.kept.base_index
        entries: tuple[message.Entry, ...] = ()
        if not snapshot and request.after < state.applied:
            entries = tuple(
                entry
                for entry in self.kept.after(
                    request.after, state.timing.batch_bytes
                )
                if entry.position <= state.applied
            )
        return message.encode(
            message.FollowReply(
                state.leader,
                state.term,
                state.applied,
                state.members,
                entries,
                snapshot,
                state.seconds_since_quorum(),
                state.digest,
                state.lag_seconds(),
            )
        )


class StreamFollower:
    """Follows one instance at a time and another one when it falls behind.

    Attributes:
        state: State of the replica.
        applier: Applies what arrives.
        snapshots: Fetches a snapshot when it is needed.
        sources: Chooses whom to follow.
        relay_buffer: What was applied, for others.
        source: Instance that is followed, or empty.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_applier: applier.Applier,
        own_snapshots: snapshots.Snapshots,
        own_sources: sources.Sources,
    ):
        self.state = state
        self.applier = own_applier
        self.snapshots = own_snapshots
        self.sources = own_sources
        self.relay_buffer = relay_buffer.RelayBuffer()
        self.source = ""

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            self.source = self.sources.choose()
            if self.source == "":
                await trio.sleep(RETRY_SECONDS)
                continue
            fault = await self._follow_once()
            if fault:
                self._note_failed(fault)
                await trio.sleep(RETRY_SECONDS)
            else:
                self.sources.worked(self.source)

    def _note_failed(self, fault: str) -> None:
        state = self.state
        if self.source not in self.sources.avoided:
            state.log.info("source failed", source=self.source, reason=fault)
        reason = outcomes.RetryReason.SOURCE_FAILED
        state.counters.retried("agreement", reason)
        self.sources.failed(self.source)

    async def _follow_once(self) -> str:
        """Takes one answer of the source.

        Returns:
            Why another one should be followed, or an empty string.
        """
        state = self.state
        lag = state.lag_seconds()
        request = message.Follow(state.applied, WAIT_SECONDS, lag)
        answer = await state.network.call(
            self.source,
            "follow",
            message.encode(request),
            WAIT_SECONDS + SILENT_SECONDS,
        )
        if isinstance(answer, outcomes.Refusal):
            return answer.reason.value
        reply = message.decode(answer, message.FollowReply)
        if reply.snapshot and not await self._fetch():
            # Who can't help at least tells who the replicas are.
            self._take_news(reply)
            return "no snapshot"
        for entry in reply.entries:
            if entry.position == state.applied + 1:
                self.applier.apply_entry(entry)
                self.relay_buffer.add(entry)
        state.move_commit(state.applied)
        state.compare_digest(self.source, reply.commit, reply.digest)
        self._take_news(reply)
        state.applied_advanced.notify_all()
        return self._fault_of(reply, state.applied > request.after)

    def _fault_of(self, reply: message.FollowReply, moved: bool) -> str:
        """Returns what is wrong with a source, or an empty string."""
        lag = max(reply.lag_seconds, reply.quorum_age_seconds)
        limit = self.state.timing.election_seconds + WAIT_SECONDS
        ahead = reply.commit - self.state.applied
        if lag > limit:
            return "cut off or behind"
        if ahead < 0:
            return "behind this instance"
        return "" if ahead == 0 or moved else "gives nothing"

    def _take_news(self, reply: message.FollowReply) -> None:
        state = self.state
        now = trio.current_time()
        if state.applied >= reply.commit:
            fresh_at = now - reply.lag_seconds
            state.fresh_at = max(state.fresh_at, fresh_at)
        state.followed_term = max(state.followed_term, reply.term)
        if reply.commit >= state.applied or not state.followed_members:
            state.followed_members = reply.members
            member.learn_addresses(state.network, reply.members)
        age = now - state.heard_at + state.heard_quorum_age
        if reply.quorum_age_seconds < age:
            state.heard_from(reply.leader, reply.quorum_age_seconds)

    async def _fetch(self) -> bool:
        """Fetches a snapshot; only replicas have one."""
        state = self.state
        framed = await self.snapshots.fetch(self.source)
        if framed is None:
            return False
        try:
            image = snapshots.decode_framed(framed)
        except errors.CorruptLogError:
            return False
        if image.position > state.applied:
            snapshots.apply_image(state, image)
            self.relay_buffer.restart(image.position)
        return True
