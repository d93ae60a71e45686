"""Bootstrap of a cluster, and changes of its members.

A cluster is bootstrapped once, when all of its initial members have an empty
disk.  After that, a replica joins as a learner and becomes a voter only once
it has caught up.
"""

import functools
import hashlib

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import availability
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication
from turmerichall.agreement import snapshots

__all__ = ["Membership"]

BOOTSTRAP_TERM = 1
BOOTSTRAP_INDEX = 1
# Election timeouts without a leader after which a voter asks whether it still
# is a member.
VOTER_SILENT_ELECTIONS = 3


class Membership:
    """Adds replicas to the cluster and removes them.

    Attributes:
        state: State of the replica.
        replication: Appends entries while this replica leads.
        snapshots: Stores the snapshot that a cluster is bootstrapped from.
        bootstrap_members: Addresses of the initial members by name.
        max_voters: Number of voters up to which replicas join automatically;
            0 if operators add and remove replicas.
        availability: Which members this replica can count on as the leader.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        own_replication: replication.Replication,
        own_snapshots: snapshots.Snapshots,
        bootstrap_members: dict[str, str],
        max_voters: int = 0,
    ):
        self.max_voters = max_voters
        self.state = state
        self.replication = own_replication
        self.snapshots = own_snapshots
        self.bootstrap_members = bootstrap_members
        self.availability = availability.Availability(state)
        self._changing = trio.Lock()

    async def run(self) -> None:
        """Join a cluster, then change the members while this replica leads.

        Raises:
            StorageError: The data folder failed, or an operator removed this
                replica.
        """
        state = self.state
        period = state.timing.heartbeat_seconds
        while not state.members:
            if not await self._bootstrap_or_join():
                await trio.sleep(period * state.rng.uniform(0.5, 1.0))
        while True:
            member.update_addresses(state.network, state.members)
            self.availability.observe()
            if state.role == replica_state.Role.LEADER:
                while await self._advance_membership():
                    pass
            elif self._may_have_been_dropped():
                await self._bootstrap_or_join()
                await trio.sleep(period)
            await state.send_needed.wait_for(
                functools.partial(state.members_differ, state.members),
                trio.current_time() + period / 2,
            )

    def _may_have_been_dropped(self) -> bool:
        """Return whether this replica may no longer be a member.

        The change that added it may have been appended by a leader that then
        lost its leadership, so that the change was never committed.  A voter
        that was cut off, or whose state stood still, may have been removed
        meanwhile; an election alone does not make it ask.
        """
        state = self.state
        own = member.find(state.members, state.identity)
        silence = trio.current_time() - state.leader_contact_at
        votes = own is not None and own.voter
        elections = VOTER_SILENT_ELECTIONS if votes else 1
        return silence > elections * state.timing.election_seconds

    async def _bootstrap_or_join(self) -> bool:
        names = set(self.bootstrap_members) | set(self.state.network.addresses)
        names.discard(self.state.name)
        answers: dict[str, message.IdentifyReply | None] = {}
        async with trio.open_nursery() as nursery:

            async def ask(name: str) -> None:
                await self._identify(name, answers)
                answer = answers[name]
                if answer is not None and answer.cluster:
                    # To wait for seeds that are down would delay the join.
                    nursery.cancel_scope.deadline = min(
                        nursery.cancel_scope.deadline,
                        trio.current_time()
                        + self.state.timing.heartbeat_seconds / 2,
                    )

            for name in sorted(names):
                nursery.start_soon(ask, name)
        found = [answer for answer in answers.values() if answer is not None]
        for each in found:
            member.update_addresses(self.state.network, each.members)
        if any(answer.cluster for answer in found):
            await self._request_join(found)
            return False
        may_bootstrap = (
            min(self.bootstrap_members, default="") == self.state.name
        )
        may_bootstrap = may_bootstrap and not self.state.cluster
        identities = {self.state.name: self.state.identity}
        for name, answer in answers.items():
            if answer is not None and answer.identity:
                identities[name] = answer.identity
        if not may_bootstrap or not set(self.bootstrap_members) <= set(
            identities
        ):
            return False
        await self._bootstrap(identities)
        return True

    async def _identify(
        self, name: str, answers: dict[str, message.IdentifyReply | None]
    ) -> None:
        state = self.state
        answer = await state.network.call(
            name, "identify", b"", state.timing.call_seconds
        )
        answers[name] = (
            None
            if isinstance(answer, outcomes.Refusal)
            else message.decode(answer, message.IdentifyReply)
        )

    async def _bootstrap(self, identities: dict[str, str]) -> None:
        state = self.state
        members = tuple(
            member.Member(name, identities[name], address)
            for name, address in sorted(self.bootstrap_members.items())
        )
        concatenated = "".join(each.identity for each in members)
        cluster = hashlib.sha256(concatenated.encode()).hexdigest()[:16]
        snapshot = message.Snapshot(
            cluster,
            BOOTSTRAP_INDEX,
            BOOTSTRAP_TERM,
            members,
            0,
            state.machine.snapshot(),
        )
        state.observe_term(BOOTSTRAP_TERM)
        await self.snapshots.bootstrap(snapshot)
        state.log.info(
            "bootstrapped the cluster", members=sorted(self.bootstrap_members)
        )
        state.elect_now = True
        state.election_requested.notify_all()

    async def _request_join(self, found: list[message.IdentifyReply]) -> None:
        state = self.state
        join = message.Join(state.name, state.identity, state.address)
        had_members = state.members != ()
        for leader in sorted({answer.leader for answer in found} - {""}):
            answer = await state.network.call(
                leader,
                "join",
                message.encode(join),
                state.timing.call_seconds,
            )
            if isinstance(answer, outcomes.Refusal):
                continue
            outcome = message.decode(answer, message.Outcome)
            removed = outcomes.RefusalReason.UNKNOWN_NAME.value
            dropped = had_members and self._may_have_been_dropped()
            if dropped and outcome.reason == removed:
                raise errors.StorageError("an operator removed this replica")

    async def on_identify(self, _: str, __: bytes) -> bytes:
        """Answer with the identity, cluster and leader of this replica."""
        state = self.state
        return message.encode(
            message.IdentifyReply(
                state.identity,
                state.cluster,
                state.leader,
                state.members if self.max_voters else (),
            )
        )

    async def on_join(self, _: str, body: bytes) -> bytes:
        """Add a replica with an empty disk as a learner.

        Unless replicas join automatically, its instance must already be a
        member, one that has lost its disk.
        """
        state = self.state
        join = message.decode(body, message.Join)
        if state.role != replica_state.Role.LEADER:
            refusal = state.refuse(
                outcomes.RefusalReason.NOT_LEADER, "not the leader"
            )
            return message.encode(refusal)
        no_change_pending = state.commit >= state.raft_log.members_index
        known = self.max_voters or member.with_name(state.members, join.name)
        if no_change_pending and not known:
            # The refusal makes the replica stop for good, so it must not come
            # from a leader that others have replaced.
            deadline = trio.current_time() + state.timing.call_seconds
            if not await self.replication.confirm_leadership(deadline):
                refusal = state.refuse(
                    outcomes.RefusalReason.NOT_LEADER, "not the leader"
                )
                return message.encode(refusal)
            detail = f"{join.name} is not a member; an operator must add it"
            refusal = state.refuse(outcomes.RefusalReason.UNKNOWN_NAME, detail)
            return message.encode(refusal)
        if not no_change_pending:
            return message.encode(self._change_in_progress())
        return message.encode(await self._add_learner(join))

    def _change_in_progress(self) -> message.Outcome:
        return self.state.refuse(
            outcomes.RefusalReason.NOT_LEADER,
            "another membership change is in progress",
        )

    async def _add_learner(self, join: message.Join) -> message.Outcome:
        members = self.state.members
        if member.find(members, join.identity) is not None:
            return message.Outcome(message.OutcomeKind.RESULT)
        learner = member.Member(
            join.name, join.identity, join.address, voter=False
        )
        return await self._commit(members, members + (learner,))

    async def _advance_membership(self) -> bool:
        """Commit the next change that is due; return whether it succeeded."""
        state = self.state
        members = state.members
        changed = member.next_change(
            members,
            self.availability.caught_up(),
            self.max_voters,
            self.availability.departing_voters(),
            self.availability.unresponsive_voters(),
            state.identity,
            self.availability.lapsed_learners(),
        )
        # A change that no majority of the new voters answers would leave a
        # cluster that can't commit.
        if changed is None or not availability.has_live_majority(
            state, changed
        ):
            return False
        outcome = await self._commit(members, changed)
        return outcome.kind == message.OutcomeKind.RESULT

    async def _commit(
        self, before: member.Members, after: member.Members
    ) -> message.Outcome:
        """Commit a membership change that is based on the current members.

        It is refused if this replica no longer leads, if an earlier membership
        change may still be uncommitted, or if the members are not `before`.

        Args:
            before: The members that the change was based on.
            after: The members after the change.
        """
        state = self.state
        async with self._changing:
            ready = (
                state.role == replica_state.Role.LEADER
                and state.commit >= self.replication.term_start
                and state.commit >= state.raft_log.members_index
                and state.members == before
            )
            if not ready:
                return self._change_in_progress()
            data = message.encode_members(after)
            term = state.term
            index = self.replication.append_entry(
                message.EntryKind.MEMBERS, data
            )
            names = [
                f"{each.name}:{each.identity[:8]}"
                for each in member.voters(after) + member.learners(after)
            ]
            count = len(member.voters(after))
            state.log.info(
                "members change",
                index=index,
                voters=names[:count],
                learners=names[count:],
            )
            deadline = trio.current_time() + state.timing.election_seconds
            await state.commit_advanced.wait_for(
                lambda: state.commit >= index or state.term != term, deadline
            )
            if state.commit < index or state.term != term:
                return message.Outcome(
                    message.OutcomeKind.UNKNOWN,
                    reason=outcomes.UnknownReason.LEADER_LOST.value,
                    detail="the membership change was appended, but is not"
                    " known to be committed",
                )
        if member.find(after, state.identity) is None:
            state.step_down()
        return message.Outcome(message.OutcomeKind.RESULT, index)

    async def change(self, request: message.ChangeMembers) -> message.Outcome:
        """Add or remove a replica for an operator, as the leader."""
        if request.action == message.MemberAction.REMOVE:
            return await self._remove(request.name)
        state = self.state
        if request.name != state.name:
            addresses = {
                **state.network.addresses,
                request.name: request.address,
            }
            state.network.set_addresses(addresses)
        answers: dict[str, message.IdentifyReply | None] = {}
        deadline = trio.current_time() + request.timeout_seconds
        while trio.current_time() < deadline:
            await self._identify(request.name, answers)
            answer = answers[request.name]
            if answer is not None:
                return await self._add_identified(request, answer)
            await trio.sleep(replication.RETRY_SECONDS)
        return state.refuse(
            outcomes.RefusalReason.UNREACHABLE,
            f"{request.name} does not answer",
        )

    async def _add_identified(
        self, request: message.ChangeMembers, answer: message.IdentifyReply
    ) -> message.Outcome:
        state = self.state
        if not answer.identity:
            return state.refuse(
                outcomes.RefusalReason.WRONG_STATE,
                f"{request.name} has no disk",
            )
        if answer.cluster not in ("", state.cluster):
            return state.refuse(
                outcomes.RefusalReason.WRONG_STATE,
                f"{request.name} belongs to another cluster",
            )
        join = message.Join(request.name, answer.identity, request.address)
        return await self._add_learner(join)

    async def _remove(self, name: str) -> message.Outcome:
        state = self.state
        members = state.members
        removed = member.with_name(members, name)
        if not removed:
            return state.refuse(
                outcomes.RefusalReason.UNKNOWN_NAME, f"{name} is not a member"
            )
        after = member.without(members, removed[0].identity)
        if not availability.has_live_majority(state, after):
            return state.refuse(
                outcomes.RefusalReason.NO_QUORUM,
                f"no majority of the other voters answers; can't remove {name}",
            )
        return await self._commit(members, after)
