"""The placing authority of one availability zone.

Every instance runs one; only that which holds the zone's grant acts.  It
answers the announcements of its zone's workers, which renews their leases,
records how attempts ended, and carries out what the planner decides.
"""

import math
import time
from collections.abc import Callable

import trio

from turmerichall.backend_servers import announcement
from turmerichall.jobs import job
from turmerichall.placement import decisions
from turmerichall.placement import planner as planners
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.state import proposer as proposing
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import epoch_state as epoch_states
from turmerichall.zones import executor as executors
from turmerichall.zones import grant_holder
from turmerichall.zones import reconciliation
from turmerichall.zones import replies

__all__ = ["ZoneScheduler"]

STEP_SECONDS = 0.5
MIN_STEP_SECONDS = 0.02
MAX_STARTS_PER_STEP = 64
CHECK_LEASES_SECONDS = 1.0


class ZoneScheduler:
    """Decides for one zone while this instance holds its grant.

    Attributes:
        zone: The availability zone.
        machine: The replicated state.
        holder: This instance's part in the grant.
        execution: Carries decisions out.
        make_planner: Makes the planner of a new epoch.
        misfits: What is told of tasks that no worker of the zone can hold.
        tenure: What is kept in the held epoch; None if none is held.
    """

    def __init__(
        self,
        machine: machines.StateMachine,
        holder: grant_holder.GrantHolder,
        proposer: proposing.Submitter,
        sender: executors.CommandSender,
        make_planner: Callable[[], planners.Planner],
        fitting: cross_zone_feasibility.FeasibilityChecker,
    ):
        self.zone = holder.zone
        self.machine = machine
        self.holder = holder
        self.execution = executors.Executor(
            holder.zone, machine, proposer, sender
        )
        self.make_planner = make_planner
        self.misfits = cross_zone_feasibility.UnschedulableReporter(
            holder.zone, machine, fitting
        )
        self.tenure: epoch_states.EpochState | None = None
        self._wakeup = trio.Event()
        self._checked_at = -math.inf
        self._nursery: trio.Nursery | None = None
        machine.watchers.append(self._on_change)

    def _on_change(self, change: changes.Change, _: changes.Result) -> None:
        if self.tenure is not None:
            self.tenure.feed.note(change)
        if not isinstance(change, changes.RenewGrant):
            self.wake()

    def wake(self) -> None:
        """Has the next step follow at once."""
        self._wakeup.set()

    def _current_tenure(self) -> epoch_states.EpochState:
        """Returns the tenure of the held epoch, made or renewed if needed."""
        now = trio.current_time()
        tenure = self.tenure
        if tenure is None or tenure.epoch != self.holder.held_epoch:
            tenure = epoch_states.EpochState(
                self.machine, self.holder, self.make_planner(), now
            )
            self.tenure = tenure
        elif not tenure.is_current():
            tenure.start_afresh(self.make_planner(), now)
        return tenure

    def announce(
        self,
        told: announcement.Announcement,
        measured: tuple[announcement.TaskReport, ...] | None = None,
    ) -> announcement.Reply | None:
        """Takes in an announcement of a worker of the zone.

        Args:
            told: The announcement, newer than any before.
            measured: Its reports with a new measurement; all if None.

        Returns:
            The answer, which renews leases; None if this instance does not
            hold the zone's grant.
        """
        if told.zone != self.zone or not self.holder.holds():
            return None
        tenure = self._current_tenure()
        now = trio.current_time()
        if measured is None:
            measured = told.tasks
        reading = tenure.take(told, measured, now)
        if tenure.ends:
            self.wake()
        self._push_missing(tenure, told, reading, now)
        return replies.reply(tenure, told, reading, now)

    def needs_whole(self, zone: str, worker: str) -> bool:
        """Tells whether a worker has not announced itself in the held epoch.

        Args:
            zone: Availability zone of the worker.
            worker: Name of the worker.
        """
        if zone != self.zone or not self.holder.holds():
            return False
        return worker not in self._current_tenure().book.records

    def _push_missing(
        self,
        tenure: epoch_states.EpochState,
        told: announcement.Announcement,
        reading: reconciliation.Reconciliation,
        now: float,
    ) -> None:
        """Sends starts again that the worker does not report."""
        if self._nursery is None or not self.holder.may_start(now):
            return
        names = [task.task_id for task in reading.missing]
        if names:
            self._nursery.start_soon(self._push, tenure, told.name, names)

    async def _push(
        self, tenure: epoch_states.EpochState, worker: str, names: list[str]
    ) -> None:
        await self.execution.push(tenure, worker, names)
        if tenure.ends:
            self.wake()

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
                else:
                    self.tenure = None
                await trio.sleep(MIN_STEP_SECONDS)

    async def step(self) -> None:
        """Records what ended, and decides and carries out what is next."""
        tenure = self._current_tenure()
        now = trio.current_time()
        tenure.feed.bring_up_to_date(now)
        if now - self._checked_at >= CHECK_LEASES_SECONDS:
            self._checked_at = now
            tenure.note_lost(now)
        await self._stop_and_want(tenure, now)
        await self.execution.record_ends(tenure)
        now = trio.current_time()
        if not tenure.is_current() or not self.holder.may_start(now):
            return
        plan = tenure.feed.planner.plan(now, time.time(), MAX_STARTS_PER_STEP)
        await self._carry_out(tenure, plan)

    async def _stop_and_want(
        self, tenure: epoch_states.EpochState, now: float
    ) -> None:
        wanted = tenure.wanted_services(now)
        tenure.feed.want_services(wanted.starts)
        evictions = [
            _eviction(task, "not asked for any more, or replaced")
            for task in wanted.stops
            if task.state == job.TaskState.RUNNING
        ]
        evictions += [
            _eviction(task, "its backend server was stopped by an operator")
            for task in tenure.stopped_batch()
        ]
        if evictions:
            await self.execution.evict(tenure, evictions)

    async def _carry_out(
        self, tenure: epoch_states.EpochState, plan: decisions.Plan
    ) -> None:
        waits = self.misfits.settle(plan.waits, trio.current_time())
        if waits:
            await self.execution.note_waits(tenure, waits)
        for throttle in plan.throttles:
            task = self.machine.job_store.tasks.get(throttle.task_id)
            if task is not None:
                key = (throttle.task_id, task.attempt)
                tenure.throttles[key] = throttle.share
        evictions = self._evictions_of(plan)
        if evictions:
            await self.execution.evict(tenure, evictions)
        if plan.starts:
            pushes = await self.execution.start(tenure, plan.starts)
            assert self._nursery is not None
            for worker, names in pushes.items():
                self._nursery.start_soon(self._push, tenure, worker, names)

    def _evictions_of(self, plan: decisions.Plan) -> list[changes.Eviction]:
        evictions = []
        for decided in plan.evictions:
            task = self.machine.job_store.tasks.get(decided.task_id)
            if task is not None and task.held is not None:
                evictions.append(_eviction(task, decided.reason))
        return evictions

    def note_stopped(self, holder: str) -> None:
        """Notes that an earlier holder has stopped renewing leases."""
        self.holder.confirmed.add(holder)
        if self.tenure is not None and not self.holder.earlier_holders():
            self.tenure.note_stopped(trio.current_time())


def _eviction(task: job.Task, reason: str) -> changes.Eviction:
    return changes.Eviction(task.task_id, task.attempt, reason)
