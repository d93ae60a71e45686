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
LONG_POLL_SECONDS = 1.0
MAX_LONG_POLL_SECONDS = 2.0
REPLY_TIMEOUT_SECONDS = 1.0
FRESHNESS_INTERVAL_SECONDS = 0.5
RETRY_SECONDS = 0.2


class EntrySource(Protocol):
    """Entries that are kept; see `EntryLog` and `RelayBuffer`."""

    base_index: int

    def entries_after(
        self, index: int, max_bytes: int
    ) -> tuple[message.Entry, ...]:
        """Returns the entries that follow an index, at least one if any."""


class StreamServer:
    """Gives committed entries to those that follow.

    Attributes:
        state: State of the replica.
        entries: The entries to give.
    """

    def __init__(self, state: replica_state.ReplicaState, entries: EntrySource):
        self.state = state
        self.entries = entries

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
        wait = min(request.wait_seconds, MAX_LONG_POLL_SECONDS)
        is_observer = state.role == replica_state.Role.OBSERVER
        if is_observer and state.lag_seconds() == float("inf"):
            wait = 0.0
        deadline = trio.current_time() + wait
        refresh_at = (
            trio.current_time()
            - request.lag_seconds
            + FRESHNESS_INTERVAL_SECONDS
        )
        await state.applied_advanced.wait_for(
            lambda: state.applied > request.after
            or state.up_to_date_at > refresh_at,
            deadline,
        )
        if state.stopped:
            # What was applied since then is not what the own log holds.
            raise errors.StorageError(state.stopped)
        needs_snapshot = request.after < self.entries.base_index
        entries: tuple[message.Entry, ...] = ()
        if not needs_snapshot and request.after < state.applied:
            entries = tuple(
                entry
                for entry in self.entries.entries_after(
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
                needs_snapshot,
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
            fault = await self._poll_source()
            if fault:
                self._report_failure(fault)
                await trio.sleep(RETRY_SECONDS)
            else:
                self.sources.record_success(self.source)

    def _report_failure(self, fault: str) -> None:
        state = self.state
        if self.source not in self.sources.backoffs:
            state.log.info("source failed", source=self.source, reason=fault)
        reason = outcomes.RetryReason.SOURCE_FAILED
        state.counters.retried("agreement", reason)
        self.sources.record_failure(self.source)

    async def _poll_source(self) -> str:
        """Takes one answer of the source.

        Returns:
            Why another one should be followed, or an empty string.
        """
        state = self.state
        lag = state.lag_seconds()
        request = message.Follow(state.applied, LONG_POLL_SECONDS, lag)
        answer = await state.network.call(
            self.source,
            "follow",
            message.encode(request),
            LONG_POLL_SECONDS + REPLY_TIMEOUT_SECONDS,
        )
        if isinstance(answer, outcomes.Refusal):
            return answer.reason.value
        reply = message.decode(answer, message.FollowReply)
        if reply.needs_snapshot and not await self._fetch_snapshot():
            # Who can't help at least tells who the replicas are.
            self._update_cluster_view(reply)
            return "no snapshot"
        for entry in reply.entries:
            if entry.position == state.applied + 1:
                self.applier.apply_entry(entry)
                self.relay_buffer.append(entry)
        state.advance_commit(state.applied)
        state.compare_digest(self.source, reply.commit, reply.digest)
        self._update_cluster_view(reply)
        state.applied_advanced.notify_all()
        return self._source_fault(reply, state.applied > request.after)

    def _source_fault(self, reply: message.FollowReply, moved: bool) -> str:
        """Returns what is wrong with a source, or an empty string."""
        lag = max(reply.lag_seconds, reply.quorum_age_seconds)
        limit = self.state.timing.election_seconds + LONG_POLL_SECONDS
        ahead = reply.commit - self.state.applied
        if lag > limit:
            return "cut off or behind"
        if ahead < 0:
            return "behind this instance"
        return "" if ahead == 0 or moved else "returned no entries"

    def _update_cluster_view(self, reply: message.FollowReply) -> None:
        state = self.state
        now = trio.current_time()
        if state.applied >= reply.commit:
            up_to_date_at = now - reply.lag_seconds
            state.up_to_date_at = max(state.up_to_date_at, up_to_date_at)
        state.observed_term = max(state.observed_term, reply.term)
        if reply.commit >= state.applied or not state.observed_members:
            state.observed_members = reply.members
            member.update_addresses(state.network, reply.members)
        age = now - state.leader_contact_at + state.leader_quorum_age
        if reply.quorum_age_seconds < age:
            state.record_leader_contact(reply.leader, reply.quorum_age_seconds)

    async def _fetch_snapshot(self) -> bool:
        """Fetches a snapshot; only replicas have one."""
        state = self.state
        framed = await self.snapshots.fetch(self.source)
        if framed is None:
            return False
        try:
            snapshot = snapshots.decode_framed(framed)
        except errors.CorruptLogError:
            return False
        if snapshot.position > state.applied:
            snapshots.apply_snapshot(state, snapshot)
            self.relay_buffer.restart(snapshot.position)
        return True
