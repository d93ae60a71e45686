"""The scheduler of one availability zone.

Every instance runs one for its zone.  Only the scheduler of the placement
authority, which is the instance that holds the zone's grant, is active.  It
renews leases in its replies to the announcements of the zone's workers,
records how attempts ended, and executes the planner's decisions.
"""

import math
import time
from collections.abc import Callable

import trio

from turmerichall.backend_servers import announcement as announcements
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
from turmerichall.zones import start_hold

__all__ = ["ZoneScheduler"]

# The scheduler works in steps.  A change of the replicated state, except a
# renewal of a grant, triggers the next one at once, but not sooner than
# `MIN_STEP_PERIOD_SECONDS` after the previous one.  Without changes, a step
# follows after `STEP_PERIOD_SECONDS`.
STEP_PERIOD_SECONDS = 0.5
MIN_STEP_PERIOD_SECONDS = 0.02
MAX_STARTS_PER_STEP = 64
LEASE_CHECK_PERIOD_SECONDS = 1.0


class ZoneScheduler:
    """Schedules tasks in one zone while this instance holds its grant.

    Attributes:
        zone: The availability zone.
        machine: The replicated state.
        holder: Acquires and keeps the zone's grant.
        executor: Records the planner's decisions and sends commands.
        make_planner: Creates the planner of a new epoch.
        unschedulable_reporter: Decides what to record for tasks that no
            worker of the zone can hold.
        start_hold: Holds back starts while the zone is evacuated.
        epoch_state: State of the held epoch; None if no epoch is held.
    """

    def __init__(
        self,
        machine: machines.StateMachine,
        holder: grant_holder.GrantHolder,
        proposer: proposing.Submitter,
        sender: executors.CommandSender,
        make_planner: Callable[[], planners.Planner],
        feasibility_checker: cross_zone_feasibility.FeasibilityChecker,
    ):
        self.zone = holder.zone
        self.machine = machine
        self.holder = holder
        self.executor = executors.Executor(
            holder.zone, machine, proposer, sender
        )
        self.make_planner = make_planner
        self.unschedulable_reporter = (
            cross_zone_feasibility.UnschedulableReporter(
                holder.zone, machine, feasibility_checker
            )
        )
        self.start_hold = start_hold.StartHold(
            holder.zone, machine, feasibility_checker
        )
        self.epoch_state: epoch_states.EpochState | None = None
        self._wakeup = trio.Event()
        self._leases_checked_at = -math.inf
        self._nursery: trio.Nursery | None = None
        machine.watchers.append(self._on_change)

    def _on_change(self, change: changes.Change, _: changes.Result) -> None:
        if self.epoch_state is not None:
            self.epoch_state.feed.on_change(change)
        if not isinstance(change, changes.RenewGrant):
            self.wake()

    def wake(self) -> None:
        """Make the next step start without waiting for the step period."""
        self._wakeup.set()

    def _current_epoch_state(self) -> epoch_states.EpochState:
        """Return the state of the held epoch.

        Creates it for a new epoch, and resets it after a snapshot was restored.
        """
        now = trio.current_time()
        epoch_state = self.epoch_state
        if epoch_state is None or epoch_state.epoch != self.holder.held_epoch:
            epoch_state = epoch_states.EpochState(
                self.machine, self.holder, self.make_planner(), now
            )
            self.epoch_state = epoch_state
        elif not epoch_state.is_current():
            epoch_state.reset(self.make_planner(), now)
        return epoch_state

    def announce(
        self,
        announcement: announcements.Announcement,
        measured: tuple[announcements.TaskReport, ...] | None = None,
    ) -> announcements.Reply | None:
        """Handle the announcement of a worker.

        Args:
            announcement: The announcement, newer than any before it.
            measured: Those of the worker's task reports whose usage was
                measured anew; None if it was in all of them.

        Returns:
            The reply, which renews leases; None if this instance does not
            hold the grant of the worker's zone.
        """
        if announcement.zone != self.zone or not self.holder.holds():
            return None
        epoch_state = self._current_epoch_state()
        now = trio.current_time()
        if measured is None:
            measured = announcement.tasks
        reconciled = epoch_state.apply_announcement(announcement, measured, now)
        if self.start_hold.is_active():
            for end in self.start_hold.withhold(
                reconciled.missing, announcement.tasks, now
            ):
                epoch_state.add_end(end)
        else:
            self._resend_missing_starts(
                epoch_state, announcement, reconciled, now
            )
        if epoch_state.ends:
            self.wake()
        return replies.make_reply(epoch_state, announcement, reconciled, now)

    def needs_full_announcement(self, zone: str, worker: str) -> bool:
        """Return whether a worker has to send a full announcement.

        The first announcement of a worker in an epoch has to be a full one.

        Args:
            zone: Availability zone of the worker.
            worker: Name of the worker.
        """
        if zone != self.zone or not self.holder.holds():
            return False
        return worker not in self._current_epoch_state().workers.records

    def _resend_missing_starts(
        self,
        epoch_state: epoch_states.EpochState,
        announcement: announcements.Announcement,
        reconciled: reconciliation.Reconciliation,
        now: float,
    ) -> None:
        """Resend starts of leased tasks that the worker did not report."""
        if self._nursery is None or not self.holder.may_start(now):
            return
        names = [task.task_id for task in reconciled.missing]
        if names:
            self._nursery.start_soon(
                self._push_starts, epoch_state, announcement.name, names
            )

    async def _push_starts(
        self,
        epoch_state: epoch_states.EpochState,
        worker: str,
        names: list[str],
    ) -> None:
        # The zone may have been evacuated since the starts were recorded.
        if self.start_hold.is_active():
            return
        await self.executor.push_starts(epoch_state, worker, names)
        if epoch_state.ends:
            self.wake()

    async def run(self) -> None:
        """Make scheduling steps while the grant is held, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                with trio.move_on_after(STEP_PERIOD_SECONDS):
                    await self._wakeup.wait()
                self._wakeup = trio.Event()
                if self.holder.holds():
                    await self.step()
                else:
                    self.epoch_state = None
                await trio.sleep(MIN_STEP_PERIOD_SECONDS)

    async def step(self) -> None:
        """Record ended attempts, then make a plan and execute its decisions."""
        epoch_state = self._current_epoch_state()
        now = trio.current_time()
        epoch_state.feed.sync(now)
        self.start_hold.update()
        if now - self._leases_checked_at >= LEASE_CHECK_PERIOD_SECONDS:
            self._leases_checked_at = now
            epoch_state.detect_lost_tasks(now)
        await self._apply_requested_state(epoch_state, now)
        await self.executor.record_ends(epoch_state)
        now = trio.current_time()
        if not epoch_state.is_current() or not self.holder.may_start(now):
            return
        # In an evacuated zone the planner still throttles and evicts batch
        # tasks to protect services, but it makes no room for waiting tasks.
        evacuated = self.start_hold.is_active()
        plan = epoch_state.feed.planner.plan(
            now, time.time(), 0 if evacuated else MAX_STARTS_PER_STEP
        )
        await self._execute_plan(epoch_state, plan)

    async def _apply_requested_state(
        self, epoch_state: epoch_states.EpochState, now: float
    ) -> None:
        """Start and stop tasks as customers and operators request."""
        actions = epoch_state.service_actions(now)
        epoch_state.feed.request_services(actions.starts)
        evictions = [
            _eviction(task, "not asked for any more, or replaced")
            for task in actions.stops
            if task.state == job.TaskState.RUNNING
        ]
        evictions += [
            _eviction(task, "its backend server was stopped by an operator")
            for task in epoch_state.batch_tasks_on_stopped_workers()
        ]
        if evictions:
            await self.executor.evict(epoch_state, evictions)

    async def _execute_plan(
        self, epoch_state: epoch_states.EpochState, plan: decisions.Plan
    ) -> None:
        waits = self.unschedulable_reporter.filter_waits(
            plan.waits, trio.current_time()
        )
        waits += self.start_hold.waits(trio.current_time())
        if waits:
            await self.executor.record_waits(epoch_state, waits)
        for throttle in plan.throttles:
            task = self.machine.job_store.tasks.get(throttle.task_id)
            if task is not None:
                key = (throttle.task_id, task.attempt)
                epoch_state.throttles[key] = throttle.share
        evictions = self._evictions_in(plan)
        if evictions:
            await self.executor.evict(epoch_state, evictions)
        if plan.starts:
            pushes = await self.executor.start(epoch_state, plan.starts)
            assert self._nursery is not None
            for worker, names in pushes.items():
                self._nursery.start_soon(
                    self._push_starts, epoch_state, worker, names
                )

    def _evictions_in(self, plan: decisions.Plan) -> list[changes.Eviction]:
        evictions = []
        for decided in plan.evictions:
            task = self.machine.job_store.tasks.get(decided.task_id)
            if task is not None and task.held is not None:
                evictions.append(_eviction(task, decided.reason))
        return evictions

    def confirm_holder_stopped(self, holder: str) -> None:
        """Note that an earlier holder of the grant no longer renews leases."""
        self.holder.stopped_holders.add(holder)
        if (
            self.epoch_state is not None
            and not self.holder.unconfirmed_holders()
        ):
            self.epoch_state.mark_earlier_holders_stopped(trio.current_time())


def _eviction(task: job.Task, reason: str) -> changes.Eviction:
    return changes.Eviction(task.task_id, task.attempt, reason)
