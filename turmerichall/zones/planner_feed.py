"""Keeps a planner told of the replicated state."""

import heapq
from collections.abc import Iterable

from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.zones import task_views

__all__ = ["PlannerFeed"]

# How long a task waits for the zone that tries it first.
PREFERRED_ZONE_HEAD_START_SECONDS = 2.0


class PlannerFeed:
    """Tells one planner of tasks as they wait, run and end.

    Attributes:
        machine: The replicated state.
        zone: The availability zone that the planner decides for.
        planner: The planner.
        restores: Restores of the machine when the feed was made.
        dirty: Tasks that changed since the planner was last told.
        held: Worker and attempt of each task that the planner counts as held.
        decided: Worker of each start that the planner decided and that is
            not recorded yet.
        deferred: Tasks that another zone tries first, by when to put them in.
        services: Service tasks that the planner was asked to start.
        ends: Last recorded end of each task in `dirty` that has one.
    """

    def __init__(
        self,
        machine: machines.StateMachine,
        zone: str,
        planner: planners.Planner,
        now: float,
    ):
        self.machine = machine
        self.zone = zone
        self.planner = planner
        self.restore_count = machine.restore_count
        self.dirty: dict[str, None] = {}
        self.held: dict[str, tuple[str, int]] = {}
        self.pending_starts: dict[str, str] = {}
        self.deferred: list[tuple[float, str]] = []
        self.requested_services: set[str] = set()
        self.last_ends: dict[str, changes.End] = {}
        for task in machine.job_store.live_tasks_in(zone):
            self._sync_running(task, now)
        for name in machine.job_store.waiting:
            self.dirty[name] = None
        self._set_quotas()

    def on_change(self, change: changes.Change) -> None:
        """Notes which tasks a change may have touched."""
        if isinstance(change, changes.StartTasks):
            self._mark_dirty(start.task_id for start in change.starts)
        elif isinstance(change, changes.EndTasks):
            self._mark_dirty(end.task_id for end in change.ends)
            self.last_ends.update({end.task_id: end for end in change.ends})
        elif isinstance(change, changes.EvictTasks):
            self._mark_dirty(eviction.task_id for eviction in change.evictions)
        elif isinstance(change, changes.AcceptJob | changes.CancelJob):
            self._mark_job_dirty(change.job_id)
        elif isinstance(change, changes.SetQuota):
            self._set_quotas()
        elif isinstance(change, changes.SetCustomer | changes.PublishTemplate):
            self._mark_dirty(self.machine.job_store.waiting)

    def _mark_dirty(self, names: Iterable[str]) -> None:
        for name in names:
            self.dirty[name] = None

    def _mark_job_dirty(self, job_id: str) -> None:
        if job_id in self.machine.job_store.jobs:
            tasks = self.machine.job_store.job_tasks(job_id)
            self._mark_dirty(task.task_id for task in tasks)

    def _set_quotas(self) -> None:
        for team, entry in self.machine.configuration.quotas.items():
            self.planner.set_quota(team, entry.body.limit)

    def sync(self, now: float) -> None:
        """Tells the planner of everything that changed."""
        dirty = self.dirty
        self.dirty = {}
        for name in dirty:
            self._sync_task(name, now)
        while self.deferred and self.deferred[0][0] <= now:
            _, name = heapq.heappop(self.deferred)
            self._add_deferred(name)

    def _sync_task(self, name: str, now: float) -> None:
        task = self.machine.job_store.tasks.get(name)
        end = self.last_ends.pop(name, None)
        self._report_end_if_ended(name, task, end, now)
        if task is None:
            self.planner.drop_waiting(name)
        elif task.held is not None:
            self.requested_services.discard(name)
            if task.held.zone == self.zone:
                self._sync_running(task, now)
            else:
                self.planner.drop_waiting(name)
        elif name not in self.machine.job_store.waiting:
            if name not in self.requested_services:
                self.planner.drop_waiting(name)
        else:
            self._sync_waiting(task, now)

    def _report_end_if_ended(
        self,
        name: str,
        task: job.Task | None,
        end: changes.End | None,
        now: float,
    ) -> None:
        if name not in self.held:
            return
        worker, attempt = self.held[name]
        current = task is not None and task.held is not None
        if current and task is not None and task.attempt == attempt:
            return
        del self.held[name]
        ending = _ending_from_state(task)
        if end is not None and end.attempt == attempt:
            ending = end.ending
        self.planner.record_end(name, worker, ending, now)

    def _sync_running(self, task: job.Task, now: float) -> None:
        assert task.held is not None
        if task.task_id in self.held:
            return
        worker = task.held.worker
        self.held[task.task_id] = (worker, task.attempt)
        if self.pending_starts.pop(task.task_id, "") == worker:
            self.planner.record_start(task.task_id, worker, now)
            return
        view = task_views.task_view(self.machine, task)
        if view is not None:
            self.planner.put_running(view, worker, now)

    def _sync_waiting(self, task: job.Task, now: float) -> None:
        view = task_views.task_view(self.machine, task)
        if view is None or self.zone not in view.zones:
            self.planner.drop_waiting(task.task_id)
            return
        first = task_views.preferred_zone(task.task_id, view.zones)
        if first == self.zone:
            self.planner.put_waiting(view)
        else:
            at = now + PREFERRED_ZONE_HEAD_START_SECONDS
            heapq.heappush(self.deferred, (at, task.task_id))

    def _add_deferred(self, name: str) -> None:
        task = self.machine.job_store.tasks.get(name)
        if task is None or name not in self.machine.job_store.waiting:
            return
        view = task_views.task_view(self.machine, task)
        if view is not None and self.zone in view.zones:
            self.planner.put_waiting(view)

    def request_services(self, tasks: tuple[job.Task, ...]) -> None:
        """Has the planner start the service tasks that are missing."""
        names = {task.task_id for task in tasks}
        for name in self.requested_services - names:
            self.planner.drop_waiting(name)
        for task in tasks:
            if task.task_id in self.requested_services:
                continue
            view = task_views.task_view(self.machine, task)
            if view is not None:
                self.planner.put_waiting(view)
        self.requested_services = names

    def add_pending_start(self, name: str, worker: str) -> None:
        """Notes that the planner counts a start as under way."""
        self.pending_starts[name] = worker

    def report_failed_start(self, name: str, worker: str, now: float) -> None:
        """Notes that a decided start was not recorded."""
        self.pending_starts.pop(name, None)
        if name in self.held:
            return
        self.planner.record_end(name, worker, changes.Ending.REFUSED, now)
        self.requested_services.discard(name)
        self.dirty[name] = None

    def report_usage(
        self,
        worker: str,
        reports: tuple[announcements.TaskReport, ...],
        now: float,
    ) -> None:
        """Passes the measurements of a worker's reports on."""
        for report in reports:
            if not report.has_measurement():
                continue
            self.planner.put_usage(
                views.UsageReport(
                    worker,
                    report.task_id,
                    report.attempt,
                    report.usage,
                    report.slowdown,
                    now - report.measured_seconds_ago,
                )
            )


def _ending_from_state(task: job.Task | None) -> changes.Ending:
    if task is None or task.state == job.TaskState.FINISHED:
        return changes.Ending.FINISHED
    if task.state == job.TaskState.FAILED:
        return changes.Ending.FAILED
    if task.state == job.TaskState.CANCELLED:
        return changes.Ending.CANCELLED
    return changes.Ending.EVICTED
