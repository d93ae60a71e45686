"""A replica of the state; the public interface of this package."""

import pathlib
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import append_handler
from turmerichall.agreement import applier
from turmerichall.agreement import departure
from turmerichall.agreement import disk_pressure
from turmerichall.agreement import disk_recovery
from turmerichall.agreement import election
from turmerichall.agreement import entry_log
from turmerichall.agreement import log_stream
from turmerichall.agreement import member
from turmerichall.agreement import membership
from turmerichall.agreement import message
from turmerichall.agreement import proposer
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication
from turmerichall.agreement import snapshots
from turmerichall.agreement import sources
from turmerichall.agreement import status
from turmerichall.peers import link
from turmerichall.storage import data_folder
from turmerichall.storage import files as storage_files
from turmerichall.storage import journal
from turmerichall.telemetry import logs

__all__ = ["Replica"]

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Replica:
    """Replicates a state machine over the instances of a cluster.

    An instance with a disk takes part in consensus.  An instance without one,
    or whose disk fails, is an observer: it receives committed entries from
    other instances.

    Attributes:
        state: State that the tasks of the replica share.
        files: Access to the files of the data folder; None without a disk.
        stream_follower: Receives committed entries as an observer.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path | None,
        network: replica_state.Network,
        machine: replica_state.StateMachine,
        bootstrap_members: dict[str, str] | None = None,
        log: link.Log | None = None,
        timing: replica_state.Timing = replica_state.Timing(),
        files: storage_files.Files | None = None,
        rng: random.Random | None = None,
        max_batch_records: int = journal.NO_LIMIT,
        counters: link.Counters | None = None,
        zones: Callable[[], Mapping[str, str]] = dict,
        max_voters: int = 0,
    ):
        """Create a replica; `run` starts it.

        Args:
            name: Name of the instance.
            folder: Path of the data folder; None without a disk.
            network: Connections to the other instances.
            machine: State machine that committed changes are applied to.
            bootstrap_members: Addresses by name of the initial members.  They
                bootstrap the cluster once all of them answer with empty disks.
            log: Where to log.
            timing: Periods and limits.
            files: Used instead of `folder`, if given.
            rng: Source of random delays.
            max_batch_records: Maximum number of records per journal sync.
            counters: Counts refusals, retries and unknown effects.
            zones: Returns the zone of each registered instance, by name; the
                diskless ones among them relay entries to each other.
            max_voters: Number of voters up to which replicas join
                automatically and beyond which they replace unresponsive
                voters; 0 if operators add and remove replicas.
        """
        self.files = files
        if files is None and folder is not None:
            self.files = storage_files.DiskFiles(folder)
        self.max_batch_records = max_batch_records
        self.state = replica_state.ReplicaState(
            name,
            network,
            machine,
            log or logs.Log("agreement"),
            timing,
            rng or random.Random(),
            counters,
        )
        self._bootstrap = dict(bootstrap_members or {})
        self._applier = applier.Applier(self.state)
        self._snapshots = snapshots.Snapshots(self.state)
        self._replication = replication.Replication(self.state)
        self._membership = membership.Membership(
            self.state,
            self._replication,
            self._snapshots,
            self._bootstrap,
            max_voters,
        )
        self._proposer = proposer.Proposer(
            self.state, self._applier, self._replication, self._membership
        )
        self.stream_follower = log_stream.StreamFollower(
            self.state,
            self._applier,
            self._snapshots,
            sources.Sources(self.state, zones),
        )

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run the replica until cancelled.

        When the disk fails, the replica stops voting and acknowledging
        entries, and goes on as an observer until the disk works again.

        Args:
            task_status: Started when the state on the disk is loaded.

        Raises:
            StorageError: The data folder is locked by another process, has
                another format version or can't be opened.
        """
        state = self.state
        state.started_at = trio.current_time()
        state.address = state.network.listen_address
        state.address = self._bootstrap.get(state.name, state.address)
        self._register("identify", self._membership.on_identify)
        if self.files is None:
            stream_server = log_stream.StreamServer(
                state, self.stream_follower.relay_buffer
            )
            self._register("follow", stream_server.on_follow)
            task_status.started()
            await self._observe()
        else:
            try:
                await self._run_with_disk(self.files, task_status)
            finally:
                self.files.unlock()

    async def _observe(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._recover)
            nursery.start_soon(self.stream_follower.run)

    async def _run_with_disk(
        self, files: storage_files.Files, task_status: Any
    ) -> None:
        """Take part in consensus whenever the disk works."""
        state = self.state
        state.folder = await files.run_blocking(
            lambda: data_folder.DataFolder.open(files, self.max_batch_records)
        )
        try:
            await self._load(state.folder)
        except errors.StorageError as error:
            self._stop(error)
            state.recovery_index = replica_state.NOT_RECOVERED
            task_status.started()
            await self._observe_out_of_consensus(state.folder)
        while True:
            reason = await self._run_until_failure(task_status)
            task_status = trio.TASK_STATUS_IGNORED
            led = state.role == replica_state.Role.LEADER
            self._stop(reason)
            if led:
                await self._replication.name_successor()
            if not isinstance(reason, errors.DiskError):
                # It was removed, or its data is damaged.
                await self._observe_out_of_consensus(state.folder)
            await self._rejoin(state.folder)

    async def _run_until_failure(self, task_status: Any) -> errors.StorageError:
        """Take part in consensus; return the error that ended it."""
        failure: errors.StorageError | None = None
        try:
            await self._run_consensus(task_status)
        except* errors.StorageError as group:
            failure = disk_recovery.decisive_failure(group)
        assert failure is not None
        return failure

    async def _rejoin(self, folder: data_folder.DataFolder) -> None:
        """Observe until the disk works, then become a follower."""
        recovery = disk_recovery.DiskRecovery(
            self.state, folder, self._snapshots
        )
        restored = False
        while not restored:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._observe_out_of_consensus, folder)
                await recovery.wait_for_disk()
                nursery.cancel_scope.cancel()
            restored = await recovery.restore()

    async def _observe_out_of_consensus(
        self, folder: data_folder.DataFolder
    ) -> None:
        """Go on as an observer, for as long as this replica does not vote.

        Does not return.
        """
        state = self.state
        try:
            await folder.mark_incomplete()
        except errors.StorageError as error:
            # Following others would apply entries that the disk does not hold.
            # After a restart, this instance would serve the older state of
            # its disk as if it were recent.
            state.log.error(
                "can't mark the data folder as incomplete; state is frozen",
                reason=str(error),
            )
            await trio.sleep_forever()
        await self._observe()

    async def _load(self, folder: data_folder.DataFolder) -> None:
        """Load the data folder and apply entries known to be committed."""
        state = self.state
        state.opened_log = entry_log.EntryLog(folder.journal)

        def load() -> tuple[message.Snapshot | None, bool]:
            snapshot = self._snapshots.load()
            state.raft_log.load(snapshot)
            return snapshot, folder.is_complete()

        snapshot, complete = await folder.files.run_blocking(load)
        if snapshot is not None:
            snapshots.apply_snapshot(state, snapshot)
        if complete and not state.raft_log.vote_state.may_lead(state.identity):
            state.recovery_index = state.raft_log.last_index
        state.advance_commit(state.raft_log.commit)
        state.raft_log.rewrite()
        while state.applied < state.commit:
            self._applier.apply_entry(state.raft_log.get(state.applied + 1))
        state.role = replica_state.Role.FOLLOWER

    async def _run_consensus(self, task_status: Any) -> None:
        state = self.state
        own_election = election.Election(state, self._replication)
        appends = append_handler.AppendHandler(state, self._snapshots)
        stream_server = log_stream.StreamServer(state, state.raft_log)
        self._register("vote", own_election.on_vote)
        self._register("elect_now", own_election.on_elect_now)
        self._register("append", appends.on_append)
        self._register("snapshot_part", self._snapshots.on_snapshot_part)
        self._register("follow", stream_server.on_follow)
        self._register("join", self._membership.on_join)
        self._register("departing", self._membership.availability.on_departing)
        self._register("propose", self._proposer.on_propose)
        self._register("barrier", self._proposer.on_barrier)
        self._register("change_members", self._proposer.on_change_members)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(disk_recovery.run_journal, state)
            nursery.start_soon(self._applier.run)
            nursery.start_soon(self._applier.run_persisting_commit)
            nursery.start_soon(self._snapshots.run_taking)
            nursery.start_soon(self._snapshots.run_fetching)
            nursery.start_soon(disk_pressure.run_watch, state)
            nursery.start_soon(own_election.run)
            nursery.start_soon(self._membership.run)
            nursery.start_soon(self._recover)
            task_status.started()

    async def _recover(self) -> None:
        """Wait until the state is as new as any served before a restart.

        It is once the entries up to `recovery_index` are applied.  If the data
        folder does not tell that index, the index of a barrier, which is at
        least as high, is used instead.

        Raises:
            StorageError: The journal failed.
        """
        state = self.state
        while state.recovery_index == replica_state.NOT_RECOVERED:
            outcome = await self._proposer.barrier(state.timing.call_seconds)
            if outcome.kind == message.OutcomeKind.RESULT:
                state.recovery_index = outcome.position
            else:
                await trio.sleep(state.timing.heartbeat_seconds / 4)
        await self.wait_applied(state.recovery_index)
        if state.role != replica_state.Role.OBSERVER and state.folder:
            await state.folder.mark_complete()

    def _register(self, kind: str, handler: Handler) -> None:
        async def guarded(sender: str, body: bytes) -> bytes | None:
            if self.state.stopped:
                raise errors.StorageError(self.state.stopped)
            return await handler(sender, body)

        self.state.network.handle(kind, guarded, kind in message.CRITICAL_KINDS)

    def _stop(self, error: errors.StorageError) -> None:
        state = self.state
        if state.folder is not None:
            # Calls of other instances may wait for records of the journal,
            # whose task has ended.
            state.folder.journal.fail(error)
        state.stopped = str(error)
        state.step_down()
        state.observed_term = state.term
        state.observed_members = state.members
        state.role = replica_state.Role.OBSERVER
        state.log.error("replica stopped", reason=state.stopped)

    async def propose(
        self, change: bytes, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """Commit and apply a change through the leader.

        Args:
            change: The encoded change for the state machine.
            timeout_seconds: How long to wait for the result.

        Returns:
            The result of the state machine.  The change is then applied here
            too, unless this instance lags behind.  After a refusal, the change
            was not and will not be applied; after `Unknown`, it may be.
        """
        outcome = await self._proposer.propose(change, timeout_seconds)
        return self._counted(outcome)

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """Commit and apply a change only if this replica leads in a term.

        Args:
            change: The encoded change for the state machine.
            term: The term, from `leader_term`.
            timeout_seconds: How long to wait for the result.

        Returns:
            As for `propose`.
        """
        outcome = await self._proposer.propose_in_term(
            change, term, timeout_seconds
        )
        return self._counted(outcome)

    def leader_term(self) -> int:
        """Return the term in which this replica leads, with a current state.

        The state is current once all entries of earlier terms are applied.

        Returns:
            The term; 0 if this replica does not lead or its state is not
            current yet.
        """
        state = self.state
        leads = state.role == replica_state.Role.LEADER
        begun = 0 < self._replication.term_start <= state.applied
        return state.term if leads and begun else 0

    async def wait_log_applied(self, term: int) -> None:
        """Wait until the whole log is applied, or a term is over.

        Args:
            term: The term in which this replica leads.
        """
        last_index = self.state.raft_log.last_index
        await self.state.applied_advanced.wait_for(
            lambda: self.state.applied >= last_index or self.state.term != term
        )

    def resign(self, term: int) -> None:
        """Stop leading, if this replica leads in a term.

        The leader that is elected next has a higher term.
        """
        state = self.state
        if state.role == replica_state.Role.LEADER and state.term == term:
            state.step_down()

    def _counted(
        self, outcome: message.Outcome
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        result = proposer.to_result(outcome)
        if isinstance(result, outcomes.Refusal):
            self.state.counters.refused("agreement", result.reason)
        elif isinstance(result, outcomes.Unknown):
            self.state.counters.unknown("agreement", result.reason)
        return result

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Wait until all changes committed before the call are applied here.

        A read after a successful barrier is linearizable.

        Args:
            timeout_seconds: How long to wait.

        Returns:
            None; or a refusal, after which the state may be stale.
        """
        outcome = await self._proposer.barrier(timeout_seconds)
        result = self._counted(outcome)
        if isinstance(result, outcomes.Unknown):
            return outcomes.Refusal(
                outcomes.RefusalReason.NO_QUORUM,
                result.detail,
                self.state.timing.heartbeat_seconds,
            )
        return result if isinstance(result, outcomes.Refusal) else None

    async def change_members(
        self,
        action: message.MemberAction,
        name: str,
        address: str = "",
        timeout_seconds: float = 10.0,
    ) -> member.Members | outcomes.Refusal | outcomes.Unknown:
        """Add or remove a replica.

        An added replica is a learner first and votes once it has caught up.
        A lost disk needs no membership change by an operator: the instance
        rejoins with a new identity, which replaces the old one.

        Args:
            action: Whether to add or to remove the replica.
            name: Name of the instance.
            address: Where it accepts connections, host:port; only to add it.
            timeout_seconds: How long to wait.

        Returns:
            The members after the change; or a refusal, or `Unknown`.
        """
        request = message.ChangeMembers(action, name, address, timeout_seconds)
        outcome = await self._proposer.change_members(request)
        result = self._counted(outcome)
        return self.state.members if isinstance(result, bytes) else result

    async def transfer_leadership(self, timeout_seconds: float = 2.0) -> bool:
        """Transfer leadership to another replica, before a planned stop.

        Changes that are pending at this leader still get their results.

        Args:
            timeout_seconds: How long to try.

        Returns:
            Whether this replica does not lead and has no pending changes.
        """
        deadline = trio.current_time() + timeout_seconds
        transferred = await self._replication.transfer_leadership(deadline)
        own_proposer = self._proposer
        return transferred and await own_proposer.pending_changed.wait_for(
            lambda: own_proposer.pending == 0, deadline
        )

    async def hand_over_vote(self, timeout_seconds: float) -> bool:
        """Give the vote of this replica to a learner, before a planned stop.

        Args:
            timeout_seconds: How long to wait for a learner to take it over.

        Returns:
            Whether the cluster does not count on the vote of this replica.
        """
        return await departure.Departure(
            self.state, self._replication, self._membership.availability
        ).hand_over_vote(timeout_seconds)

    async def wait_applied(self, index: int) -> None:
        """Wait until all entries up to an index are applied here."""
        state = self.state
        await state.applied_advanced.wait_for(lambda: state.applied >= index)

    def is_disk_almost_full(self) -> bool:
        """Return whether nothing should be accepted that can be refused."""
        level = disk_pressure.level(self.state)
        return level == disk_pressure.Level.CRITICAL

    def seconds_since_quorum(self) -> float:
        """Return the age of the leader's last known contact with a quorum."""
        return self.state.seconds_since_quorum()

    def status(self) -> status.ReplicaStatus:
        """Return the status of this replica and its view of the cluster."""
        state = self.state
        return status.ReplicaStatus(
            state.name,
            state.identity,
            state.role,
            state.leader,
            state.term,
            state.commit,
            state.applied,
            member.voters(state.members),
            member.learners(state.members),
            state.stopped,
            state.seconds_since_quorum(),
            state.recovered,
            state.diverged_at,
        )
