"""Streaming of committed entries to diskless instances by long polling."""

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

# How long this instance asks its source to wait for new entries, and how long
# it lets another instance wait at most.
LONG_POLL_SECONDS = 1.0
MAX_LONG_POLL_SECONDS = 2.0
# Time after the end of the requested wait at which a source that has not
# answered counts as unresponsive.
REPLY_TIMEOUT_SECONDS = 1.0
# A source without new entries answers before the end of the wait once this
# lowers the lag that the follower assumes for itself by more than this time.
FRESHNESS_INTERVAL_SECONDS = 0.5
RETRY_SECONDS = 0.2


class EntrySource(Protocol):
    """Holder of log entries in memory: an `EntryLog` or a `RelayBuffer`."""

    base_index: int

    def entries_after(
        self, index: int, max_bytes: int
    ) -> tuple[message.Entry, ...]:
        """Return the entries that follow an index, up to a size.

        At least one entry is returned if there is any.
        """


class StreamServer:
    """Serves committed entries to diskless instances.

    Attributes:
        state: State of the replica.
        entries: The entries to serve.
    """

    def __init__(self, state: replica_state.ReplicaState, entries: EntrySource):
        self.state = state
        self.entries = entries

    async def on_follow(self, _: str, body: bytes) -> bytes:
        """Answer with the entries that follow an index.

        If there are none yet, the answer waits for the first one.  A diskless
        instance that relays entries also answers when it learns that its own
        state is more recent than the follower knows, so that this news is not
        delayed at each level of the fan-out tree.  It answers at once while
        its own state was never known to be current.

        Raises:
            StorageError: The replica was stopped while the request waited.
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
            # After a disk failure, the replica applies entries that it gets
            # from other instances.  Its own log, from which this handler would
            # answer, may hold entries that were never committed.
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
    """Receives committed entries on a diskless instance.

    It follows one source, an instance that serves entries, at a time, and
    switches to another when that one fails or lags.

    Attributes:
        state: State of the replica.
        applier: Applies the received entries.
        snapshots: Fetches a snapshot when the source no longer has the next
            entry.
        sources: Chooses the source.
        relay_buffer: The last applied entries, to serve to others.
        source: Name of the current source; empty if there is none.
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
        """Follow the best available source, until cancelled."""
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
        """Send one request to the source and apply its answer.

        Returns:
            The reason to switch to another source; empty if there is none.
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
        if reply.snapshot and not await self._fetch_snapshot():
            # The source gave no snapshot, but its answer lists the members of
            # the cluster, from which one can be fetched.
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

    def _source_fault(self, reply: message.FollowReply, advanced: bool) -> str:
        """Return what is wrong with the source; empty if nothing is.

        Args:
            reply: Last answer of the source.
            advanced: Whether entries of this answer were applied.
        """
        lag = max(reply.lag_seconds, reply.quorum_age_seconds)
        limit = self.state.timing.election_seconds + LONG_POLL_SECONDS
        ahead = reply.commit - self.state.applied
        if lag > limit:
            return "cut off or behind"
        if ahead < 0:
            return "behind this instance"
        return "" if ahead == 0 or advanced else "returned no entries"

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
        """Fetch and apply a snapshot; only replicas with a disk have one.

        Returns:
            Whether the applied state is at least as new as the snapshot.
        """
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
