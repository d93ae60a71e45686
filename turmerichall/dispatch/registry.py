"""Registry of live workers: registration, drain, removal and replacement."""

from collections.abc import Awaitable, Callable, Set
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import crash_register as crash_registers
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import reports
from turmerichall.dispatch import run_state
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import start_fence as start_fences
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.departures import identity
from turmerichall.dispatch.departures import leaving
from turmerichall.dispatch.departures import lost_runs
from turmerichall.dispatch.departures import probe
from turmerichall.dispatch.retention import worker_bound
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

__all__ = ["Owner", "Registry"]

_Commit = Callable[[changes.Change], Awaitable[object]]


class Owner(sessions.Owner, worker_bound.Owner, Protocol):
    """Interface of the leader for the registry; `Leadership` implements it."""

    backlog: backlogs.Backlog
    kept_out: Set[str]

    async def commit(
        self, change: changes.Change
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Commit a change; return None, or why it failed or is uncertain."""

    async def commit_or_resign(self, change: changes.Change) -> None:
        """Commit a change, or end the term's work if that fails."""

    def close_failed_job(self, job_id: str) -> None:
        """Stop the runs of a job if it has failed, unless that was done."""


class Registry:
    """The live workers of one term, each with its session.

    Attributes:
        owner: The leader.
        workers: Workers by id.
        sessions: Sessions by id of their worker.
        crash_register: Crashes of workers.
    """

    def __init__(self, owner: Owner, make_client: worker_client.MakeClient):
        self.owner = owner
        self.queue_state: states.QueueState = owner.queue_state
        self.log: link.Log = owner.log
        self.workers: dict[str, worker_state.Worker] = {}
        self.sessions: dict[str, sessions.WorkerSession] = {}
        self._make_client = make_client
        self._start_fence = start_fences.StartFence(owner, make_client)
        self.crash_register = crash_registers.CrashRegister(self.queue_state)
        self._began_at = leases.steady_seconds()
        self._nursery: trio.Nursery | None = None
        # Places of the registrations that are in progress, and of those whose
        # commit failed in this term or has an unknown outcome.
        self._registering: set[changes.Place] = set()
        self._uncertain: set[changes.Place] = set()
        self._leaving = leaving.LeavingWorkers(owner, self.workers, make_client)

    def load(self, nursery: trio.Nursery) -> None:
        """Add the workers of the replicated state.

        Args:
            nursery: Nursery in which their sessions run.
        """
        self._nursery = nursery
        for record in self.queue_state.workers.values():
            self._add_worker(record, record.id in self.queue_state.draining)

    def end(self) -> None:
        """End the term: no sessions start any more."""
        self._nursery = None

    def adopt_run(
        self,
        job: job_records.Job,
        name: changes.TaskName,
        task: job_records.TaskRecord,
    ) -> None:
        """Add a run found in the replicated state to its worker."""
        worker = self.workers.get(task.worker)
        if worker is None:
            return
        step = job.demand.steps[name.step]
        run = run_state.Run(name, task.run, step, job.queue)
        run.phase = run_state.Phase.ORDERED
        run.adopted = True
        run.record_suspicion(task)
        if step.fills:
            # An earlier leader may have throttled the run.
            run.pace_percent = run_state.UNKNOWN_PACE
        worker.add(run)

    def _add_worker(self, record: changes.WorkerRecord, draining: bool) -> None:
        if self._nursery is None:
            return
        worker = worker_state.Worker(
            record, self._make_client(record), self._began_at, draining
        )
        worker.capacity = self.queue_state.capacities.get(
            record.id, record.capacity
        )
        worker.kept_out = record.id in self.owner.kept_out
        worker.unanswered_starts = self._start_fence.take(record.name)
        if record.kept_name:
            worker.lease.record_namesake(leases.steady_seconds())
        session = sessions.WorkerSession(self.owner, worker)
        self.workers[record.id] = worker
        self.sessions[record.id] = session
        self._nursery.start_soon(session.run)

    async def heartbeat(self, heartbeat: worker_client.Heartbeat) -> bool:
        """Apply a heartbeat, and register the worker if it is unknown.

        Returns:
            Whether the heartbeat may be acknowledged, that is, its effects are
            durable.
        """
        record = heartbeat.worker
        if record.id in self.queue_state.gone:
            return True
        worker = self.workers.get(record.id) or self._namesake(record)
        if worker is None:
            if not await self._register(heartbeat):
                return False
            worker = self.workers.get(record.id)
            if worker is None:
                return False
        if identity.identify(record, worker.record) == identity.Sender.UNNAMED:
            reports.log_unnamed(self.log, record, worker)
            return False
        now = leases.steady_seconds()
        if worker.heartbeats.is_newest(heartbeat.sequence, now):
            worker.cold_until = now + heartbeat.cold_ms / 1000
            if not await self._resize(worker, record.capacity):
                return False
        # An incarnation that drains goes on to its end, so a late report of it
        # is true as well.
        return not heartbeat.draining or await self._drain(worker)

    def _namesake(
        self, record: changes.WorkerRecord
    ) -> worker_state.Worker | None:
        """Return the known worker that has sent a heartbeat of another id."""
        return next(
            (
                each
                for each in self.workers.values()
                if identity.may_have_sent(record, each.record, len(each.runs))
            ),
            None,
        )

    async def _resize(
        self, worker: worker_state.Worker, capacity: changes.Capacity
    ) -> bool:
        """Take over a worker's capacity; return whether this is durable."""
        worker_id = worker.record.id
        if capacity != worker.capacity:
            reports.log_resized(self.log, worker, capacity)
            worker.resize(capacity)
            self.owner.request_placement()
        if capacity == self.queue_state.capacities.get(
            worker_id, worker.record.capacity
        ):
            return True
        change = changes.ResizeWorker(worker_id, capacity)
        return await self.owner.commit(change) is None

    async def _register(self, heartbeat: worker_client.Heartbeat) -> bool:
        """Register a worker, which replaces others at its place.

        Two registrations for one place don't overlap, since the second could
        remove the worker of the first before the leader knows it.
        """
        record = heartbeat.worker
        places = record.places
        if places & self._registering:
            return False
        self._registering |= places
        try:
            if not await self._may_register(record, places):
                return False
            if not await self._remove_replaced(record):
                return False
            if not await self._start_fence.fence_earlier(record):
                return False
            if not await worker_bound.make_room(self.owner):
                return False
            failed = await self.owner.commit(changes.RegisterWorker(record))
            if failed is not None:
                # The change may be applied later.
                self._uncertain |= places
                return False
        finally:
            self._registering -= places
        await self.drop_removed()
        if (
            record.id in self.queue_state.workers
            and record.id not in self.workers
        ):
            self._add_worker(record, False)
            reports.log_registered(self.log, record)
        return True

    async def _may_register(
        self, record: changes.WorkerRecord, places: Set[changes.Place]
    ) -> bool:
        """Return whether a worker may replace those at its place.

        The heartbeat of a dead incarnation may arrive after a newer one has
        registered.
        """
        known = [
            other.id
            for other in self.queue_state.workers.values()
            if record.shares_place(other)
        ]
        if not known and not places & self._uncertain:
            return True
        if await self._answers_as_itself(record):
            return True
        self.log.info(
            "heartbeat refused: address does not answer as this worker",
            worker=record.id,
            address=record.address,
            known=known,
        )
        return False

    async def _answers_as_itself(self, record: changes.WorkerRecord) -> bool:
        """Return whether a recorded incarnation answers at its address."""
        status = await probe.poll_once(
            self._make_client, record, self.owner.token
        )
        return identity.confirms(status, record)

    async def _drain(self, worker: worker_state.Worker) -> bool:
        """Commit that a worker drains; return whether this is durable."""
        worker_id = worker.record.id
        worker.draining = True
        if worker_id not in self.queue_state.draining:
            failed = await self.owner.commit(changes.DrainWorker(worker_id))
            if failed is not None:
                return False
            self.log.info(
                "worker is draining", worker=worker_id, runs=len(worker.runs)
            )
        self.stop_movable_runs(worker)
        return True

    def stop_movable_runs(self, worker: worker_state.Worker) -> None:
        """Stop the runs that lose nothing by a move to another worker."""
        session = self.sessions.get(worker.record.id)
        if session is not None:
            for run in list(worker.runs.values()):
                if run.step.lasting or run.step.checkpoints:
                    self.owner.spawn_stop(session, run)

    async def worker_leaving(self, name: str) -> bool:
        """Handle a worker's notice that it is shutting down.

        Args:
            name: Name of the worker, which all of its incarnations have.

        Returns:
            Whether to acknowledge the notice.
        """
        worker = next(
            (
                each
                for each in self.workers.values()
                if each.record.name == name
            ),
            None,
        )
        if worker is None:
            return identity.was_known(name, self.queue_state.gone)
        may_be_late = (
            not worker.draining
            and leases.steady_seconds() < worker.lease.misdirected_until
        )
        if may_be_late and identity.was_known(name, self.queue_state.gone):
            # The notice of an earlier incarnation; this one has only begun.
            return True
        if not await self._drain(worker):
            return False
        worker_id = worker.record.id
        if self._nursery is not None and self._leaving.add(worker_id):
            self._nursery.start_soon(self._remove_after_end, worker)
        if worker_id in self.sessions:
            await self._leaving.stop_runs(self.sessions[worker_id])
        return True

    async def _remove_after_end(self, worker: worker_state.Worker) -> None:
        """Remove a worker that is leaving, once it has ended."""
        if await self._leaving.wait_for_end(worker):
            await self._start_fence.fence(worker)
            await self._remove(worker, self.owner.commit_or_resign)

    async def worker_replaced(self, worker: worker_state.Worker) -> bool:
        """See `session.Owner`."""
        if not worker.replaced:
            self.log.info("worker was replaced", worker=worker.record.id)
        if not await self._start_fence.fence(worker):
            return False
        return await self._remove(worker, self.owner.commit_or_resign)

    async def _remove_replaced(self, record: changes.WorkerRecord) -> bool:
        """Remove the workers whose place another worker has taken over.

        Args:
            record: The other worker.

        Returns:
            Whether this is durable.
        """
        for worker in list(self.workers.values()):
            if record.shares_place(worker.record) and not worker.removing:
                if identity.may_have_sent(
                    record, worker.record, len(worker.runs)
                ):
                    return False
                if not await self._start_fence.fence(worker, record):
                    return False
                if not await self._remove(worker, self.owner.commit):
                    return False
        return True

    async def _remove(
        self, worker: worker_state.Worker, commit: _Commit
    ) -> bool:
        """Remove a worker; return whether this is durable.

        Args:
            worker: The worker.
            commit: Commits the change; returns None, or why it failed.
        """
        if worker.record.id in self.queue_state.workers and not worker.removing:
            change = self._removal(worker)
            if await commit(change) is not None:
                worker.removing = False
                return False
            reports.log_crash(self.log, change)
        await self.drop_removed()
        return True

    async def remove_unusable(self, worker: worker_state.Worker) -> None:
        """Remove a worker that can't be called and has no runs."""
        worker.removing = True
        change = changes.LoseWorker(worker.record.id)
        await self.owner.commit_or_resign(change)
        await self.drop_removed()

    def _removal(self, worker: worker_state.Worker) -> changes.LoseWorker:
        """Return the change that removes a worker, to be committed now."""
        worker.removing = True
        worker_id = worker.record.id
        if worker.draining:
            return changes.LoseWorker(worker_id)
        attribution = self.crash_register.attribute(
            worker, self.workers.values(), leases.steady_seconds()
        )
        return changes.LoseWorker(worker_id, **attribution._asdict())

    async def drop_removed(self) -> None:
        """Forget workers removed from the state; requeue the tasks they ran."""
        for worker_id in list(self.workers):
            if worker_id in self.queue_state.workers:
                continue
            worker = self.workers.pop(worker_id)
            lost = list(worker.runs.values())
            self._start_fence.remember(worker)
            reason = "left" if worker.draining else "crashed"
            self.owner.metrics_registry.count("workers_removed", reason=reason)
            reports.log_removed(
                self.log, worker, reason, leases.steady_seconds()
            )
            self.sessions.pop(worker_id).scope.cancel()
            for run in lost:
                if lost_runs.is_done(run.task, self.queue_state.jobs):
                    # The commit of its end frees it.
                    continue
                worker.remove(run)
                if run.phase != run_state.Phase.PLANNED:
                    self.owner.backlog.requeue(run.task)
            for run in worker.lapsed_runs + lost:
                self.owner.close_failed_job(run.task.job)
            self.owner.request_placement()
