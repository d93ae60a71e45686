"""Leader election with pre-votes.

A replica that hears from no leader first asks whether it would be elected.
Without this pre-vote, a replica that was isolated would return with a newer
term and force the others into an election.

References:
    Diego Ongaro, "Consensus: Bridging Theory and Practice", sections 3.4,
    4.2.3 and 9.6.
"""

import trio

from turmerichall import outcomes
from turmerichall.agreement import entry_log
from turmerichall.agreement import leader_watch
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication
from turmerichall.telemetry import repeat_limit

__all__ = ["Election"]


class Election:
    """Campaigns when no leader is heard from, and leads when elected.

    Attributes:
        state: State of the replica.
        replication: Replicates the log while this replica leads.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_replication: replication.Replication,
    ):
        self.state = state
        self.replication = own_replication
        self._leader_watch = leader_watch.LeaderWatch(state, own_replication)
        self._failure_limit = repeat_limit.RepeatLimit()
        # The `leader_contact_at` after which silence was logged, if any.
        self._silent_since: float | None = None
        self._led_until = -float("inf")
        # The leader before a campaign that was lost.
        self._last_leader = ""

    async def run(self) -> None:
        """Take part in elections, until cancelled.

        Raises:
            StorageError: The journal failed.
        """
        while True:
            await self._wait_for_election_timeout()
            if not self.state.is_voter():
                await trio.sleep(self.state.timing.heartbeat_seconds)
            elif await self._campaign():
                await self._lead()
            self._save_resignation()

    def _save_resignation(self) -> None:
        """Record that this replica leads no more in the term of its own vote.

        After a restart it then trusts its disk, also while it is cut off.

        Raises:
            StorageError: The journal failed earlier.
        """
        raft_log = self.state.raft_log
        if raft_log.vote_state.may_lead(self.state.identity):
            raft_log.save_vote(raft_log.vote_state._replace(resigned=True))

    async def _lead(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leader_watch.run)
            await self.replication.lead()
            nursery.cancel_scope.cancel()
        self._silent_since = None
        self._led_until = trio.current_time()

    async def _wait_for_election_timeout(self) -> None:
        state = self.state
        timing = state.timing
        jitter = state.rng.random() * timing.election_jitter_seconds
        started = trio.current_time()
        while not state.elect_now:
            since = max(state.leader_contact_at, started)
            due = since + timing.election_seconds + jitter
            if trio.current_time() >= due:
                self._log_silence()
                return
            await state.election_requested.wait(due)
        state.elect_now = False

    def _log_silence(self) -> None:
        """Log that no leader is heard from, once until one is again."""
        state = self.state
        if self._silent_since == state.leader_contact_at:
            return
        self._silent_since = state.leader_contact_at
        since = max(state.leader_contact_at, state.started_at, self._led_until)
        state.log.warning(
            "no leader heard",
            term=state.term,
            last_leader=state.leader or self._last_leader,
            seconds=round(trio.current_time() - since, 3),
        )

    async def _campaign(self) -> bool:
        state = self.state
        term = state.term
        transfer = state.transfer_requested
        state.transfer_requested = False
        if not transfer and not await self._request_votes(
            term + 1, pre_vote=True
        ):
            return False
        if state.term != term or (self._has_live_leader() and not transfer):
            return False
        self._last_leader = state.leader or self._last_leader
        state.leader = ""
        state.role = replica_state.Role.CANDIDATE
        vote_state = entry_log.VoteState(term + 1, state.identity)
        await state.raft_log.journal.wait_durable(
            state.raft_log.save_vote(vote_state)
        )
        elected = (
            state.role == replica_state.Role.CANDIDATE
            and await self._request_votes(
                term + 1, pre_vote=False, transfer=transfer
            )
            and state.role == replica_state.Role.CANDIDATE
            and state.term == term + 1
        )
        if not elected:
            state.step_down()
        return elected

    async def _request_votes(
        self, term: int, pre_vote: bool, transfer: bool = False
    ) -> bool:
        """Ask the voters for their votes; return whether a majority agrees.

        Args:
            term: Term of the election.
            pre_vote: Whether to ask only how the voters would vote.
            transfer: Whether the current leader asked for this election.
        """
        voters = member.voters(self.state.members)
        granted = {self.state.identity}
        needed = len(voters) // 2 + 1
        unanswered: dict[str, str] = {}
        async with trio.open_nursery() as nursery:

            async def request_from(voter: member.Member) -> None:
                answer = await self._request_vote(
                    voter, term, pre_vote, transfer
                )
                if isinstance(answer, outcomes.Refusal):
                    unanswered[voter.name] = answer.reason.value
                elif answer:
                    granted.add(voter.identity)
                if len(granted) >= needed:
                    nursery.cancel_scope.cancel()

            for voter in voters:
                if voter.identity != self.state.identity:
                    nursery.start_soon(request_from, voter)
        won = len(granted) >= needed
        attempts = 0 if won else self._failure_limit.count(trio.current_time())
        if attempts:
            self.state.log.warning(
                "pre-vote not won" if pre_vote else "election not won",
                term=term,
                granted=len(granted),
                needed=needed,
                unanswered=unanswered,
                attempts=attempts,
            )
        return won

    async def _request_vote(
        self, voter: member.Member, term: int, pre_vote: bool, transfer: bool
    ) -> bool | outcomes.Refusal:
        """Return whether a voter grants its vote, or why it didn't answer."""
        state = self.state
        last_term, last_index = state.last_term_and_index()
        request = message.Vote(
            state.cluster,
            term,
            state.name,
            state.identity,
            voter.identity,
            last_index,
            last_term,
            pre_vote,
            transfer,
        )
        answer = await state.network.call(
            voter.name,
            "vote",
            message.encode(request),
            state.timing.call_seconds,
        )
        if isinstance(answer, outcomes.Refusal):
            return answer
        reply = message.decode(answer, message.VoteReply)
        state.observe_term(reply.term)
        return reply.granted

    def _has_live_leader(self) -> bool:
        state = self.state
        if state.role == replica_state.Role.LEADER:
            age = state.seconds_since_quorum()
        else:
            age = trio.current_time() - state.leader_contact_at
        return age < state.timing.election_seconds

    async def on_elect_now(self, sender: str, _: bytes) -> bytes:
        """Start an election at once, if the current leader asks for it."""
        state = self.state
        if sender == state.leader and state.is_voter():
            state.transfer_requested = True
            state.elect_now = True
            state.election_requested.notify_all()
        return b""

    async def on_vote(self, _: str, body: bytes) -> bytes:
        """Answer a candidate's request for the vote of this replica.

        If the vote is granted, it is made durable before the answer is sent.
        """
        state = self.state
        request = message.decode(body, message.Vote)
        granted = self._may_grant(request)
        if not request.pre_vote:
            if granted:
                state.observe_term(request.term)
                granted = state.raft_log.vote_state.voted_for in (
                    "",
                    request.candidate_identity,
                )
            if granted:
                vote_state = entry_log.VoteState(
                    request.term, request.candidate_identity
                )
                sequence = state.raft_log.save_vote(vote_state)
                await state.raft_log.journal.wait_durable(sequence)
        return message.encode(message.VoteReply(state.term, granted))

    def _may_grant(self, request: message.Vote) -> bool:
        state = self.state
        if request.cluster != state.cluster and state.cluster:
            return False
        if request.target_identity != state.identity:
            return False
        if request.term < state.term:
            return False
        if self._has_live_leader() and not request.transfer:
            return False
        last = (request.last_term, request.last_index)
        return last >= state.last_term_and_index()
