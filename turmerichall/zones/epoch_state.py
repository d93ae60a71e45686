"""State of a placement authority during one epoch of its zone's grant."""

import collections
import math
from typing import NamedTuple

from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.placement import planner as planners
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.zones import grant as grants
from turmerichall.zones import grant_holder
from turmerichall.zones import planner_feed
from turmerichall.zones import reconciliation
from turmerichall.zones import services
from turmerichall.zones import task_views
from turmerichall.zones import worker_registry

__all__ = ["EpochState", "RecordedEviction"]

MAX_USABLE_SILENCE_SECONDS = 6.0
MAX_KEPT_EVICTIONS = 100


class RecordedEviction(NamedTuple):
    """A recorded eviction of a task, as it is shown to operators.

    Attributes:
        wall_seconds: When the eviction was recorded, Unix time.
        task_id: Id of the evicted task.
        worker: Name of the worker that ran the task.
        reason: Why the task was evicted.
    """

    wall_seconds: float
    task_id: str
    worker: str
    reason: str


class EpochState:
    """The state that a placement authority keeps during one epoch.

    Attributes:
        machine: The replicated state.
        holder: Keeps the grant of the zone for this instance.
        epoch: Epoch of the grant.
        workers: The zone's workers that announced themselves in the epoch.
        feed: Keeps the planner up to date with the replicated state.
        ends: Ends of attempts that are still to be recorded, by task id and
            attempt.
        throttles: Fraction of its processors that each throttled attempt may
            use, by task id and attempt.
        earlier_holders_stop_at: When earlier holders have provably stopped
            renewing the leases of batch tasks, trio time.
        evictions: The latest evictions that were recorded in the epoch.
    """

    def __init__(
        self,
        machine: machines.StateMachine,
        holder: grant_holder.GrantHolder,
        planner: planners.Planner,
        now: float,
    ):
        self.machine = machine
        self.holder = holder
        self.epoch = holder.held_epoch
        self.workers = worker_registry.WorkerRegistry(
            self.epoch, holder.acquired_at
        )
        self.ends: dict[tuple[str, int], changes.End] = {}
        self.throttles: dict[tuple[str, int], float] = {}
        self.evictions: collections.deque[RecordedEviction]
        self.evictions = collections.deque(maxlen=MAX_KEPT_EVICTIONS)
        grace_seconds = lease.ended_after_seconds(
            grants.QUORUM_LOSS_GRACE_SECONDS
        )
        waits = bool(holder.unconfirmed_holders())
        self.earlier_holders_stop_at = now + grace_seconds if waits else now
        self.feed = self._new_feed(planner, now)

    def _new_feed(
        self, planner: planners.Planner, now: float
    ) -> planner_feed.PlannerFeed:
        return planner_feed.PlannerFeed(
            self.machine, self.holder.zone, planner, now
        )

    def is_current(self) -> bool:
        """Return whether the epoch is still held and this state still valid.

        It is no longer valid once a snapshot has replaced the replicated state.
        """
        held = self.holder.holds() and self.holder.held_epoch == self.epoch
        return held and self.feed.restore_count == self.machine.restore_count

    def reset(self, planner: planners.Planner, now: float) -> None:
        """Start over with a new planner, after a snapshot was restored."""
        self.feed = self._new_feed(planner, now)
        self.ends = {}
        self.throttles = {}
        for record in self.workers.records.values():
            self._put_worker(record.announcement)

    def _put_worker(self, announcement: announcements.Announcement) -> None:
        intention = self.machine.configuration.intention(announcement.name)
        self.feed.planner.put_worker(
            task_views.worker_view(announcement, intention)
        )

    def apply_announcement(
        self,
        announcement: announcements.Announcement,
        measured: tuple[announcements.TaskReport, ...],
        now: float,
    ) -> reconciliation.Reconciliation:
        """Apply a worker's announcement.

        Args:
            announcement: The announcement, newer than any before it.
            measured: Those of the worker's task reports whose usage was
                measured anew.
            now: Current time, trio clock.

        Returns:
            How the reported tasks compare with the leases on the worker.
        """
        self.workers.update(announcement, now)
        self._put_worker(announcement)
        self.feed.report_usage(announcement.name, measured, now)
        reconciled = reconciliation.reconcile(self.machine, announcement)
        for end in reconciled.ends:
            self.add_end(end)
        if now >= self.workers.previous_incarnation_ends_at(announcement.name):
            for task in reconciled.orphaned:
                self.add_end(
                    _lost_end(task, f"worker {announcement.name} restarted")
                )
        return reconciled

    def add_end(self, end: changes.End) -> None:
        """Add the end of an attempt to the ends still to be recorded."""
        self.ends.setdefault((end.task_id, end.attempt), end)

    def record_evictions(self, change: changes.EvictTasks) -> None:
        """Remember the evictions of an applied change, to show to operators."""
        for eviction in change.evictions:
            task = self.machine.job_store.tasks.get(eviction.task_id)
            if task is None or task.attempt != eviction.attempt:
                continue
            if task.held is None:
                continue
            self.evictions.append(
                RecordedEviction(
                    change.wall_seconds,
                    eviction.task_id,
                    task.held.worker,
                    eviction.reason,
                )
            )

    def mark_earlier_holders_stopped(self, now: float) -> None:
        """Record that no earlier holder renews leases from now on."""
        self.earlier_holders_stop_at = now

    def detect_lost_tasks(self, now: float) -> None:
        """Add the ends of tasks whose leases have provably ended.

        Also removes workers that have fallen silent from the planner.
        """
        for name, record in self.workers.records.items():
            if now - record.received_at > MAX_USABLE_SILENCE_SECONDS:
                self.feed.planner.drop_worker(name)
        for task in self.machine.job_store.live_tasks_in(self.holder.zone):
            assert task.held is not None
            worker = task.held.worker
            if now > self._lease_end_at(task, worker):
                reason = f"worker {worker} was silent; its lease has ended"
                self.add_end(_lost_end(task, reason))

    def _lease_end_at(self, task: job.Task, worker: str) -> float:
        holders_stop_at = self.earlier_holders_stop_at
        if self.holder.unconfirmed_holders():
            # An earlier holder of the grant that has not confirmed that it
            # stopped may renew leases of service tasks without a time limit.
            if not self.machine.job_store.is_batch(task):
                holders_stop_at = math.inf
        return self.workers.leases_end_at(worker, holders_stop_at)

    def service_actions(self, now: float) -> services.ServiceActions:
        """Return the service tasks to start and to stop."""
        # After this instance has acquired the grant, waits until the workers
        # have announced themselves; otherwise running tasks would be replaced.
        settled = now - self.workers.acquired_at > MAX_USABLE_SILENCE_SECONDS
        zone = self.holder.zone
        if not settled and self.machine.job_store.live_service_tasks(zone):
            return services.ServiceActions((), ())
        usable = self._usable_workers(now)
        return services.service_actions(self.machine, zone, usable)

    def _usable_workers(self, now: float) -> set[str]:
        usable = set()
        for name, record in self.workers.records.items():
            heard = now - record.received_at <= MAX_USABLE_SILENCE_SECONDS
            intention = self.machine.configuration.intention(name)
            serving = intention == changes.Intention.SERVING
            if heard and serving and not record.announcement.leaving:
                usable.add(name)
        return usable

    def batch_tasks_on_stopped_workers(self) -> list[job.Task]:
        """Return the running batch tasks on workers that operators stopped."""
        job_store = self.machine.job_store
        found = []
        for name in self.workers.records:
            intention = self.machine.configuration.intention(name)
            if intention != changes.Intention.STOPPED:
                continue
            for task_id in job_store.live_by_worker.get(name, ()):
                task = job_store.tasks[task_id]
                running = task.state == job.TaskState.RUNNING
                if running and job_store.is_batch(task):
                    found.append(task)
        return found

    def make_command(
        self,
        kind: announcements.CommandKind,
        task_id: str,
        announcement: announcements.Announcement,
    ) -> announcements.Command | None:
        """Make a command for the current attempt of a task.

        Args:
            kind: The kind of command.
            task_id: Id of the task.
            announcement: Last announcement of the task's worker.

        Returns:
            The command; None if the task's template does not exist.
        """
        task = self.machine.job_store.tasks[task_id]
        command = task_views.task_command(
            kind,
            self.machine,
            task,
            announcement,
            self.epoch,
            lease.LEASE_SECONDS,
        )
        if command is None:
            return None
        share = self.throttles.get((task_id, task.attempt), 1.0)
        return command._replace(throttle=share)


def _lost_end(task: job.Task, reason: str) -> changes.End:
    return changes.End(
        task.task_id, task.attempt, changes.Ending.LOST, reason=reason
    )
