"""Election of a leader.

A replica that hears of no leader first asks how a vote would go, so one that
was isolated doesn't disturb the others with newer terms when it returns.

References:
    Diego Ongaro, "Consensus: Bridging Theory and Practice", sections 3.4,
    4.2.3 and 9.6.
"""

import trio

from turmerichall import outcomes
from turmerichall.agreement import entry_log
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replication
from turmerichall.agreement import shared as agreement_shared

__all__ = ["Election"]


class Election:
    """Waits for a leader to fall silent, campaigns, and leads.

    Attributes:
        shared: State of the replica.
        replication: What a leader does.
    """

    def __init__(
        self,
        shared: agreement_shared.Shared,
        replicating: replication.Replication,
    ):
        self.shared = shared
        self.replication = replicating

    async def run(self) -> None:
        """Takes part in elections until cancelled.

        Raises:
            StorageError: The journal failed.
        """
        while True:
            await self._wait_for_silence()
            if not self.shared.is_voter():
                await trio.sleep(self.shared.timing.heartbeat_seconds)
            elif await self._campaign():
                await self.replication.lead()

    async def _wait_for_silence(self) -> None:
        shared = self.shared
        timing = shared.timing
        jitter = shared.rng.random() * timing.election_jitter_seconds
        started = trio.current_time()
        while not shared.elect_now:
            since = max(shared.heard_at, started)
            due = since + timing.election_seconds + jitter
            if trio.current_time() >= due:
                return
            await shared.founded.wait(due)
        shared.elect_now = False

    async def _campaign(self) -> bool:
        shared = self.shared
        term = shared.term
        transfer = shared.transfer
        shared.transfer = False
        if not transfer and not await self._poll(term + 1, trial=True):
            return False
        if shared.term != term or (self._hears_a_leader() and not transfer):
            return False
        shared.leader = ""
        shared.role = agreement_shared.Role.CANDIDATE
        ballot = entry_log.Ballot(term + 1, shared.identity)
        await shared.kept.journal.wait_durable(shared.kept.save_ballot(ballot))
        elected = (
            shared.role == agreement_shared.Role.CANDIDATE
            and await self._poll(term + 1, trial=False, transfer=transfer)
            and shared.role == agreement_shared.Role.CANDIDATE
            and shared.term == term + 1
        )
        if not elected:
            shared.step_down()
        return elected

    async def _poll(
        self, term: int, trial: bool, transfer: bool = False
    ) -> bool:
        """Asks all voters; returns whether a majority grants its vote."""
        voters = member.voters(self.shared.members)
        granted = {self.shared.identity}
        needed = len(voters) // 2 + 1
        async with trio.open_nursery() as nursery:

            async def ask(voter: member.Member) -> None:
                if await self._ask(voter, term, trial, transfer):
                    granted.add(voter.identity)
                if len(granted) >= needed:
                    nursery.cancel_scope.cancel()

            for voter in voters:
                if voter.identity != self.shared.identity:
                    nursery.start_soon(ask, voter)
        return len(granted) >= needed

    async def _ask(
        self, voter: member.Member, term: int, trial: bool, transfer: bool
    ) -> bool:
        shared = self.shared
        last_term, last_index = shared.last_entry()
        request = message.Vote(
            shared.cluster,
            term,
            shared.name,
            shared.identity,
            voter.identity,
            last_index,
            last_term,
            trial,
            transfer,
        )
        answer = await shared.network.call(
            voter.name,
            "vote",
            message.encode(request),
            shared.timing.call_seconds,
        )
        if isinstance(answer, outcomes.Refusal):
            return False
        reply = message.decode(answer, message.VoteReply)
        shared.saw_term(reply.term)
        return reply.granted

    def _hears_a_leader(self) -> bool:
        shared = self.shared
        if shared.role == agreement_shared.Role.LEADER:
            age = shared.seconds_since_quorum()
        else:
            age = trio.current_time() - shared.heard_at
        return age < shared.timing.election_seconds

    async def on_elect_now(self, sender: str, _: bytes) -> bytes:
        """Campaigns at once, if the leader asks for it."""
        shared = self.shared
        if sender == shared.leader and shared.is_voter():
            shared.transfer = True
            shared.elect_now = True
            shared.founded.notify()
        return b""

    async def on_vote(self, _: str, body: bytes) -> bytes:
        """Answers a candidate; a vote is durable before it is given."""
        shared = self.shared
        request = message.decode(body, message.Vote)
        granted = self._would_grant(request)
        if not request.trial:
            if granted:
                shared.saw_term(request.term)
                granted = shared.kept.ballot.voted_for in (
                    "",
                    request.candidate_identity,
                )
            if granted:
                ballot = entry_log.Ballot(
                    request.term, request.candidate_identity
                )
                sequence = shared.kept.save_ballot(ballot)
                await shared.kept.journal.wait_durable(sequence)
        return message.encode(message.VoteReply(shared.term, granted))

    def _would_grant(self, request: message.Vote) -> bool:
        shared = self.shared
        if request.cluster != shared.cluster and shared.cluster:
            return False
        if request.target_identity != shared.identity:
            return False
        if request.term < shared.term:
            return False
        if self._hears_a_leader() and not request.transfer:
            return False
        last = (request.last_term, request.last_index)
        return last >= shared.last_entry()
