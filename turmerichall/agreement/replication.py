"""Leader side of replication: one task per member sends missing entries."""

import functools

import trio

from turmerichall import outcomes
from turmerichall.agreement import append_call
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replica_state

__all__ = ["Replication"]

RETRY_SECONDS = 0.2


class Replication:
    """Replicates the log to the other members while this replica leads.

    Attributes:
        state: State of the replica.
        term_start: Index of the first entry of the leader's own term.
    """

    def __init__(self, state: replica_state.ReplicaState):
        self.state = state
        self.term_start = 0

    async def lead(self) -> None:
        """Lead until the quorum is lost or a newer term is seen.

        Raises:
            StorageError: The journal failed.
        """
        state = self.state
        state.role = replica_state.Role.LEADER
        state.leader = state.name
        state.progress.clear()
        state.own_match = 0
        state.log.info("became leader", term=state.term)
        self.append_entry(message.EntryKind.TERM_START, b"")
        self.term_start = state.raft_log.last_index
        state.role_changed.notify_all()
        with trio.CancelScope() as scope:
            state.leader_scope = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_quorum)
                nursery.start_soon(self._track_own_log)
                await self._watch_members(nursery)
        state.step_down()

    def append_entry(self, kind: message.EntryKind, data: bytes) -> int:
        """Append an entry to the log of this leader.

        Returns:
            The index of the entry.

        Raises:
            StorageError: The journal failed earlier.
        """
        raft_log = self.state.raft_log
        index = raft_log.last_index + 1
        raft_log.append(message.Entry(index, self.state.term, kind, data))
        self.state.send_needed.notify_all()
        return index

    async def _watch_members(self, nursery: trio.Nursery) -> None:
        """Start and cancel one replication task per other member."""
        state = self.state
        scopes: dict[str, trio.CancelScope] = {}
        while True:
            members = {
                other.identity: other
                for other in state.members
                if other.identity != state.identity
            }
            for identity in [each for each in scopes if each not in members]:
                scopes.pop(identity).cancel()
                state.progress.pop(identity, None)
            for identity in [each for each in members if each not in scopes]:
                scopes[identity] = trio.CancelScope()
                now = trio.current_time()
                state.progress[identity] = replica_state.Progress(
                    state.raft_log.last_index + 1, now
                )
                nursery.start_soon(
                    self._replicate, members[identity], scopes[identity]
                )
            self.advance_commit()
            await state.send_needed.wait_for(
                functools.partial(state.members_differ, state.members)
            )

    async def _watch_quorum(self) -> None:
        """Step down when no majority has answered for too long."""
        state = self.state
        limit = state.timing.election_seconds
        while True:
            due = state.quorum_contact_at() + limit
            if trio.current_time() >= due:
                state.log.warning("lost the quorum", term=state.term)
                state.step_down()
            await trio.sleep_until(due)

    async def _track_own_log(self) -> None:
        """Advance `own_match` as entries become durable on this replica."""
        state = self.state
        while True:
            index = state.raft_log.last_index
            journal = state.raft_log.journal
            await journal.wait_durable(journal.sequence)
            state.own_match = index
            self.advance_commit()
            await state.send_needed.wait_for(
                functools.partial(self._log_has_grown, index)
            )

    def _log_has_grown(self, index: int) -> bool:
        return self.state.raft_log.last_index > index

    def advance_commit(self) -> None:
        """Commit the entries that are durable at a majority of the voters."""
        state = self.state
        matches: list[float] = []
        for voter in member.voters(state.members):
            if voter.identity == state.identity:
                matches.append(state.own_match)
            else:
                progress = state.progress.get(voter.identity)
                matches.append(progress.match if progress else 0)
        if not matches:
            return
        index = int(member.majority_value(matches))
        # Entries of older terms are committed only together with an entry of
        # the current term.
        if index >= self.term_start and index > state.commit:
            state.advance_commit(index)
            state.send_needed.notify_all()

    async def _replicate(
        self, other: member.Member, scope: trio.CancelScope
    ) -> None:
        """Send entries and heartbeats to one member.

        After a message that failed, heartbeats without entries are sent until
        the member answers.  Otherwise the growing backlog would be sent at
        each retry for as long as the member is out.  etcd's raft has the same
        rule (`StateProbe` in its package `tracker`).
        """
        state = self.state
        progress = state.progress[other.identity]
        with scope:
            while True:
                request = self._next_append(other, progress)
                sent_at = trio.current_time()
                sent_round = state.barrier_round
                last_index = state.raft_log.last_index
                answer = await append_call.send(
                    state, other.name, request, progress
                )
                if isinstance(answer, outcomes.Refusal):
                    progress.probing = True
                    await trio.sleep(RETRY_SECONDS)
                    continue
                reply = message.decode(answer, message.AppendReply)
                state.observe_term(reply.term)
                if reply.term < request.term:
                    progress.probing = True
                    await trio.sleep(RETRY_SECONDS)
                    continue
                progress.probing = False
                append_call.record_answer(progress, sent_at, sent_round)
                self._handle_reply(progress, reply)
                state.acknowledged.notify_all()
                due = sent_at + state.timing.heartbeat_seconds
                if request.snapshot:
                    await trio.sleep(RETRY_SECONDS)
                    continue
                if request.entries and progress.next > last_index:
                    await self._wait_for_more_entries(sent_at, sent_round)
                await self._wait_until_send_due(
                    progress, request, sent_round, due
                )

    async def _wait_for_more_entries(
        self, sent_at: float, sent_round: int
    ) -> None:
        """Wait until the next message with entries may follow one with entries.

        Each message costs the leader far more than an entry in it.  A message
        after a pause is not delayed, and neither is a barrier, nor the next
        entries for a member that catches up.

        Args:
            sent_at: When the last message was sent to the member, trio time.
            sent_round: Value of `barrier_round` at that time.
        """
        state = self.state
        next_at = sent_at + state.timing.append_interval_seconds
        await state.send_needed.wait_for(
            lambda: state.barrier_round > sent_round, next_at
        )

    async def _wait_until_send_due(
        self,
        progress: replica_state.Progress,
        sent: message.Append,
        sent_round: int,
        due: float,
    ) -> None:
        """Wait until the next message to a member is due.

        Entries and barriers are sent at once.  A new commit index alone is
        delayed, because the next entries often carry it.

        Args:
            progress: Progress of the member.
            sent: The last message that was sent to the member.
            sent_round: Value of `barrier_round` when it was sent.
            due: When the next heartbeat is due, trio time.
        """
        state = self.state
        is_urgent = functools.partial(self._is_urgent, progress, sent_round)
        has_update = functools.partial(
            self._has_update, progress, sent, sent_round
        )
        delay = state.timing.commit_delay_seconds
        commit_due = min(trio.current_time() + delay, due)
        if not await state.send_needed.wait_for(is_urgent, commit_due):
            await state.send_needed.wait_for(has_update, due)

    def _is_urgent(
        self, progress: replica_state.Progress, sent_round: int
    ) -> bool:
        state = self.state
        behind = progress.next <= state.raft_log.last_index
        return behind or state.barrier_round > sent_round

    def _has_update(
        self,
        progress: replica_state.Progress,
        sent: message.Append,
        sent_round: int,
    ) -> bool:
        commit_sent = sent.commit >= self.state.commit
        return not commit_sent or self._is_urgent(progress, sent_round)

    def _next_append(
        self, other: member.Member, progress: replica_state.Progress
    ) -> message.Append:
        state = self.state
        raft_log = state.raft_log
        progress.next = min(progress.next, raft_log.last_index + 1)
        previous = progress.next - 1
        needs_snapshot = previous < raft_log.base_index
        if needs_snapshot:
            previous = raft_log.base_index
        entries: tuple[message.Entry, ...] = ()
        if not needs_snapshot and not progress.probing:
            entries = raft_log.entries_after(previous, state.timing.batch_bytes)
        return message.Append(
            state.cluster,
            state.term,
            state.name,
            other.identity,
            previous,
            raft_log.term_at(previous) or 0,
            entries,
            state.commit,
            state.seconds_since_quorum(),
            needs_snapshot,
            state.applied,
            state.digest,
        )

    def _handle_reply(
        self, progress: replica_state.Progress, reply: message.AppendReply
    ) -> None:
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next = progress.match + 1
            self.advance_commit()
        else:
            progress.next = max(1, reply.match + 1)

    async def confirm_leadership(self, deadline: float) -> bool:
        """Confirm with a majority that this replica still leads.

        Args:
            deadline: When to give up, trio time.

        Returns:
            Whether a majority answered a message that was sent after the call.
        """
        state = self.state
        term = state.term
        state.barrier_round += 1
        sent_in = state.barrier_round
        state.send_needed.notify_all()

        def settled() -> bool:
            leads = state.role == replica_state.Role.LEADER
            if not leads or state.term != term:
                return True
            return self._acked_round() >= sent_in

        await state.acknowledged.wait_for(settled, deadline)
        return (
            state.role == replica_state.Role.LEADER
            and state.term == term
            and self._acked_round() >= sent_in
        )

    async def transfer_leadership(self, deadline: float) -> bool:
        """Transfer leadership to the most up-to-date connected voter.

        Args:
            deadline: When to give up, trio time.

        Returns:
            Whether this replica no longer leads.
        """
        state = self.state
        if state.role != replica_state.Role.LEADER:
            return True
        successor = self._successor()
        if successor is None:
            return False
        state.transferring = True
        try:
            last = state.raft_log.last_index
            progress = state.progress[successor.identity]
            await state.acknowledged.wait_for(
                lambda: progress.match >= last, deadline
            )
            remaining = max(deadline - trio.current_time(), 0.0)
            await self._request_election(successor, remaining)
            return await state.role_changed.wait_for(
                lambda: state.role != replica_state.Role.LEADER, deadline
            )
        finally:
            state.transferring = False

    async def name_successor(self) -> None:
        """Ask another voter to campaign after this leader's disk has failed.

        Otherwise the voters would notice only after their election timeout.
        """
        successor = self._successor()
        if successor is not None:
            timeout_seconds = self.state.timing.call_seconds
            await self._request_election(successor, timeout_seconds)

    def _successor(self) -> member.Member | None:
        """Return the most up-to-date connected voter, if there is any."""
        state = self.state
        recent = trio.current_time() - state.timing.election_seconds
        others = [
            voter
            for voter in member.voters(state.members)
            if state.answered_at(voter) > recent
        ]
        return max(
            others,
            key=lambda voter: (
                state.progress[voter.identity].match,
                voter.name,
            ),
            default=None,
        )

    async def _request_election(
        self, voter: member.Member, timeout_seconds: float
    ) -> None:
        await self.state.network.call(
            voter.name, "elect_now", b"", timeout_seconds
        )

    def _acked_round(self) -> float:
        state = self.state
        rounds: list[float] = []
        for voter in member.voters(state.members):
            if voter.identity == state.identity:
                rounds.append(state.barrier_round)
            else:
                progress = state.progress.get(voter.identity)
                rounds.append(progress.acked_round if progress else -1)
        return member.majority_value(rounds)
