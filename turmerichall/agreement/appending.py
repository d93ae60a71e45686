"""What a follower does with a leader's entries."""

from turmerichall.agreement import message
from turmerichall.agreement import shared as agreement_shared
from turmerichall.agreement import snapshots

__all__ = ["Appending"]


class Appending:
    """Takes entries and heartbeats from a leader.

    Attributes:
        shared: State of the replica.
        snapshots: Fetches a snapshot when the leader says so.
    """

    def __init__(
        self,
        shared: agreement_shared.Shared,
        own_snapshots: snapshots.Snapshots,
    ):
        self.shared = shared
        self.snapshots = own_snapshots

    async def on_append(self, sender: str, body: bytes) -> bytes:
        """Answers a leader; what it accepts is durable before."""
        shared = self.shared
        request = message.decode(body, message.Append)
        if not self._is_for_us(request):
            return _reply(0, False, 0)
        shared.saw_term(request.term)
        if request.term < shared.term:
            return _reply(shared.term, False, 0)
        if shared.role != agreement_shared.Role.FOLLOWER:
            shared.step_down()
        shared.heard_from(request.leader, request.quorum_age_seconds)
        shared.compare_digest(sender, request.applied, request.digest)
        if request.snapshot:
            self.snapshots.wanted_from(sender)
        if not self._matches(request):
            return _reply(shared.term, False, self._next_try(request))
        self._take(request)
        match = request.previous_position + len(request.entries)
        journal = shared.kept.journal
        await journal.wait_durable(journal.sequence)
        if request.term != shared.term:
            return _reply(shared.term, False, shared.commit)
        shared.move_commit(min(request.commit, match))
        return _reply(shared.term, True, match)

    def _is_for_us(self, request: message.Append) -> bool:
        shared = self.shared
        if request.target_identity != shared.identity:
            return False
        if not shared.cluster and request.snapshot:
            return True
        if not shared.cluster:
            shared.cluster = request.cluster
        return request.cluster == shared.cluster

    def _matches(self, request: message.Append) -> bool:
        kept = self.shared.kept
        if request.previous_position < kept.base_index:
            # What a snapshot covers is committed, hence equal.
            return request.previous_position + len(request.entries) >= (
                kept.base_index
            )
        term = kept.term_at(request.previous_position)
        return term == request.previous_term

    def _next_try(self, request: message.Append) -> int:
        """Returns the index after which the leader should go on."""
        kept = self.shared.kept
        if request.previous_position > kept.last_index:
            return kept.last_index
        # Everything of the conflicting term may differ.
        index = request.previous_position
        term = kept.term_at(index)
        while index > self.shared.commit and kept.term_at(index) == term:
            index -= 1
        return max(index, self.shared.commit)

    def _take(self, request: message.Append) -> None:
        kept = self.shared.kept
        for entry in request.entries:
            term = kept.term_at(entry.position)
            if entry.position <= kept.base_index or term == entry.term:
                continue
            if term is not None:
                self._truncate_from(entry.position)
            kept.add(entry)

    def _truncate_from(self, index: int) -> None:
        shared = self.shared
        assert index > shared.commit
        shared.kept.truncate_from(index)
        shared.recovered_at = min(shared.recovered_at, index - 1)


def _reply(term: int, accepted: bool, match: int) -> bytes:
    return message.encode(message.AppendReply(term, accepted, match))
