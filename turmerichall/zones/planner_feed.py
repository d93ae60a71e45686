"""Keeps a planner up to date with the replicated state."""

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

# How long the other zones wait before they try to place a task that its
# preferred zone may place first.
PREFERRED_ZONE_HEAD_START_SECONDS = 2.0


class PlannerFeed:
    """Reports to a planner which tasks wait, run and end.

    Attributes:
        machine: The replicated state.
        zone: The availability zone that the planner decides for.
        planner: The planner.
        restore_count: The `restore_count` of `machine` when the feed was
            created; the feed is invalid once the machine's count differs.
        dirty: Ids of the tasks that may have changed since the last `sync`.
        allocations: Worker and attempt of each task that the planner counts as
            running, by task id.
        pending_starts: Worker of each start that the planner has decided on
            and that is not recorded yet, by task id.
        deferred: Heap of the waiting tasks that another zone tries to place
            first: when to add the task to the planner, trio time, and its id.
        requested_services: Ids of the service tasks that the planner was
            asked to start.
        last_ends: Last recorded end of each task in `dirty` that has one, by
            task id.
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
        self.allocations: dict[str, tuple[str, int]] = {}
        self.pending_starts: dict[str, str] = {}
        self.deferred: list[tuple[float, str]] = []
        self.requested_services: set[str] = set()
        self.last_ends: dict[str, changes.End] = {}
        for task in machine.job_store.live_tasks_in(zone):
            self._sync_running(task, now)
        for task_id in machine.job_store.waiting:
            self.dirty[task_id] = None
        self._set_quotas()

    def on_change(self, change: changes.Change) -> None:
        """Mark the tasks that an applied change may have changed."""
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

    def _mark_dirty(self, task_ids: Iterable[str]) -> None:
        for task_id in task_ids:
            self.dirty[task_id] = None

    def _mark_job_dirty(self, job_id: str) -> None:
        if job_id in self.machine.job_store.jobs:
            tasks = self.machine.job_store.job_tasks(job_id)
            self._mark_dirty(task.task_id for task in tasks)

    def _set_quotas(self) -> None:
        for team, entry in self.machine.configuration.quotas.items():
            self.planner.set_quota(team, entry.body.limit)

    def sync(self, now: float) -> None:
        """Update the planner with changed tasks and deferred ones now due."""
        dirty = self.dirty
        self.dirty = {}
        for task_id in dirty:
            self._sync_task(task_id, now)
        while self.deferred and self.deferred[0][0] <= now:
            _, task_id = heapq.heappop(self.deferred)
            self._add_deferred(task_id)

    def _sync_task(self, task_id: str, now: float) -> None:
        task = self.machine.job_store.tasks.get(task_id)
        end = self.last_ends.pop(task_id, None)
        self._report_end_if_ended(task_id, task, end, now)
        if task is None:
            self.planner.drop_waiting(task_id)
        elif task.held is not None:
            self.requested_services.discard(task_id)
            if task.held.zone == self.zone:
                self._sync_running(task, now)
            else:
                self.planner.drop_waiting(task_id)
        elif task_id not in self.machine.job_store.waiting:
            if task_id not in self.requested_services:
                self.planner.drop_waiting(task_id)
        else:
            self._sync_waiting(task, now)

    def _report_end_if_ended(
        self,
        task_id: str,
        task: job.Task | None,
        end: changes.End | None,
        now: float,
    ) -> None:
        if task_id not in self.allocations:
            return
        worker, attempt = self.allocations[task_id]
        current = task is not None and task.held is not None
        if current and task is not None and task.attempt == attempt:
            return
        del self.allocations[task_id]
        ending = _ending_from_state(task)
        if end is not None and end.attempt == attempt:
            ending = end.ending
        self.planner.record_end(task_id, worker, ending, now)

    def _sync_running(self, task: job.Task, now: float) -> None:
        assert task.held is not None
        if task.task_id in self.allocations:
            return
        worker = task.held.worker
        self.allocations[task.task_id] = (worker, task.attempt)
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
        # Zones that may start the task don't wait for an evacuated one.
        serving = self.machine.configuration.serving_zones(view.zones)
        preferred = task_views.preferred_zone(
            task.task_id, serving or view.zones
        )
        if preferred == self.zone:
            self.planner.put_waiting(view)
        else:
            due_at = now + PREFERRED_ZONE_HEAD_START_SECONDS
            heapq.heappush(self.deferred, (due_at, task.task_id))

    def _add_deferred(self, task_id: str) -> None:
        task = self.machine.job_store.tasks.get(task_id)
        if task is None or task_id not in self.machine.job_store.waiting:
            return
        view = task_views.task_view(self.machine, task)
        if view is not None and self.zone in view.zones:
            self.planner.put_waiting(view)

    def request_services(self, tasks: tuple[job.Task, ...]) -> None:
        """Ask the planner to start these service tasks, and no other ones."""
        task_ids = {task.task_id for task in tasks}
        for task_id in self.requested_services - task_ids:
            self.planner.drop_waiting(task_id)
        for task in tasks:
            if task.task_id in self.requested_services:
                continue
            view = task_views.task_view(self.machine, task)
            if view is not None:
                self.planner.put_waiting(view)
        self.requested_services = task_ids

    def add_pending_start(self, task_id: str, worker: str) -> None:
        """Note a start that the planner decided on, until it is recorded."""
        self.pending_starts[task_id] = worker

    def report_failed_start(
        self, task_id: str, worker: str, now: float
    ) -> None:
        """Tell the planner that a start it decided on could not be recorded."""
        self.pending_starts.pop(task_id, None)
        if task_id in self.allocations:
            return
        self.planner.record_end(task_id, worker, changes.Ending.REFUSED, now)
        self.requested_services.discard(task_id)
        self.dirty[task_id] = None

    def report_usage(
        self,
        worker: str,
        reports: tuple[announcements.TaskReport, ...],
        now: float,
    ) -> None:
        """Pass the measurements in a worker's reports on to the planner."""
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
