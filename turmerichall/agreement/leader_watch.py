"""Log of whether a new leader has a current state."""

import trio

from turmerichall.agreement import member
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication
from turmerichall.telemetry import repeat_limit

__all__ = ["LeaderWatch"]

# Time after its election within which a leader should have a current state.
CURRENT_SECONDS = 2.0
# Voters that answered within this time are listed.
ANSWERED_SECONDS = 1.0


class LeaderWatch:
    """Logs when the first entry of a leader's term is applied, or is not.

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
        self._limit = repeat_limit.RepeatLimit()

    async def run(self) -> None:
        """Wait until this leader's state is current; log when it is."""
        state = self.state
        term = state.term
        elected_at = trio.current_time()
        due = elected_at + CURRENT_SECONDS
        while not await state.applied_advanced.wait_for(self._is_current, due):
            if self._limit.count(trio.current_time()):
                self._warn(elected_at)
            due = self._limit.next_at
        if state.role == replica_state.Role.LEADER and state.term == term:
            state.log.info(
                "leader's state is current",
                term=term,
                index=self.replication.term_start,
                seconds=round(trio.current_time() - elected_at, 3),
            )

    def _is_current(self) -> bool:
        return self.state.applied >= self.replication.term_start

    def _warn(self, elected_at: float) -> None:
        state = self.state
        voters = member.voters(state.members)
        recent = trio.current_time() - ANSWERED_SECONDS
        state.log.warning(
            "leader's state is not current",
            term=state.term,
            commit=state.commit,
            applied=state.applied,
            term_start=self.replication.term_start,
            seconds=round(trio.current_time() - elected_at, 3),
            voters=len(voters),
            answered=[
                each.name
                for each in voters
                if state.answered_at(each) >= recent
            ],
        )
