"""Handling of append requests, by which a leader replicates its log."""

from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import snapshots

__all__ = ["AppendHandler"]


class AppendHandler:
    """Appends the entries that the leader sends, and answers its heartbeats.

    Attributes:
        state: State of the replica.
        snapshots: Fetches a snapshot when the leader tells this replica to.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_snapshots: snapshots.Snapshots,
    ):
        self.state = state
        self.snapshots = own_snapshots

    async def on_append(self, sender: str, body: bytes) -> bytes:
        """Append entries from a leader; answer once they are durable."""
        state = self.state
        request = message.decode(body, message.Append)
        if not self._is_addressed_here(request):
            return _reply(0, False, 0)
        state.observe_term(request.term)
        if request.term < state.term:
            return _reply(state.term, False, 0)
        if state.role != replica_state.Role.FOLLOWER:
            state.step_down()
        if request.leader != state.leader:
            state.log.info(
                "following leader", leader=request.leader, term=state.term
            )
        state.record_leader_contact(request.leader, request.quorum_age_seconds)
        state.compare_digest(sender, request.applied, request.digest)
        if request.snapshot:
            self.snapshots.request_from(sender)
        if not self._log_matches(request):
            return _reply(state.term, False, self._next_position(request))
        self._append_entries(request)
        match = request.previous_position + len(request.entries)
        journal = state.raft_log.journal
        await journal.wait_durable(journal.sequence)
        if request.term != state.term:
            return _reply(state.term, False, state.commit)
        state.advance_commit(min(request.commit, match))
        return _reply(state.term, True, match)

    def _is_addressed_here(self, request: message.Append) -> bool:
        state = self.state
        if request.target_identity != state.identity:
            return False
        if not state.cluster and request.snapshot:
            return True
        if not state.cluster:
            state.cluster = request.cluster
        return request.cluster == state.cluster

    def _log_matches(self, request: message.Append) -> bool:
        raft_log = self.state.raft_log
        if request.previous_position < raft_log.base_index:
            # Entries covered by a snapshot are committed, so they match the
            # leader's.
            return request.previous_position + len(request.entries) >= (
                raft_log.base_index
            )
        term = raft_log.term_at(request.previous_position)
        return term == request.previous_term

    def _next_position(self, request: message.Append) -> int:
        """Return the index after which the leader should resume sending.

        Called when the log lacks the entry before the sent ones or holds a
        different one.
        """
        raft_log = self.state.raft_log
        if request.previous_position > raft_log.last_index:
            return raft_log.last_index
        # The entry at this index has another term than the leader's.  Skip
        # all entries of that term at once, since each of them may differ.
        index = request.previous_position
        term = raft_log.term_at(index)
        while index > self.state.commit and raft_log.term_at(index) == term:
            index -= 1
        return max(index, self.state.commit)

    def _append_entries(self, request: message.Append) -> None:
        raft_log = self.state.raft_log
        for entry in request.entries:
            term = raft_log.term_at(entry.position)
            if entry.position <= raft_log.base_index or term == entry.term:
                continue
            if term is not None:
                self._truncate_from(entry.position)
            raft_log.append(entry)

    def _truncate_from(self, index: int) -> None:
        state = self.state
        assert index > state.commit
        state.raft_log.truncate_from(index)
        state.recovery_index = min(state.recovery_index, index - 1)


def _reply(term: int, accepted: bool, match: int) -> bytes:
    return message.encode(message.AppendReply(term, accepted, match))
