"""Proposals, barriers and membership changes, run locally or at the leader."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import applier
from turmerichall.agreement import condition as conditions
from turmerichall.agreement import disk_pressure
from turmerichall.agreement import membership
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication

__all__ = ["Proposer", "to_result"]

T = TypeVar("T")

RETRY_SECONDS = 0.1


class Proposer:
    """Runs requests at the leader, which may be this replica.

    Attributes:
        state: State of the replica.
        applier: Provides the results of applied entries.
        replication: Appends entries while this replica leads.
        membership: Changes the members while this replica leads.
        pending: Number of changes that this leader appended and that still
            wait for their result.
        pending_changed: Notified when `pending` decreases.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_applier: applier.Applier,
        own_replication: replication.Replication,
        own_membership: membership.Membership,
    ):
        self.state = state
        self.applier = own_applier
        self.replication = own_replication
        self.membership = own_membership
        self.pending = 0
        self.pending_changed = conditions.Condition()

    async def propose(
        self, change: bytes, timeout_seconds: float
    ) -> message.Outcome:
        """Commit a change through the leader; see `Replica.propose`."""
        request = message.Propose(change, timeout_seconds)
        outcome = await self._run_at_leader(
            "propose", request, self._propose_locally, timeout_seconds
        )
        if outcome.kind == message.OutcomeKind.RESULT:
            await self._wait_applied(outcome.position, timeout_seconds)
        return outcome

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float
    ) -> message.Outcome:
        """Commit a change as the leader; see `Replica.propose_in_term`."""
        if self.state.term != term:
            return self._not_leader()
        request = message.Propose(change, timeout_seconds)
        return await self._run_locally(self._propose_locally, request)

    async def barrier(self, timeout_seconds: float) -> message.Outcome:
        """Wait until all entries committed before the call are applied."""
        started = trio.current_time()
        request = message.Barrier(timeout_seconds)
        outcome = await self._run_at_leader(
            "barrier", request, self._barrier_locally, timeout_seconds
        )
        if outcome.kind != message.OutcomeKind.RESULT:
            return outcome
        remaining = timeout_seconds - (trio.current_time() - started)
        if await self._wait_applied(outcome.position, remaining):
            return outcome
        return self.state.refuse(
            outcomes.RefusalReason.TIMEOUT,
            "this instance has not yet applied all committed entries",
        )

    async def change_members(
        self, request: message.ChangeMembers
    ) -> message.Outcome:
        """Change the members; see `Replica.change_members`."""
        return await self._run_at_leader(
            "change_members",
            request,
            self._change_members_locally,
            request.timeout_seconds,
        )

    async def _wait_applied(self, index: int, seconds: float) -> bool:
        state = self.state
        return await state.applied_advanced.wait_for(
            lambda: state.applied >= index, trio.current_time() + seconds
        )

    async def _run_at_leader(
        self,
        kind: str,
        request: T,
        run_locally: Callable[[T], Awaitable[message.Outcome]],
        timeout_seconds: float,
    ) -> message.Outcome:
        """Run a request at the leader, local or remote, with retries.

        A refusal means that nothing was appended.  The request is retried
        while an election may be in progress; an isolated instance refuses it
        at once.

        Args:
            kind: Kind of the message to a remote leader.
            request: The request.
            run_locally: Runs the request when this replica leads.
            timeout_seconds: How long to try.
        """
        state = self.state
        deadline = trio.current_time() + timeout_seconds
        while True:
            outcome = state.refuse(
                outcomes.RefusalReason.NO_QUORUM, "no leader is known"
            )
            if state.role == replica_state.Role.LEADER:
                outcome = await self._run_locally(run_locally, request)
            elif self._knows_live_leader():
                outcome = await self._call_leader(kind, request, deadline)
            if not _may_retry(outcome):
                return outcome
            now = trio.current_time()
            if now >= deadline or self._is_isolated():
                return outcome
            state.counters.retried("agreement", outcomes.RetryReason.NOT_LEADER)
            await state.role_changed.wait(min(now + RETRY_SECONDS, deadline))

    async def _run_locally(
        self, run_locally: Callable[[T], Awaitable[message.Outcome]], request: T
    ) -> message.Outcome:
        try:
            return await run_locally(request)
        except errors.StorageError as error:
            return self.state.refuse(outcomes.RefusalReason.STOPPED, str(error))

    def _knows_live_leader(self) -> bool:
        state = self.state
        age = trio.current_time() - state.leader_contact_at
        known = state.leader not in ("", state.name)
        return known and age < state.timing.election_seconds

    def _is_isolated(self) -> bool:
        timing = self.state.timing
        limit = 2 * (timing.election_seconds + timing.election_jitter_seconds)
        age = trio.current_time() - self.state.started_at
        return min(self.state.seconds_since_quorum(), age) > limit

    async def _call_leader(
        self, kind: str, request: Any, deadline: float
    ) -> message.Outcome:
        state = self.state
        remaining = max(deadline - trio.current_time(), 0.0)
        leader = state.leader
        answer = await state.network.call(
            leader, kind, message.encode(request), remaining
        )
        if not isinstance(answer, outcomes.Refusal):
            outcome = message.decode(answer, message.Outcome)
            if _may_retry(outcome) and state.leader == leader:
                state.leader = outcome.leader
            return outcome
        if answer.reason == outcomes.RefusalReason.TIMEOUT:
            return message.Outcome(
                message.OutcomeKind.UNKNOWN,
                reason=outcomes.UnknownReason.LEADER_LOST.value,
                detail=f"leader {leader} did not answer: {answer.detail}",
            )
        reason = outcomes.RefusalReason.NO_QUORUM
        if answer.reason == outcomes.RefusalReason.TOO_LARGE:
            reason = answer.reason
        return state.refuse(
            reason,
            f"the request to leader {leader} was refused: {answer.detail}",
        )

    async def _propose_locally(
        self, request: message.Propose
    ) -> message.Outcome:
        state = self.state
        leads = state.role == replica_state.Role.LEADER
        if not leads or state.transferring:
            return self._not_leader()
        if self.pending >= state.timing.max_proposals:
            return state.refuse(
                outcomes.RefusalReason.OVERLOADED,
                f"{self.pending} changes are already pending",
            )
        refused = disk_pressure.refuse_large(state, len(request.change))
        if refused is not None:
            return refused
        term = state.term
        index = self.replication.append_entry(
            message.EntryKind.CHANGE, request.change
        )
        waiter = self.applier.add_waiter(index, term)
        self.pending += 1
        try:
            with trio.move_on_after(request.timeout_seconds):
                await waiter.done.wait()
        finally:
            self.pending -= 1
            self.pending_changed.notify_all()
            self.applier.remove_waiter(index, waiter)
        if not waiter.done.is_set():
            return message.Outcome(
                message.OutcomeKind.UNKNOWN,
                reason=outcomes.UnknownReason.LEADER_LOST.value,
                detail="the change was appended, but is not known to be"
                " committed",
            )
        if waiter.result is None:
            return state.refuse(
                outcomes.RefusalReason.NO_QUORUM,
                "an entry of another leader was committed in its place",
            )
        return message.Outcome(message.OutcomeKind.RESULT, index, waiter.result)

    async def _barrier_locally(
        self, request: message.Barrier
    ) -> message.Outcome:
        state = self.state
        deadline = trio.current_time() + request.timeout_seconds
        term = state.term
        if state.role != replica_state.Role.LEADER:
            return self._not_leader()
        # A new leader may not know the newest commit index until the first
        # entry of its own term is committed.
        start = self.replication.term_start

        def leads() -> bool:
            return state.role == replica_state.Role.LEADER and (
                state.term == term
            )

        await state.commit_advanced.wait_for(
            lambda: state.commit >= start or not leads(), deadline
        )
        if state.commit < start or not leads():
            return self._not_leader()
        index = state.commit
        if not await self.replication.confirm_leadership(deadline):
            return state.refuse(
                outcomes.RefusalReason.NO_QUORUM,
                "no majority of the voters answered",
            )
        return message.Outcome(message.OutcomeKind.RESULT, index)

    async def _change_members_locally(
        self, request: message.ChangeMembers
    ) -> message.Outcome:
        if self.state.role != replica_state.Role.LEADER:
            return self._not_leader()
        return await self.membership.change(request)

    def _not_leader(self) -> message.Outcome:
        return self.state.refuse(
            outcomes.RefusalReason.NOT_LEADER, "not the leader"
        )

    async def on_propose(self, _: str, body: bytes) -> bytes:
        """Commit a change for another instance."""
        request = message.decode(body, message.Propose)
        return message.encode(await self._propose_locally(request))

    async def on_barrier(self, _: str, body: bytes) -> bytes:
        """Answer with the index that a reader must have applied first."""
        request = message.decode(body, message.Barrier)
        return message.encode(await self._barrier_locally(request))

    async def on_change_members(self, _: str, body: bytes) -> bytes:
        """Add or remove a replica at the request of another instance."""
        request = message.decode(body, message.ChangeMembers)
        return message.encode(await self._change_members_locally(request))


def _may_retry(outcome: message.Outcome) -> bool:
    return outcome.kind == message.OutcomeKind.REFUSAL and outcome.reason in (
        outcomes.RefusalReason.NOT_LEADER.value,
        outcomes.RefusalReason.NO_QUORUM.value,
    )


def to_result(
    outcome: message.Outcome,
) -> bytes | outcomes.Refusal | outcomes.Unknown:
    """Convert an outcome into the value that the methods of `Replica` return.

    Examples:
        >>> to_result(message.Outcome(message.OutcomeKind.RESULT, 1, b"r"))
        b'r'
    """
    if outcome.kind == message.OutcomeKind.RESULT:
        return outcome.result
    if outcome.kind == message.OutcomeKind.UNKNOWN:
        reason = outcomes.UnknownReason(outcome.reason)
        return outcomes.Unknown(reason, outcome.detail)
    return outcomes.Refusal(
        outcomes.RefusalReason(outcome.reason),
        outcome.detail,
        outcome.retry_after_seconds,
    )
