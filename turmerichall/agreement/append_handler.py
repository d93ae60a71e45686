"""What a follower does with a leader's entries."""

from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import snapshots

__all__ = ["AppendHandler"]


class AppendHandler:
    """Takes entries and heartbeats from a leader.

    Attributes:
        state: State of the replica.
        snapshots: Fetches a snapshot when the leader says so.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_snapshots: snapshots.Snapshots,
    ):
        self.state = state
        self.snapshots = own_snapshots

    async def on_append(self, sender: str, body: bytes) -> bytes:
        """Answers a leader; what it accepts is durable before."""
        state = self.state
        request = message.decode(body, message.Append)
        if not self._is_for_us(request):
            return _reply(0, False, 0)
        state.saw_term(request.term)
        if request.term < state.term:
            return _reply(state.term, False, 0)
        if state.role != replica_state.Role.FOLLOWER:
            state.step_down()
        state.heard_from(request.leader, request.quorum_age_seconds)
        state.compare_digest(sender, request.applied, request.digest)
        if request.snapshot:
            self.snapshots.wanted_from(sender)
        if not self._matches(request):
            return _reply(state.term, False, self._next_try(request))
        self._take(request)
        match = request.previous_position + len(request.entries)
        journal = state.kept.journal
        await journal.wait_durable(journal.sequence)
        if request.term != state.term:
            return _reply(state.term, False, state.commit)
        state.move_commit(min(request.commit, match))
        return _reply(state.term, True, match)

    def _is_for_us(self, request: message.Append) -> bool:
        state = self.state
        if request.target_identity != state.identity:
            return False
        if not state.cluster and request.snapshot:
            return True
        if not state.cluster:
            state.cluster = request.cluster
        return request.cluster == state.cluster

    def _matches(self, request: message.Append) -> bool:
        kept = self.state.kept
        if request.previous_position < kept.base_index:
            # What a snapshot covers is committed, hence equal.
            return request.previous_position + len(request.entries) >= (
                kept.base_index
            )
        term = kept.term_at(request.previous_position)
        return term == request.previous_term

    def _next_try(self, request: message.Append) -> int:
        """Returns the index after which the leader should go on."""
        kept = self.state.kept
        if request.previous_position > kept.last_index:
            return kept.last_index
        # Everything of the conflicting term may differ.
        index = request.previous_position
        term = kept.term_at(index)
        while index > self.state.commit and kept.term_at(index) == term:
            index -= 1
        return max(index, self.state.commit)

    def _take(self, request: message.Append) -> None:
        kept = self.state.kept
        for entry in request.entries:
            term = kept.term_at(entry.position)
            if entry.position <= kept.base_index or term == entry.term:
                continue
            if term is not None:
                self._truncate_from(entry.position)
            kept.add(entry)

    def _truncate_from(self, index: int) -> None:
        state = self.state
        assert index > state.commit
        state.kept.truncate_from(index)
        state.recovered_at = min(state.recovered_at, index - 1)


def _reply(term: int, accepted: bool, match: int) -> bytes:
    return message.encode(message.AppendReply(term, accepted, match))
