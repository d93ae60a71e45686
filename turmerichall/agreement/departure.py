"""Hand-over of the vote of a replica before a planned stop."""

import trio

from turmerichall import outcomes
from turmerichall.agreement import availability
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication

__all__ = ["Departure"]

# Longest time that one attempt to transfer leadership may take.
TRANSFER_SECONDS = 1.0


class Departure:
    """Gives the vote of a replica that stops to a learner.

    The leader promotes the learner before it demotes this replica, and this
    replica runs until both changes are committed.  So the loss of another voter
    leaves a majority at every moment.

    Attributes:
        state: State of the replica.
        replication: Transfers leadership.
        availability: Records which replicas announced that they stop.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_replication: replication.Replication,
        own_availability: availability.Availability,
    ):
        self.state = state
        self.replication = own_replication
        self.availability = own_availability
        # Index of the last membership change that the leader has reported.
        self._members_index = 0
        # Whether the leader knows a learner that may take over the vote; None
        # until a leader has answered.
        self._standby: bool | None = None

    async def hand_over_vote(self, timeout_seconds: float) -> bool:
        """Announce the stop, and wait until a learner has taken over the vote.

        Does not wait if there is no learner: then this replica stays a voter,
        as in a restart of a cluster without standbys.  Only for a cluster that
        replicas join automatically.

        Args:
            timeout_seconds: How long to wait.

        Returns:
            Whether the cluster does not count on the vote of this replica.
        """
        state = self.state
        deadline = trio.current_time() + timeout_seconds
        self.availability.record_departure(state.identity)
        names = {other.name for other in state.members}
        names |= set(state.network.addresses)
        async with trio.open_nursery() as nursery:
            for name in names - {state.name}:
                nursery.start_soon(self._announce_to, name)
        while not self._has_handed_over() and self._is_successor_known():
            if trio.current_time() >= deadline:
                state.log.warning("vote not handed over", term=state.term)
                break
            self.availability.record_departure(state.identity)
            if state.role == replica_state.Role.LEADER:
                await self.replication.transfer_leadership(
                    min(deadline, trio.current_time() + TRANSFER_SECONDS)
                )
            elif state.leader:
                await self._announce_to(state.leader)
            await trio.sleep(state.timing.heartbeat_seconds / 10)
        return self._has_handed_over()

    async def _announce_to(self, name: str) -> None:
        state = self.state
        answer = await state.network.call(
            name,
            "departing",
            message.encode(message.Departing(state.identity)),
            # Replicas that are down must not delay the stop of this one.
            state.timing.heartbeat_seconds,
        )
        if isinstance(answer, outcomes.Refusal):
            return
        outcome = message.decode(answer, message.Outcome)
        if outcome.kind == message.OutcomeKind.RESULT:
            self._members_index = max(self._members_index, outcome.position)
            self._standby = outcome.result == availability.STANDBY

    def _is_successor_known(self) -> bool:
        """Return whether to go on waiting for a learner to take the vote."""
        state = self.state
        if state.stopped:
            return False
        if state.role == replica_state.Role.LEADER:
            self._standby = self.availability.has_standby()
        if self._is_change_pending():
            return True
        if self._standby is None:
            return bool(member.learners(state.members))
        return self._standby

    def _has_handed_over(self) -> bool:
        return not self.state.is_voter() and not self._is_change_pending()

    def _is_change_pending(self) -> bool:
        state = self.state
        if state.role == replica_state.Role.OBSERVER:
            return False
        known = max(self._members_index, state.raft_log.members_index)
        return state.commit < known
