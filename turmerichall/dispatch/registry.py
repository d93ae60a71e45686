"""Workers that come, leave, and are replaced, as one leader knows them."""

from collections.abc import Callable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["MakeClient", "Owner", "Registry"]

# After a worker said that it ends.
LEAVING_GRACE_SECONDS = 0.3

MakeClient = Callable[[changes.WorkerRecord], worker_client.WorkerClient]


class Owner(sessions.Owner, Protocol):
    """What the registry needs of the leader; `leadership.Leadership`."""

    backlog: backlogs.Backlog

    async def commit(
        self, change: changes.Change
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Has a change committed; None, or why it was not."""

    async def commit_or_resign(self, change: changes.Change) -> None:
        """Has a change committed; without that the term's work ends."""


class Registry:
    """The workers of one term, each with its session.

    Attributes:
        owner: The leader.
        workers: Workers by id.
        sessions: Sessions by id of the worker.
    """

    def __init__(self, owner: Owner, make_client: MakeClient):
        self.owner = owner
        self.queue_state: states.QueueState = owner.queue_state
        self.log: link.Log = owner.log
        self.workers: dict[str, worker_state.Worker] = {}
        self.sessions: dict[str, sessions.WorkerSession] = {}
        self._make_client = make_client
        self._began_at = leases.steady_seconds()
        self._nursery: trio.Nursery | None = None

    def load(self, nursery: trio.Nursery) -> None:
        """Takes over the workers that the replicated state knows.

        Args:
            nursery: Where their sessions run.
        """
        self._nursery = nursery
        for record in self.queue_state.workers.values():
            self._add_worker(record, record.id in self.queue_state.draining)

    def adopt_run(
        self,
        job: states.Job,
        name: changes.TaskName,
        task: states.TaskRecord,
    ) -> None:
        """Takes over a run that the replicated state says is under way."""
        worker = self.workers.get(task.worker)
        if worker is None:
            return
        step = job.demand.steps[name.step]
        run = worker_state.Run(name, task.run, step, job.queue)
        run.phase = worker_state.Phase.ORDERED
        if step.fills:
            # The leader before may have slowed it.
            run.pace_percent = worker_state.UNKNOWN_PACE
        worker.add(run)

    def _add_worker(self, record: changes.WorkerRecord, draining: bool) -> None:
        worker = worker_state.Worker(
            record, self._make_client(record), self._began_at, draining
        )
        session = sessions.WorkerSession(self.owner, worker)
        self.workers[record.id] = worker
        self.sessions[record.id] = session
        assert self._nursery is not None
        self._nursery.start_soon(session.run)

    async def heartbeat(self, heartbeat: worker_client.Heartbeat) -> bool:
        """Takes in a heartbeat; returns whether it may be acknowledged."""
        record = heartbeat.worker
        if record.id in self.queue_state.gone:
            return True
        worker = self.workers.get(record.id)
        if worker is None:
            if not await self._register(heartbeat):
                return False
            worker = self.workers.get(record.id)
            if worker is None:
                return False
        if heartbeat.sequence < worker.heartbeat:
            return True
        worker.heartbeat = heartbeat.sequence
        if heartbeat.clock_ms >= 0 and not worker.lease.known:
            worker.lease.record_clock(
                heartbeat.clock_ms, leases.steady_seconds()
            )
        if heartbeat.draining and record.id not in self.queue_state.draining:
            return await self._drain(worker)
        return True

    async def _register(self, heartbeat: worker_client.Heartbeat) -> bool:
        record = heartbeat.worker
        other = next(
            (
                known
                for known in self.workers.values()
                if known.record.address == record.address
            ),
            None,
        )
        if other is not None and not await self._answers_as_itself(record):
            self.log.info(
                "heartbeat of a worker that does not answer as itself",
                worker=record.id,
                address=record.address,
                known=other.record.id,
            )
            return False
        if await self.owner.commit(changes.RegisterWorker(record)) is not None:
            return False
        await self._drop_removed()
        if (
            record.id in self.queue_state.workers
            and record.id not in self.workers
        ):
            self._add_worker(record, False)
            self.log.info(
                "worker registered",
                worker=record.id,
                address=record.address,
                zone=record.zone,
                cpu=record.cpu,
                memory_mb=record.memory_mb,
                labels=record.labels,
            )
        return True

    async def _answers_as_itself(self, record: changes.WorkerRecord) -> bool:
        """Tells whether this life of a worker answers at its address."""
        client = self._make_client(record)
        try:
            status = await client.poll(self.owner.token, 0, None, 0)
        finally:
            client.close()
        return isinstance(status, worker_client.WorkerStatus)

    async def _drain(self, worker: worker_state.Worker) -> bool:
        worker.draining = True
        failed = await self.owner.commit(changes.DrainWorker(worker.record.id))
        if failed is not None:
            return False
        self.log.info(
            "worker drains", worker=worker.record.id, runs=len(worker.runs)
        )
        session = self.sessions.get(worker.record.id)
        if session is not None:
            for run in list(worker.runs.values()):
                if run.step.lasting or run.step.checkpoints:
                    self.owner.spawn_stop(session, run)
        return True

    async def worker_leaving(self, worker_id: str) -> bool:
        """Takes in that a worker ends; returns whether to acknowledge it."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return worker_id in self.queue_state.gone
        is_draining = worker_id in self.queue_state.draining
        if not is_draining and not await self._drain(worker):
            return False
        assert self._nursery is not None
        self._nursery.start_soon(self._remove_after_grace, worker)
        return True

    async def _remove_after_grace(self, worker: worker_state.Worker) -> None:
        await trio.sleep(LEAVING_GRACE_SECONDS)
        await self._remove(worker)

    async def worker_replaced(self, worker: worker_state.Worker) -> None:
        """Notes that another life answers at a worker's address."""
        self.log.info("worker was replaced", worker=worker.record.id)
        await self._remove(worker)

    async def _remove(self, worker: worker_state.Worker) -> None:
        if worker.record.id in self.queue_state.workers:
            await self.owner.commit_or_resign(
                changes.LoseWorker(worker.record.id)
            )
        await self._drop_removed()

    async def _drop_removed(self) -> None:
        """Requeues tasks of workers that left the replicated state."""
        for worker_id in list(self.workers):
            if worker_id in self.queue_state.workers:
                continue
            worker = self.workers.pop(worker_id)
            self.log.info(
                "worker gone", worker=worker_id, runs=len(worker.runs)
            )
            self.sessions.pop(worker_id).scope.cancel()
            for run in list(worker.runs.values()):
                worker.remove(run)
                if run.phase != worker_state.Phase.PLANNED:
                    self.owner.backlog.requeue(run.task)
            self.owner.request_placement()
