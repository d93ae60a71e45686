"""The placing authority of one availability zone.

Every instance runs one; only that which holds the zone's grant acts.  It
answers the announcements of its zone's workers, which renews their leases,
records how attempts ended, and carries out what the planner decides.
"""

import math
import time
from collections.abc import Callable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.placement import decisions
from turmerichall.placement import planner as planners
from turmerichall.state import change as changes
from turmerichall.state import ledger
from turmerichall.state import machine as machines
from turmerichall.telemetry import logs
from turmerichall.zones import authority
from turmerichall.zones import grant_holder
from turmerichall.zones import planner_feed
from turmerichall.zones import reports
from turmerichall.zones import services
from turmerichall.zones import task_views
from turmerichall.zones import worker_book
from turmerichall.zones import worker_client

__all__ = ["Placing", "Sender"]

STEP_SECONDS = 0.5
MIN_STEP_SECONDS = 0.02
MAX_STARTS_PER_STEP = 64
APPLY_TIMEOUT_SECONDS = 5.0
CHECK_LEASES_SECONDS = 1.0
USABLE_SILENCE_SECONDS = 6.0


class Sender(Protocol):
    """Sends commands to workers; `worker_client.WorkerClient` is one."""

    async def send(
        self, address: str, commands: list[announcement.Command]
    ) -> list[worker_client.Answer] | outcomes.Refusal | outcomes.Unknown:
        """Sends commands to one worker."""


