"""What a placing authority keeps while it holds one epoch of its zone."""

import collections
import math
from typing import NamedTuple

from turmerichall.backend_servers import announcement
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

USABLE_SILENCE_SECONDS = 6.0
MAX_KEPT_EVICTIONS = 100


class RecordedEviction(NamedTuple):
    """An eviction as operators are told of it.

    Attributes:
        wall_seconds: When it was recorded, Unix time.
        task_id: The task.
        worker: Worker that ran it.
        reason: Why.
    """

    wall_seconds: float
    task_id: str
    worker: str
    reason: str


class EpochState:
    """The workers, the planner and the ends of one epoch.

    Attributes:
        machine: The replicated state.
        holder: This instance's part in the grant.
        epoch: The epoch.
        book: What is known of the zone's workers.
        feed: Keeps the planner told of the replicated state.
        ends: Ends to be recorded, by task and attempt.
        throttles: Share of its processors that each throttled task keeps.
        earlier_end_at: When no earlier holder renews leases any more.
        evictions: The last evictions that were recorded.
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
        self.book = worker_registry.WorkerRegistry(
            self.epoch, holder.acquired_at
        )
        self.ends: dict[tuple[str, int], changes.End] = {}
        self.throttles: dict[tuple[str, int], float] = {}
        self.evictions: collections.deque[RecordedEviction]
        self.evictions = collections.deque(maxlen=MAX_KEPT_EVICTIONS)
        hold = lease.ended_after_seconds(grants.QUORUM_LOSS_GRACE_SECONDS)
        waits = bool(holder.earlier_holders())
        self.earlier_end_at = now + hold if waits else now
        self.feed = self._new_feed(planner, now)

    def _new_feed(
        self, planner: planners.Planner, now: float
    ) -> planner_feed.PlannerFeed:
        return planner_feed.PlannerFeed(
            self.machine, self.holder.zone, planner, now
        )

    def is_current(self) -> bool:
        """Tells whether the epoch is held and the state was not replaced."""
        held = self.holder.holds() and self.holder.held_epoch == self.epoch
        return held and self.feed.restore_count == self.machine.restore_count

    def start_afresh(self, planner: planners.Planner, now: float) -> None:
        """Tells a new planner everything, after the state was replaced."""
        self.feed = self._new_feed(planner, now)
        self.ends = {}
        self.throttles = {}
        for record in self.book.records.values():
            self._put_worker(record.told)

    def _put_worker(self, told: announcement.Announcement) -> None:
        intention = self.machine.configuration.intention(told.name)
        self.feed.planner.put_worker(task_views.worker_view(told, intention))

    def take(
        self,
        told: announcement.Announcement,
        measured: tuple[announcement.TaskReport, ...],
        now: float,
    ) -> reconciliation.Reconciliation:
        """Takes in a worker's announcement.

        Args:
            told: The announcement, newer than any before.
            measured: Its reports with a new measurement.
            now: Current time, trio clock.

        Returns:
            What it says about the worker's tasks.
        """
        self.book.take(told, now)
        self._put_worker(told)
        self.feed.measure(told.name, measured, now)
        reading = reconciliation.reconcile(self.machine, told)
        for end in reading.ends:
            self.note_end(end)
        if now >= self.book.restarted_leases_end_at(told.name):
            for task in reading.outlived:
                self.note_end(_lost(task, f"worker {told.name} restarted"))
        return reading

    def note_end(self, end: changes.End) -> None:
        """Notes an end that is to be recorded."""
        self.ends.setdefault((end.task_id, end.attempt), end)

    def note_evicted(self, change: changes.EvictTasks) -> None:
        """Keeps the evictions of an applied change, for operators."""
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

    def note_stopped(self, now: float) -> None:
        """Notes that no earlier holder renews leases from now on."""
        self.earlier_end_at = now

    def note_lost(self, now: float) -> None:
        """Notes the loss of tasks whose leases have provably ended."""
        for name, record in self.book.records.items():
            if now - record.received_at > USABLE_SILENCE_SECONDS:
                self.feed.planner.drop_worker(name)
        for task in self.machine.job_store.live_tasks_in(self.holder.zone):
            assert task.held is not None
            worker = task.held.worker
            if now > self._lease_end(task, worker):
                reason = f"worker {worker} was silent; its lease has ended"
                self.note_end(_lost(task, reason))

    def _lease_end(self, task: job.Task, worker: str) -> float:
        earlier = self.earlier_end_at
        if self.holder.earlier_holders():
            # An earlier holder may renew leases of services without limit.
            if not self.machine.job_store.is_batch(task):
                earlier = math.inf
        return self.book.leases_end_at(worker, earlier)

    def wanted_services(self, now: float) -> services.Wanted:
        """Returns which service tasks to start and to stop."""
        # Workers of the zone announce themselves first after a takeover.
        settled = now - self.book.acquired_at > USABLE_SILENCE_SECONDS
        zone = self.holder.zone
        if not settled and self.machine.job_store.live_service_tasks(zone):
            return services.Wanted((), ())
        usable = self._usable(now)
        return services.wanted_services(self.machine, zone, usable)

    def _usable(self, now: float) -> set[str]:
        usable = set()
        for name, record in self.book.records.items():
            heard = now - record.received_at <= USABLE_SILENCE_SECONDS
            wanted = self.machine.configuration.intention(name)
            serving = wanted == changes.Intention.SERVING
            if heard and serving and not record.told.leaving:
                usable.add(name)
        return usable

    def stopped_batch(self) -> list[job.Task]:
        """Returns running batch tasks on workers that operators stopped."""
        job_store = self.machine.job_store
        found = []
        for name in self.book.records:
            wanted = self.machine.configuration.intention(name)
            if wanted != changes.Intention.STOPPED:
                continue
            for task_id in job_store.live_by_worker.get(name, ()):
                task = job_store.tasks[task_id]
                running = task.state == job.TaskState.RUNNING
                if running and job_store.is_batch(task):
                    found.append(task)
        return found

    def command(
        self,
        kind: announcement.CommandKind,
        task_id: str,
        told: announcement.Announcement,
    ) -> announcement.Command | None:
        """Makes a command about the current attempt of a task.

        Args:
            kind: What to do.
            task_id: The task.
            told: Last announcement of its worker.

        Returns:
            The command; None if the task's template is not known.
        """
        task = self.machine.job_store.tasks[task_id]
        made = task_views.command(
            kind, self.machine, task, told, self.epoch, lease.LEASE_SECONDS
        )
        if made is None:
            return None
        share = self.throttles.get((task_id, task.attempt), 1.0)
        return made._replace(throttle=share)


def _lost(task: job.Task, reason: str) -> changes.End:
    return changes.End(
        task.task_id, task.attempt, changes.Ending.LOST, reason=reason
    )
