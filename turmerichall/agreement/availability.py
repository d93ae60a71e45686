"""Which members the leader of a cluster can count on."""

import functools

import trio

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replica_state

__all__ = ["Availability", "STANDBY", "has_live_majority", "losses_borne"]

# Answer to a replica that stops, if a learner may take over its vote.
STANDBY = b"standby"
# A learner that lacks at most this many entries counts as caught up.
MAX_LEARNER_LAG_ENTRIES = 100
# A learner may replace a voter that has not answered for this many election
# timeouts.  A successor must vote within 4 s of its start on the platform, of
# which an election and its join already take up to 2.5 s.
REPLACE_VOTER_ELECTIONS = 1.5
# A learner that has not answered for this long is removed, since it may be
# gone for good; if it returns, it joins again.
REMOVE_LEARNER_AFTER_SECONDS = 30.0
# An announced stop is forgotten after this long.  A replica that waits for its
# successor repeats the announcement, and one that returns after its restart
# must be able to vote again.
DEPARTURE_SECONDS = 1.5


class Availability:
    """Tells which voters should be replaced, and which learners may vote.

    Attributes:
        state: State of the replica.
        departing: When each replica announced that it stops, trio time, by
            identity.
    """

    def __init__(self, state: replica_state.ReplicaState):
        self.state = state
        self.departing: dict[str, float] = {}
        # The last other leader, and when it was last heard from, trio time.
        self._previous_leader = ""
        self._previous_contact_at = -float("inf")

    async def on_departing(self, _: str, body: bytes) -> bytes:
        """Record that a replica is about to stop.

        As the leader, answer with the index of the last membership change: the
        replica may stop once it knows that change, since no later one makes it
        a voter.
        """
        state = self.state
        self.record_departure(message.decode(body, message.Departing).identity)
        if state.role != replica_state.Role.LEADER:
            reason = outcomes.RefusalReason.NOT_LEADER
            return message.encode(state.refuse(reason, "not the leader"))
        index = state.raft_log.members_index
        result = STANDBY if self.has_standby() else b""
        return message.encode(
            message.Outcome(message.OutcomeKind.RESULT, index, result)
        )

    def has_standby(self) -> bool:
        """Return whether a learner answers this leader and will not stop."""
        state = self.state
        recent = trio.current_time() - state.timing.election_seconds
        return any(
            state.answered_at(learner) > recent
            for learner in member.learners(state.members)
            if learner.identity not in self.departing
        )

    def record_departure(self, identity: str) -> None:
        """Record that the replica with an identity is about to stop."""
        state = self.state
        known = member.find(state.members, identity)
        repeated = identity in self.departing
        self.departing[identity] = trio.current_time()
        if known is not None and not repeated:
            state.log.info("replica stops", name=known.name, voter=known.voter)

    def observe(self) -> None:
        """Note the current leader, and forget announcements that are old.

        Called several times in each heartbeat period.
        """
        state = self.state
        if state.leader not in ("", state.name):
            self._previous_leader = state.leader
            self._previous_contact_at = state.leader_contact_at
        now = trio.current_time()
        for identity, announced_at in list(self.departing.items()):
            if now - announced_at > DEPARTURE_SECONDS:
                del self.departing[identity]

    def caught_up(self) -> frozenset[str]:
        """Return the identities of the learners that may become voters."""
        state = self.state
        now = trio.current_time()
        found = set()
        for learner in member.learners(state.members):
            progress = state.progress.get(learner.identity)
            if progress is None or learner.identity in self.departing:
                continue
            lag_is_small = (
                progress.match
                >= state.raft_log.last_index - MAX_LEARNER_LAG_ENTRIES
            )
            recent = (
                now - progress.acked_sent_at < state.timing.election_seconds
            )
            if progress.match > 0 and lag_is_small and recent:
                found.add(learner.identity)
        return frozenset(found)

    def departing_voters(self) -> tuple[str, ...]:
        """Return the identities of the voters that answer, but will stop."""
        state = self.state
        return tuple(
            voter.identity
            for voter in member.voters(state.members)
            if voter.identity in self.departing
            and voter.identity in state.progress
            and not self._is_unresponsive(voter)
        )

    def unresponsive_voters(self) -> tuple[str, ...]:
        """Return the identities of the voters that do not answer this leader.

        One that announced its stop counts as soon as a message to it fails.
        """
        return tuple(
            voter.identity
            for voter in member.voters(self.state.members)
            if self._is_unresponsive(voter)
        )

    def _is_unresponsive(self, voter: member.Member) -> bool:
        """Return whether a voter has not answered for too long.

        The silence of the previous leader counts from its last message, so
        that the time of the election does not delay its replacement.
        """
        state = self.state
        progress = state.progress.get(voter.identity)
        if progress is None:
            return False
        if voter.identity in self.departing and progress.probing:
            return True
        limit = REPLACE_VOTER_ELECTIONS * state.timing.election_seconds
        now = trio.current_time()
        silence = now - progress.acked_sent_at
        if silence > limit:
            return True
        return (
            voter.name == self._previous_leader
            and progress.match == 0
            and silence > state.timing.heartbeat_seconds
            and now - self._previous_contact_at > limit
        )

    def lapsed_learners(self) -> frozenset[str]:
        """Return the identities of the learners that are to be removed."""
        now = trio.current_time()
        return frozenset(
            learner.identity
            for learner in member.learners(self.state.members)
            if learner.identity in self.state.progress
            and now - self.state.answered_at(learner)
            > REMOVE_LEARNER_AFTER_SECONDS
        )


def _is_live(state: replica_state.ReplicaState, voter: member.Member) -> bool:
    recent = trio.current_time() - state.timing.election_seconds
    return voter.identity == state.identity or state.answered_at(voter) > recent


def has_live_majority(
    state: replica_state.ReplicaState, members: member.Members
) -> bool:
    """Return whether a majority of the voters among members answers.

    Only for a leader.
    """
    voters = member.voters(members)
    live = sum(map(functools.partial(_is_live, state), voters))
    return live > len(voters) // 2


def losses_borne(state: replica_state.ReplicaState) -> int:
    """Return how many further voters may be lost, as the leader sees it.

    Returns:
        The number of answering voters beyond a majority; -1 if this replica
        does not lead.
    """
    if state.role != replica_state.Role.LEADER:
        return -1
    voters = member.voters(state.members)
    live = sum(map(functools.partial(_is_live, state), voters))
    return live - (len(voters) // 2 + 1)
