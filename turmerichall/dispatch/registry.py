"""Workers that come, leave, and are replaced, as one leader knows them."""

from collections.abc import Callable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import roster
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["MakeClient", "Owner", "Registry"]

# After a worker said that it ends.
LEAVING_SECONDS = 0.3

MakeClient = Callable[[changes.WorkerRecord], worker_client.WorkerClient]


class Owner(sessions.Owner, Protocol):
    """What the registry needs of the leader; `leadership.Leadership`."""

    backlog: backlogs.Backlog

    async def commit(
        self, change: changes.Change
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Has a change committed; None, or why it was not."""

    async def commit_own(self, change: changes.Change) -> None:
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
        self.state: states.QueueState = owner.state
        self.log: link.Log = owner.log
        self.workers: dict[str, roster.Worker] = {}
        self.sessions: dict[str, sessions.Session] = {}
        self._make_client = make_client
        self._began_at = leases.steady_seconds()
        self._nursery: trio.Nursery | None = None

    def load(self, nursery: trio.Nursery) -> None:
        """Takes over the workers that the replicated state knows.

        Args:
            nursery: Where their sessions run.
        """
        self._nursery = nursery
        for record in self.state.workers.values():
            self._add_worker(record, record.id in self.state.draining)

    def adopt(
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
        run = roster.Run(name, task.run, step, job.queue)
        run.phase = roster.Phase.ORDERED
        if step.fills:
            # The leader before may have slowed it.
            run.pace_percent = roster.UNKNOWN_PERCENT
        worker.add(run)

    def _add_worker(self, record: changes.WorkerRecord, draining: bool) -> None:
        worker = roster.Worker(
            record, self._make_client(record), self._began_at, draining
        )
        session = sessions.Session(self.owner, worker)
        self.workers[record.id] = worker
        self.sessions[record.id] = session
        assert self._nursery is not None
        self._nursery.start_soon(session.run)

    async def heartbeat(self, beat: worker_client.Heartbeat) -> bool:
        """Takes in a heartbeat; returns whether it may be acknowledged."""
        record = beat.worker
        if record.id in self.state.gone:
            return True
        worker = self.workers.get(record.id)
        if worker is None:
            if not await self._register(beat):
                return False
            worker = self.workers.get(record.id)
            if worker is None:
                return False
        if beat.sequence < worker.heartbeat:
            return True
        worker.heartbeat = beat.sequence
        if beat.clock_ms >= 0 and not worker.lease.known:
            worker.lease.note_clock(beat.clock_ms, leases.steady_seconds())
        if beat.draining and record.id not in self.state.draining:
            return await self._drain(worker)
        return True

    async def _register(self, beat: worker_client.Heartbeat) -> bool:
        record = beat.worker
        other = next(
            (
                known
                for known in self.workers.values()
                if known.record.address == record.address
            ),
            None,
        )
        if other is not None and not await self._answers(record):
            self.log.info(
                "heartbeat of a worker that does not answer as itself",
                worker=record.id,
                address=record.address,
                known=other.record.id,
            )
            return False
        if await self.owner.commit(changes.RegisterWorker(record)) is not None:
            return False
        await self._forget_lost()
        if record.id in self.state.workers and record.id not in self.workers:
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

    async def _answers(self, record: changes.WorkerRecord) -> bool:
        """Tells whether this life of a worker answers at its address."""
        client = self._make_client(record)
        try:
            status = await client.poll(self.owner.token, 0, None, 0)
        finally:
            client.close()
        return isinstance(status, worker_client.WorkerStatus)

    async def _drain(self, worker: roster.Worker) -> bool:
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
            return worker_id in self.state.gone
        is_noted = worker_id in self.state.draining
        if not is_noted and not await self._drain(worker):
            return False
        assert self._nursery is not None
        self._nursery.start_soon(self._lose_soon, worker)
        return True

    async def _lose_soon(self, worker: roster.Worker) -> None:
        await trio.sleep(LEAVING_SECONDS)
        await self._lose(worker)

    async def replaced(self, worker: roster.Worker) -> None:
        """Notes that another life answers at a worker's address."""
        self.log.info("worker was replaced", worker=worker.record.id)
        await self._lose(worker)

    async def _lose(self, worker: roster.Worker) -> None:
        if worker.record.id in self.state.workers:
            await self.owner.commit_own(changes.LoseWorker(worker.record.id))
        await self._forget_lost()

    async def _forget_lost(self) -> None:
        """Requeues tasks of workers that left the replicated state."""
        for worker_id in list(self.workers):
            if worker_id in self.state.workers:
                continue
            worker = self.workers.pop(worker_id)
            self.log.info(
                "worker gone", worker=worker_id, runs=len(worker.runs)
            )
            self.sessions.pop(worker_id).scope.cancel()
            for run in list(worker.runs.values()):
                worker.remove(run)
                if run.phase != roster.Phase.PLANNED:
                    self.owner.backlog.put_back(run.task)
            self.owner.worker_changed()