class Placing:
    """Decides for one zone while this instance holds its grant.

    Attributes:
        machine: The replicated state.
        holder: This instance's part in the grant.
        proposer: Submits changes.
        sender: Sends commands to workers.
        make_planner: Makes the planner of a new epoch.
        book: What is known of workers in the held epoch; None if none is held.
        feed: Keeps the planner told of the replicated state.
        ends: Ends to be recorded, by task and attempt.
        throttles: Share of its processors that each throttled task keeps.
        earlier_end_at: When no earlier holder renews leases any more.
    """

    def __init__(
        self,
        machine: machines.Machine,
        holder: grant_holder.GrantHolder,
        proposer: grant_holder.Changes,
        sender: Sender,
        make_planner: Callable[[], planners.Planner],
    ):
        self.machine = machine
        self.holder = holder
        self.zone = holder.zone
        self.proposer = proposer
        self.sender = sender
        self.make_planner = make_planner
        self.book: worker_book.WorkerBook | None = None
        self.feed: planner_feed.PlannerFeed | None = None
        self.ends: dict[tuple[str, int], changes.End] = {}
        self.throttles: dict[tuple[str, int], float] = {}
        self.earlier_end_at = -math.inf
        self.log = logs.Log("placement")
        self._wakeup = trio.Event()
        self._checked_at = -math.inf
        self._nursery: trio.Nursery | None = None
        machine.watchers.append(self._on_change)

    def _on_change(self, change: changes.Change, _: changes.Result) -> None:
        if self.feed is not None:
            self.feed.note(change)
        if not isinstance(change, changes.RenewGrant):
            self.wake()

    def wake(self) -> None:
        """Has the next step follow at once."""
        self._wakeup.set()

    def announce(
        self, told: announcement.Announcement
    ) -> announcement.Reply | None:
        """Takes in an announcement of a worker of the zone.

        Args:
            told: The announcement, newer than any before.

        Returns:
            The answer, which renews leases; None if this instance does not
            hold the zone's grant.
        """
        if told.zone != self.zone or not self.holder.holds():
            return None
        if not self._is_standing():
            self._stand_up()
        assert self.book is not None and self.feed is not None
        now = trio.current_time()
        self.book.take(told, now)
        intention = self.machine.configuration.intention(told.name)
        self.feed.planner.put_worker(task_views.worker_view(told, intention))
        self.feed.measure(told, now)
        reading = reports.read(self.machine, told)
        self._note_ends(told, reading, now)
        return self._reply(told, reading, now)

    def _note_ends(
        self,
        told: announcement.Announcement,
        reading: reports.Reading,
        now: float,
    ) -> None:
        assert self.book is not None
        for end in reading.ends:
            self._note_end(end)
        if now < self.book.restarted_leases_end_at(told.name):
            return
        for task in reading.outlived:
            self._note_end(_lost(task, f"worker {told.name} restarted"))

    def _note_end(self, end: changes.End) -> None:
        if (end.task_id, end.attempt) not in self.ends:
            self.ends[(end.task_id, end.attempt)] = end
            self.wake()

    def _reply(
        self,
        told: announcement.Announcement,
        reading: reports.Reading,
        now: float,
    ) -> announcement.Reply:
        epoch = self.holder.held_epoch
        batch = self.holder.may_renew_batch(now)
        renewed = []
        commands = []
        for task in reading.running:
            if batch or not self.machine.ledger.is_batch(task):
                name = announcement.attempt_name(task.task_id, task.attempt)
                renewed.append(name)
            kind = self._wanted_of(task)
            if kind is not None:
                made = self._command(kind, task.task_id, told)
                commands += [made] if made is not None else []
        for report in reading.stray:
            commands.append(_stop(report, told, epoch))
        self._push_missing(told, reading, now)
        return announcement.Reply(
            True,
            epoch=epoch,
            renewed=tuple(renewed),
            acknowledged=reading.recorded,
            lease_seconds=lease.LEASE_SECONDS,
            commands=tuple(commands),
        )

    def _wanted_of(self, task: job.Task) -> announcement.CommandKind | None:
        owner = self.machine.ledger.jobs.get(ledger.job_of(task.task_id))
        if owner is not None and owner.cancelled:
            return announcement.CommandKind.STOP
        if task.state == job.TaskState.EVICTING:
            return announcement.CommandKind.EVICT
        if (task.task_id, task.attempt) in self.throttles:
            return announcement.CommandKind.THROTTLE
        return None

    def _command(
        self,
        kind: announcement.CommandKind,
        task_id: str,
        told: announcement.Announcement,
    ) -> announcement.Command | None:
        task = self.machine.ledger.tasks[task_id]
        made = task_views.command(
            kind,
            self.machine,
            task,
            told,
            self.holder.held_epoch,
            lease.LEASE_SECONDS,
        )
        if made is None:
            return None
        share = self.throttles.get((task_id, task.attempt), 1.0)
        return made._replace(throttle=share)

    def _push_missing(
        self,
        told: announcement.Announcement,
        reading: reports.Reading,
        now: float,
    ) -> None:
        if self._nursery is None or not self.holder.may_start(now):
            return
        names = [task.task_id for task in reading.missing]
        if names:
            self._nursery.start_soon(self._push, told.name, names)

    async def run(self) -> None:
        """Acts whenever this instance holds the grant, for ever."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                with trio.move_on_after(STEP_SECONDS):
                    await self._wakeup.wait()
                self._wakeup = trio.Event()
                if self.holder.holds():
                    await self.step()
                elif self.book is not None:
                    self._stand_down()
                await trio.sleep(MIN_STEP_SECONDS)

    def _is_standing(self) -> bool:
        if self.book is None or self.feed is None:
            return False
        same_epoch = self.book.epoch == self.holder.held_epoch
        return same_epoch and self.feed.restores == self.machine.restores

    def _stand_up(self) -> None:
        """Starts afresh from the replicated state, in a new epoch."""
        took_at = self.holder.took_at
        if self.book is None or self.book.epoch != self.holder.held_epoch:
            self.book = worker_book.WorkerBook(self.holder.held_epoch, took_at)
            hold = lease.ended_after_seconds(authority.CUT_OFF_HOLD_SECONDS)
            waits = bool(self.holder.earlier_holders())
            self.earlier_end_at = took_at + hold if waits else took_at
        self.feed = planner_feed.PlannerFeed(
            self.machine, self.zone, self.make_planner(), trio.current_time()
        )
        for record in self.book.records.values():
            intention = self.machine.configuration.intention(record.told.name)
            view = task_views.worker_view(record.told, intention)
            self.feed.planner.put_worker(view)
        self.ends = {}
        self.throttles = {}

    def _stand_down(self) -> None:
        self.book = None
        self.feed = None
        self.ends = {}

    async def step(self) -> None:
        """Records what ended, and decides and carries out what is next."""
        if not self._is_standing():
            self._stand_up()
        assert self.feed is not None and self.book is not None
        now = trio.current_time()
        self.feed.bring_up_to_date(now)
        self._check_leases(now)
        self._want_services(now)
        await self._record_ends()
        now = trio.current_time()
        if not self.holder.may_start(now) or not self._is_standing():
            return
        plan = self.feed.planner.plan(now, time.time(), MAX_STARTS_PER_STEP)
        await self._carry_out(plan)

    async def _carry_out(self, plan: decisions.Plan) -> None:
        if plan.waits:
            await self._note_waits(plan.waits)
        for throttle in plan.throttles:
            task = self.machine.ledger.tasks.get(throttle.task_id)
            if task is not None:
                key = (throttle.task_id, task.attempt)
                self.throttles[key] = throttle.share
        if plan.evictions:
            await self._evict(plan.evictions)
        if plan.starts:
            await self._start(plan.starts)

    def _usable(self, now: float) -> set[str]:
        assert self.book is not None
        usable = set()
        for name, record in self.book.records.items():
            heard = now - record.received_at <= USABLE_SILENCE_SECONDS
            wanted = self.machine.configuration.intention(name)
            serving = wanted == changes.Intention.SERVING
            if heard and serving and not record.told.leaving:
                usable.add(name)
        return usable

    def _want_services(self, now: float) -> None:
        assert self.feed is not None and self.book is not None
        usable = self._usable(now)
        # Workers of the zone announce themselves first after a takeover.
        settled = now - self.book.took_at > USABLE_SILENCE_SECONDS
        live = self.machine.ledger.live_services(self.zone)
        if live and not settled:
            return
        wanted = services.wanted_services(self.machine, self.zone, usable)
        self.feed.want_services(wanted.starts)
        for task in wanted.stops:
            self._stop_service(task)

    def _stop_service(self, task: job.Task) -> None:
        if task.state != job.TaskState.RUNNING:
            return
        assert self._nursery is not None
        reason = "not asked for any more, or replaced"
        eviction = changes.Eviction(task.task_id, task.attempt, reason)
        self._nursery.start_soon(self._submit_evictions, [eviction])

    def _check_leases(self, now: float) -> None:
        """Notes the loss of tasks whose leases have provably ended."""
        assert self.book is not None and self.feed is not None
        if now - self._checked_at < CHECK_LEASES_SECONDS:
            return
        self._checked_at = now
        for name, record in self.book.records.items():
            if now - record.received_at > USABLE_SILENCE_SECONDS:
                self.feed.planner.drop_worker(name)
        for task in self.machine.ledger.live_in(self.zone):
            assert task.held is not None
            worker = task.held.worker
            if now > self._lease_end(task, worker):
                reason = f"worker {worker} was silent; its lease has ended"
                self._note_end(_lost(task, reason))

    def _lease_end(self, task: job.Task, worker: str) -> float:
        assert self.book is not None
        earlier = self.earlier_end_at
        if self.holder.earlier_holders():
            # An earlier holder may renew leases of services without limit.
            if not self.machine.ledger.is_batch(task):
                earlier = math.inf
        return self.book.leases_end_at(worker, earlier)

    def note_stopped(self, holder: str) -> None:
        """Notes that an earlier holder has stopped renewing leases."""
        self.holder.confirmed.add(holder)
        if not self.holder.earlier_holders():
            self.earlier_end_at = trio.current_time()

    async def _record_ends(self) -> None:
        if not self.ends:
            return
        batch = list(self.ends.values())[:MAX_STARTS_PER_STEP]
        change = changes.EndTasks(
            self.zone, self.holder.held_epoch, time.time(), batch
        )
        if await self._submit_applied(change):
            for end in batch:
                self.ends.pop((end.task_id, end.attempt), None)

    async def _start(self, starts: tuple[decisions.StartDecision, ...]) -> None:
        assert self.feed is not None and self.book is not None
        asked = []
        for start in starts:
            self.feed.start_decided(start.task_id, start.worker)
            record = self.book.records.get(start.worker)
            known = self.machine.ledger.tasks.get(start.task_id)
            attempt = known.attempt + 1 if known is not None else 1
            if record is not None:
                asked.append(
                    changes.Start(
                        start.task_id,
                        attempt,
                        start.worker,
                        record.told.incarnation,
                        start.reason,
                    )
                )
        change = changes.StartTasks(
            self.zone, self.holder.held_epoch, time.time(), asked
        )
        applied = await self._submit_applied(change)
        if self.feed is None:
            return
        by_worker: dict[str, list[str]] = {}
        for one in asked:
            if applied and self._is_ours(one):
                by_worker.setdefault(one.worker, []).append(one.task_id)
            else:
                self.feed.start_failed(
                    one.task_id, one.worker, trio.current_time()
                )
        assert self._nursery is not None
        for worker, names in by_worker.items():
            self._nursery.start_soon(self._push, worker, names)

    def _is_ours(self, start: changes.Start) -> bool:
        task = self.machine.ledger.tasks.get(start.task_id)
        if task is None or task.held is None:
            return False
        ours = (start.attempt, start.worker, self.holder.held_epoch)
        return (task.attempt, task.held.worker, task.held.epoch) == ours

    async def _push(self, worker: str, names: list[str]) -> None:
        """Sends starts to a worker, and notes those that it refuses."""
        if self.book is None or worker not in self.book.records:
            return
        told = self.book.records[worker].told
        commands = []
        for name in names:
            kind = announcement.CommandKind.START
            made = self._command(kind, name, told)
            if made is not None and self._is_running_there(made, worker):
                commands.append(made)
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
                end = changes.End(
                    answer.task_id,
                    answer.attempt,
                    changes.Ending.REFUSED,
                    reason=f"worker {worker} refused: {answer.detail}",
                )
                self._note_end(end)

    def _is_running_there(
        self, made: announcement.Command, worker: str
    ) -> bool:
        task = self.machine.ledger.tasks[made.task_id]
        if task.held is None or task.held.worker != worker:
            return False
        return task.state == job.TaskState.RUNNING

    async def _evict(
        self, evictions: tuple[decisions.EvictDecision, ...]
    ) -> None:
        asked = []
        for eviction in evictions:
            task = self.machine.ledger.tasks.get(eviction.task_id)
            if task is not None and task.held is not None:
                asked.append(
                    changes.Eviction(
                        eviction.task_id, task.attempt, eviction.reason
                    )
                )
        await self._submit_evictions(asked)

    async def _submit_evictions(self, asked: list[changes.Eviction]) -> None:
        change = changes.EvictTasks(
            self.zone, self.holder.held_epoch, time.time(), asked
        )
        if not await self._submit_applied(change) or self.book is None:
            return
        by_worker: dict[str, list[announcement.Command]] = {}
        for eviction in asked:
            task = self.machine.ledger.tasks[eviction.task_id]
            if task.held is None or task.held.worker not in self.book.records:
                continue
            told = self.book.records[task.held.worker].told
            kind = announcement.CommandKind.EVICT
            made = self._command(kind, task.task_id, told)
            if made is not None:
                by_worker.setdefault(told.name, []).append(made)
        for worker, commands in by_worker.items():
            address = self.book.records[worker].told.address
            await self.sender.send(address, commands)

    async def _note_waits(
        self, waits: tuple[decisions.WaitDecision, ...]
    ) -> None:
        notes = [
            changes.Note(wait.task_id, "waits", f"{wait.reason}: {wait.detail}")
            for wait in waits
            if not wait.task_id.startswith("svc:")
        ]
        if notes:
            change = changes.RecordDecisions(
                self.zone, self.holder.held_epoch, time.time(), notes
            )
            await self.proposer.submit(change)

    async def _submit_applied(self, change: changes.Change) -> bool:
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


def _lost(task: job.Task, reason: str) -> changes.End:
    return changes.End(
        task.task_id, task.attempt, changes.Ending.LOST, reason=reason
    )


def _stop(
    report: announcement.TaskReport,
    told: announcement.Announcement,
    epoch: int,
) -> announcement.Command:
    return announcement.Command(
        announcement.CommandKind.STOP,
        report.task_id,
        report.attempt,
        epoch,
        told.incarnation,
        told.sequence,
    )
