"""What a leader does: one task sends each member what it lacks."""

import functools

import trio

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import shared as agreement_shared

__all__ = ["Replication"]

RETRY_SECONDS = 0.2


class Replication:
    """Appends entries as a leader and takes them as a follower.

    Attributes:
        shared: State of the replica.
        term_start: Index of the first entry of the own term, while leading.
    """

    def __init__(self, shared: agreement_shared.Shared):
        self.shared = shared
        self.term_start = 0

    async def lead(self) -> None:
        """Leads until the quorum or the term is lost.

        Raises:
            StorageError: The journal failed.
        """
        shared = self.shared
        shared.role = agreement_shared.Role.LEADER
        shared.leader = shared.name
        shared.progress.clear()
        shared.own_match = 0
        shared.log.info("became leader", term=shared.term)
        self.add_entry(message.EntryKind.TERM_START, b"")
        self.term_start = shared.kept.last_index
        shared.role_changed.notify()
        with trio.CancelScope() as scope:
            shared.leading = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_quorum)
                nursery.start_soon(self._sync_own)
                await self._watch_members(nursery)
        shared.step_down()

    def add_entry(self, kind: message.EntryKind, data: bytes) -> int:
        """Appends an entry as the leader.

        Returns:
            Its index.

        Raises:
            StorageError: The journal failed before.
        """
        kept = self.shared.kept
        index = kept.last_index + 1
        kept.add(message.Entry(index, self.shared.term, kind, data))
        self.shared.work.notify()
        return index

    async def _watch_members(self, nursery: trio.Nursery) -> None:
        """Keeps one task for each other member."""
        shared = self.shared
        scopes: dict[str, trio.CancelScope] = {}
        while True:
            members = {
                other.identity: other
                for other in shared.members
                if other.identity != shared.identity
            }
            for identity in [each for each in scopes if each not in members]:
                scopes.pop(identity).cancel()
                shared.progress.pop(identity, None)
            for identity in [each for each in members if each not in scopes]:
                scopes[identity] = trio.CancelScope()
                now = trio.current_time()
                shared.progress[identity] = agreement_shared.Progress(
                    shared.kept.last_index + 1, now
                )
                nursery.start_soon(
                    self._replicate, members[identity], scopes[identity]
                )
            self.advance_commit()
            await shared.work.until(
                functools.partial(shared.members_differ, shared.members)
            )

    async def _watch_quorum(self) -> None:
        """Steps down when no majority answers any more."""
        shared = self.shared
        limit = shared.timing.election_seconds
        while True:
            due = shared.quorum_heard_at() + limit
            if trio.current_time() >= due:
                shared.log.warning("lost the quorum", term=shared.term)
                shared.step_down()
            await trio.sleep_until(due)

    async def _sync_own(self) -> None:
        """Counts own entries once they are durable."""
        shared = self.shared
        while True:
            index = shared.kept.last_index
            journal = shared.kept.journal
            await journal.wait_durable(journal.sequence)
            shared.own_match = index
            self.advance_commit()
            await shared.work.until(functools.partial(self._longer, index))

    def _longer(self, index: int) -> bool:
        return self.shared.kept.last_index > index

    def advance_commit(self) -> None:
        """Commits what a majority of the voters has made durable."""
        shared = self.shared
        matches: list[float] = []
        for voter in member.voters(shared.members):
            if voter.identity == shared.identity:
                matches.append(shared.own_match)
            else:
                known = shared.progress.get(voter.identity)
                matches.append(known.match if known else 0)
        if not matches:
            return
        index = int(member.majority_value(matches))
        # Entries of older terms are committed only with one of the own term.
        if index >= self.term_start and index > shared.commit:
            shared.move_commit(index)
            shared.work.notify()

    async def _replicate(
        self, other: member.Member, scope: trio.CancelScope
    ) -> None:
        """Keeps one member up to date and in contact."""
        shared = self.shared
        progress = shared.progress[other.identity]
        with scope:
            while True:
                request = self._next_append(other, progress)
                sent_at = trio.current_time()
                sent_round = shared.round
                answer = await shared.network.call(
                    other.name,
                    "append",
                    message.encode(request),
                    shared.timing.call_seconds,
                )
                if isinstance(answer, outcomes.Refusal):
                    await trio.sleep(RETRY_SECONDS)
                    continue
                reply = message.decode(answer, message.AppendReply)
                shared.saw_term(reply.term)
                if reply.term < request.term:
                    await trio.sleep(RETRY_SECONDS)
                    continue
                progress.acked_sent_at = sent_at
                progress.acked_round = sent_round
                self._take_reply(progress, reply)
                shared.acked.notify()
                due = sent_at + shared.timing.heartbeat_seconds
                if request.snapshot:
                    await trio.sleep(RETRY_SECONDS)
                    continue
                await self._wait_for_news(progress, request, sent_round, due)

    async def _wait_for_news(
        self,
        progress: agreement_shared.Progress,
        sent: message.Append,
        sent_round: int,
        due: float,
    ) -> None:
        """Waits until a member should be sent something.

        Entries and barriers are sent at once.  A commit alone waits a little,
        because the next entries often carry it.
        """
        shared = self.shared
        is_urgent = functools.partial(self._is_urgent, progress, sent_round)
        has_news = functools.partial(self._has_news, progress, sent, sent_round)
        patience = shared.timing.commit_notice_seconds
        notice_due = min(trio.current_time() + patience, due)
        if not await shared.work.until(is_urgent, notice_due):
            await shared.work.until(has_news, due)

    def _is_urgent(
        self, progress: agreement_shared.Progress, sent_round: int
    ) -> bool:
        shared = self.shared
        behind = progress.next <= shared.kept.last_index
        return behind or shared.round > sent_round

    def _has_news(
        self,
        progress: agreement_shared.Progress,
        sent: message.Append,
        sent_round: int,
    ) -> bool:
        told = sent.commit >= self.shared.commit
        return not told or self._is_urgent(progress, sent_round)

    def _next_append(
        self, other: member.Member, progress: agreement_shared.Progress
    ) -> message.Append:
        shared = self.shared
        kept = shared.kept
        progress.next = min(progress.next, kept.last_index + 1)
        previous = progress.next - 1
        snapshot = previous < kept.base_index
        if snapshot:
            previous = kept.base_index
        entries: tuple[message.Entry, ...] = ()
        if not snapshot:
            entries = kept.after(previous, shared.timing.batch_bytes)
        return message.Append(
            shared.cluster,
            shared.term,
            shared.name,
            other.identity,
            previous,
            kept.term_at(previous) or 0,
            entries,
            shared.commit,
            shared.seconds_since_quorum(),
            snapshot,
            shared.applied,
            shared.digest,
        )

    def _take_reply(
        self, progress: agreement_shared.Progress, reply: message.AppendReply
    ) -> None:
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next = progress.match + 1
            self.advance_commit()
        else:
            progress.next = max(1, reply.match + 1)

    async def confirm(self, deadline: float) -> bool:
        """Confirms that this replica still leads, by a round of answers.

        Args:
            deadline: When to give up, trio time.

        Returns:
            Whether a majority answered a message sent after the call.
        """
        shared = self.shared
        term = shared.term
        shared.round += 1
        wanted = shared.round
        shared.work.notify()

        def settled() -> bool:
            leads = shared.role == agreement_shared.Role.LEADER
            if not leads or shared.term != term:
                return True
            return self._acked_round() >= wanted

        await shared.acked.until(settled, deadline)
        return (
            shared.role == agreement_shared.Role.LEADER
            and shared.term == term
            and self._acked_round() >= wanted
        )

    async def hand_over(self, deadline: float) -> bool:
        """Lets the voter that is furthest ahead lead in place of this one.

        Args:
            deadline: When to give up, trio time.

        Returns:
            Whether this replica leads no more.
        """
        shared = self.shared
        if shared.role != agreement_shared.Role.LEADER:
            return True
        recent = trio.current_time() - shared.timing.election_seconds
        others = [
            (shared.progress[voter.identity].match, voter.name, voter.identity)
            for voter in member.voters(shared.members)
            if voter.identity in shared.progress
            and shared.progress[voter.identity].acked_sent_at > recent
        ]
        if not others:
            return False
        _, name, identity = max(others)
        shared.handing_over = True
        try:
            last = shared.kept.last_index
            progress = shared.progress[identity]
            await shared.acked.until(lambda: progress.match >= last, deadline)
            rest = max(deadline - trio.current_time(), 0.0)
            await shared.network.call(name, "elect_now", b"", rest)
            return await shared.role_changed.until(
                lambda: shared.role != agreement_shared.Role.LEADER, deadline
            )
        finally:
            shared.handing_over = False

    def _acked_round(self) -> float:
        shared = self.shared
        rounds: list[float] = []
        for voter in member.voters(shared.members):
            if voter.identity == shared.identity:
                rounds.append(shared.round)
            else:
                known = shared.progress.get(voter.identity)
                rounds.append(known.acked_round if known else -1)
        return member.majority_value(rounds)
