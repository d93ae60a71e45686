"""Executes the decisions of a placement authority.

A decision to start or evict a task is committed to the replicated log before
the command is sent to the worker.
"""

import time
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.placement import decisions
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.state import proposer as proposing
from turmerichall.telemetry import logs
from turmerichall.zones import epoch_state as epoch_states
from turmerichall.zones import worker_client

__all__ = ["CommandSender", "Executor"]

APPLY_TIMEOUT_SECONDS = 5.0
MAX_ENDS_PER_CHANGE = 64


class CommandSender(Protocol):
    """Sends commands to workers; see `worker_client.WorkerClient`."""

    async def send(
        self, address: str, commands: list[announcements.Command]
    ) -> (
        list[worker_client.CommandResult] | outcomes.Refusal | outcomes.Unknown
    ):
        """Send commands to one worker."""


class Executor:
    """Records the decisions for one zone and sends the commands to workers.

    Attributes:
        zone: The availability zone.
        machine: The replicated state.
        proposer: Submits changes.
        sender: Sends commands to workers.
    """

    def __init__(
        self,
        zone: str,
        machine: machines.StateMachine,
        proposer: proposing.Submitter,
        sender: CommandSender,
    ):
        self.zone = zone
        self.machine = machine
        self.proposer = proposer
        self.sender = sender
        self.log = logs.Log("placement")

    async def record_ends(self, epoch_state: epoch_states.EpochState) -> None:
        """Record pending ends of attempts, at most `MAX_ENDS_PER_CHANGE`."""
        batch = list(epoch_state.ends.values())[:MAX_ENDS_PER_CHANGE]
        if not batch:
            return
        change = changes.EndTasks(
            self.zone, epoch_state.epoch, time.time(), batch
        )
        if await self._submit(change):
            for end in batch:
                epoch_state.ends.pop((end.task_id, end.attempt), None)

    async def start(
        self,
        epoch_state: epoch_states.EpochState,
        decided: tuple[decisions.StartDecision, ...],
    ) -> dict[str, list[str]]:
        """Record starts of tasks, before their commands are sent.

        Args:
            epoch_state: State of the held epoch.
            decided: Starts that the planner has decided on.  The planner
                already counts them as in progress.

        Returns:
            Ids of the tasks whose start commands are to be sent, by the name
            of their worker.
        """
        for start in decided:
            epoch_state.feed.add_pending_start(start.task_id, start.worker)
        starts = [
            self._to_start(epoch_state, start)
            for start in decided
            if start.worker in epoch_state.workers.records
        ]
        change = changes.StartTasks(
            self.zone, epoch_state.epoch, time.time(), starts
        )
        applied = await self._submit(change)
        by_worker: dict[str, list[str]] = {}
        for submitted in starts:
            if applied and self._is_recorded(epoch_state, submitted):
                by_worker.setdefault(submitted.worker, []).append(
                    submitted.task_id
                )
            else:
                now = trio.current_time()
                epoch_state.feed.report_failed_start(
                    submitted.task_id, submitted.worker, now
                )
        return by_worker

    def _to_start(
        self,
        epoch_state: epoch_states.EpochState,
        decided: decisions.StartDecision,
    ) -> changes.Start:
        announcement = epoch_state.workers.records[decided.worker].announcement
        task = self.machine.job_store.tasks.get(decided.task_id)
        attempt = task.attempt + 1 if task is not None else 1
        return changes.Start(
            decided.task_id,
            attempt,
            decided.worker,
            announcement.incarnation,
            decided.reason,
        )

    def _is_recorded(
        self, epoch_state: epoch_states.EpochState, start: changes.Start
    ) -> bool:
        task = self.machine.job_store.tasks.get(start.task_id)
        if task is None or task.held is None:
            return False
        expected = (start.attempt, start.worker, epoch_state.epoch)
        return (task.attempt, task.held.worker, task.held.epoch) == expected

    async def push_starts(
        self,
        epoch_state: epoch_states.EpochState,
        worker: str,
        task_ids: list[str],
    ) -> None:
        """Send start commands to a worker.

        For each command that the worker refuses, adds the end of the attempt.

        Args:
            epoch_state: State of the held epoch.
            worker: Name of the worker.
            task_ids: Ids of the tasks.  Tasks that no longer run on the worker
                are skipped.  So are tasks that an earlier incarnation of the
                worker holds: it may run the attempt, which a refusal by the
                present one would end.
        """
        announcement = epoch_state.workers.records[worker].announcement
        kind = announcements.CommandKind.START
        created = [
            epoch_state.make_command(kind, task_id, announcement)
            for task_id in task_ids
            if self._is_running_on(task_id, announcement)
        ]
        commands = [command for command in created if command is not None]
        if not commands:
            return
        answers = await self.sender.send(announcement.address, commands)
        if not isinstance(answers, list):
            self.log.warning(
                "worker could not be reached",
                worker=worker,
                why=answers.detail,
            )
            return
        for answer in answers:
            if not answer.accepted:
                epoch_state.add_end(_refused_end(answer, worker))

    def _is_running_on(
        self, task_id: str, announcement: announcements.Announcement
    ) -> bool:
        task = self.machine.job_store.tasks.get(task_id)
        if task is None or task.held is None:
            return False
        leased_to = (task.held.worker, task.held.incarnation)
        if leased_to != (announcement.name, announcement.incarnation):
            return False
        return task.state == job.TaskState.RUNNING

    async def evict(
        self,
        epoch_state: epoch_states.EpochState,
        evictions: list[changes.Eviction],
    ) -> None:
        """Record evictions, then send the commands to the workers."""
        change = changes.EvictTasks(
            self.zone, epoch_state.epoch, time.time(), evictions
        )
        if not await self._submit(change):
            self._report_eviction_failures(epoch_state, evictions)
            return
        epoch_state.record_evictions(change)
        by_worker: dict[str, list[announcements.Command]] = {}
        for eviction in evictions:
            command = self._eviction_command(epoch_state, eviction.task_id)
            if command is not None:
                task = self.machine.job_store.tasks[eviction.task_id]
                assert task.held is not None
                by_worker.setdefault(task.held.worker, []).append(command)
        for worker, commands in by_worker.items():
            address = epoch_state.workers.records[worker].announcement.address
            await self.sender.send(address, commands)

    def _report_eviction_failures(
        self,
        epoch_state: epoch_states.EpochState,
        evictions: list[changes.Eviction],
    ) -> None:
        for eviction in evictions:
            task = self.machine.job_store.tasks.get(eviction.task_id)
            if task is not None and task.held is not None:
                planner = epoch_state.feed.planner
                planner.record_eviction_failure(task.task_id, task.held.worker)

    def _eviction_command(
        self, epoch_state: epoch_states.EpochState, task_id: str
    ) -> announcements.Command | None:
        task = self.machine.job_store.tasks.get(task_id)
        if task is None or task.held is None:
            return None
        record = epoch_state.workers.records.get(task.held.worker)
        if record is None:
            return None
        kind = announcements.CommandKind.EVICT
        return epoch_state.make_command(kind, task_id, record.announcement)

    async def record_waits(
        self,
        epoch_state: epoch_states.EpochState,
        waits: tuple[decisions.WaitDecision, ...],
    ) -> None:
        """Record why batch tasks wait, among the decisions on their jobs."""
        notes = [
            changes.Note(wait.task_id, "waits", f"{wait.reason}: {wait.detail}")
            for wait in waits
            if not wait.task_id.startswith("svc:")
        ]
        if notes:
            change = changes.RecordDecisions(
                self.zone, epoch_state.epoch, time.time(), notes
            )
            await self.proposer.submit(change)

    async def _submit(self, change: changes.Change) -> bool:
        """Submit a change and wait until it is applied here.

        Returns:
            Whether it was applied here within `APPLY_TIMEOUT_SECONDS` after
            it was committed.
        """
        result = await self.proposer.submit(change)
        if not isinstance(result, changes.Result):
            self.log.warning(
                "change was not confirmed as committed",
                kind=type(change).__name__,
                why=f"{result.reason}: {result.detail}",
            )
            return False
        if result.status != changes.Status.APPLIED:
            return False
        with trio.move_on_after(APPLY_TIMEOUT_SECONDS):
            await self.machine.wait_applied(result.position)
            return True
        return False


def _refused_end(
    answer: worker_client.CommandResult, worker: str
) -> changes.End:
    return changes.End(
        answer.task_id,
        answer.attempt,
        changes.Ending.REFUSED,
        reason=f"worker {worker} refused: {answer.detail}",
    )
