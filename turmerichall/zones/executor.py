"""Carries decisions of a placing authority out: log first, then workers."""

import time
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
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
    """Sends commands to workers; `worker_client.WorkerClient` is one."""

    async def send(
        self, address: str, commands: list[announcement.Command]
    ) -> (
        list[worker_client.CommandResult] | outcomes.Refusal | outcomes.Unknown
    ):
        """Sends commands to one worker."""


class Executor:
    """Submits changes for one zone, and sends what was recorded.

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

    async def record_ends(self, tenure: epoch_states.EpochState) -> None:
        """Records the ends that were noted."""
        batch = list(tenure.ends.values())[:MAX_ENDS_PER_CHANGE]
        if not batch:
            return
        change = changes.EndTasks(self.zone, tenure.epoch, time.time(), batch)
        if await self._submit(change):
            for end in batch:
                tenure.ends.pop((end.task_id, end.attempt), None)

    async def start(
        self,
        tenure: epoch_states.EpochState,
        decided: tuple[decisions.StartDecision, ...],
    ) -> dict[str, list[str]]:
        """Records starts.

        Args:
            tenure: What the authority keeps.
            decided: Starts that the planner counts as under way.

        Returns:
            Tasks to push to each worker, by its name.
        """
        for start in decided:
            tenure.feed.start_decided(start.task_id, start.worker)
        asked = [
            self._start_of(tenure, start)
            for start in decided
            if start.worker in tenure.book.records
        ]
        change = changes.StartTasks(self.zone, tenure.epoch, time.time(), asked)
        applied = await self._submit(change)
        by_worker: dict[str, list[str]] = {}
        for one in asked:
            if applied and self._is_recorded(tenure, one):
                by_worker.setdefault(one.worker, []).append(one.task_id)
            else:
                now = trio.current_time()
                tenure.feed.start_failed(one.task_id, one.worker, now)
        return by_worker

    def _start_of(
        self, tenure: epoch_states.EpochState, decided: decisions.StartDecision
    ) -> changes.Start:
        told = tenure.book.records[decided.worker].told
        known = self.machine.job_store.tasks.get(decided.task_id)
        attempt = known.attempt + 1 if known is not None else 1
        return changes.Start(
            decided.task_id,
            attempt,
            decided.worker,
            told.incarnation,
            decided.reason,
        )

    def _is_recorded(
        self, tenure: epoch_states.EpochState, start: changes.Start
    ) -> bool:
        task = self.machine.job_store.tasks.get(start.task_id)
        if task is None or task.held is None:
            return False
        ours = (start.attempt, start.worker, tenure.epoch)
        return (task.attempt, task.held.worker, task.held.epoch) == ours

    async def push(
        self, tenure: epoch_states.EpochState, worker: str, names: list[str]
    ) -> None:
        """Sends starts to a worker, and notes those that it refuses."""
        told = tenure.book.records[worker].told
        kind = announcement.CommandKind.START
        made = [
            tenure.command(kind, name, told)
            for name in names
            if self._runs_on(name, worker)
        ]
        commands = [command for command in made if command is not None]
        if not commands:
            return
        answers = await self.sender.send(told.address, commands)
        if not isinstance(answers, list):
            self.log.warning(
                "could not reach a worker", worker=worker, why=answers.detail
            )
            return
        for answer in answers:
            if not answer.accepted:
                tenure.note_end(_refused(answer, worker))

    def _runs_on(self, name: str, worker: str) -> bool:
        task = self.machine.job_store.tasks.get(name)
        if task is None or task.held is None or task.held.worker != worker:
            return False
        return task.state == job.TaskState.RUNNING

    async def evict(
        self, tenure: epoch_states.EpochState, asked: list[changes.Eviction]
    ) -> None:
        """Records evictions, and tells the workers."""
        change = changes.EvictTasks(self.zone, tenure.epoch, time.time(), asked)
        if not await self._submit(change):
            self._note_not_evicted(tenure, asked)
            return
        tenure.note_evicted(change)
        by_worker: dict[str, list[announcement.Command]] = {}
        for eviction in asked:
            command = self._evict_command(tenure, eviction.task_id)
            if command is not None:
                task = self.machine.job_store.tasks[eviction.task_id]
                assert task.held is not None
                by_worker.setdefault(task.held.worker, []).append(command)
        for worker, commands in by_worker.items():
            address = tenure.book.records[worker].told.address
            await self.sender.send(address, commands)

    def _note_not_evicted(
        self, tenure: epoch_states.EpochState, asked: list[changes.Eviction]
    ) -> None:
        for eviction in asked:
            task = self.machine.job_store.tasks.get(eviction.task_id)
            if task is not None and task.held is not None:
                planner = tenure.feed.planner
                planner.record_eviction_failure(task.task_id, task.held.worker)

    def _evict_command(
        self, tenure: epoch_states.EpochState, name: str
    ) -> announcement.Command | None:
        task = self.machine.job_store.tasks.get(name)
        if task is None or task.held is None:
            return None
        record = tenure.book.records.get(task.held.worker)
        if record is None:
            return None
        kind = announcement.CommandKind.EVICT
        return tenure.command(kind, name, record.told)

    async def note_waits(
        self,
        tenure: epoch_states.EpochState,
        waits: tuple[decisions.WaitDecision, ...],
    ) -> None:
        """Records why batch tasks wait."""
        notes = [
            changes.Note(wait.task_id, "waits", f"{wait.reason}: {wait.detail}")
            for wait in waits
            if not wait.task_id.startswith("svc:")
        ]
        if notes:
            change = changes.RecordDecisions(
                self.zone, tenure.epoch, time.time(), notes
            )
            await self.proposer.submit(change)

    async def _submit(self, change: changes.Change) -> bool:
        """Submits a change and waits until it is applied here too."""
        result = await self.proposer.submit(change)
        if not isinstance(result, changes.Result):
            self.log.warning(
                "a change was not recorded",
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


def _refused(answer: worker_client.CommandResult, worker: str) -> changes.End:
    return changes.End(
        answer.task_id,
        answer.attempt,
        changes.Ending.REFUSED,
        reason=f"worker {worker} refused: {answer.detail}",
    )
