"""Workers that announced their end, from the notice until it is proved."""

from collections.abc import Mapping

import trio

from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.departures import evidence as evidences
from turmerichall.dispatch.departures import probe

__all__ = ["LeavingWorkers"]

# Time between two checks whether a worker has ended.
CHECK_SECONDS = 0.3
# Maximum time for which the acknowledgement of a notice waits for the ends of
# the worker's runs; workers wait 1 s for it.
STOP_SECONDS = 0.7
# Time between two checks whether the runs have ended.
STOP_CHECK_SECONDS = 0.01


class LeavingWorkers:
    """Workers that gave notice in this term.

    Attributes:
        owner: The leader.
        workers: All live workers by id.
    """

    def __init__(
        self,
        owner: sessions.Owner,
        workers: Mapping[str, worker_state.Worker],
        make_client: worker_client.MakeClient,
    ):
        self.owner = owner
        self.workers = workers
        self._make_client = make_client
        self._ids: set[str] = set()

    def add(self, worker_id: str) -> bool:
        """Add a worker; return whether this is its first notice."""
        is_first = worker_id not in self._ids
        self._ids.add(worker_id)
        return is_first

    async def stop_runs(self, session: sessions.WorkerSession) -> None:
        """Stop the runs of a worker, and wait for their ends for a short time.

        The runs end with the worker.  Once the notice is acknowledged it can't
        report their ends any more, and the tasks wait for the end of its lease.
        """
        worker = session.worker
        for run in list(worker.runs.values()):
            self.owner.spawn_stop(session, run)
        with trio.move_on_after(STOP_SECONDS):
            while worker.runs and worker.in_touch:
                await trio.sleep(STOP_CHECK_SECONDS)
        if worker.runs:
            self.owner.metrics_registry.count("leaving_workers_with_runs")
            self.owner.log.info(
                "leaving worker keeps its tasks until their end is known",
                worker=worker.record.id,
                runs=len(worker.runs),
            )

    async def wait_for_end(self, worker: worker_state.Worker) -> bool:
        """Wait until a worker has ended.

        Returns:
            Whether it is to be removed; not if it was removed meanwhile.
        """
        while True:
            await trio.sleep(CHECK_SECONDS)
            if self.workers.get(worker.record.id) is not worker:
                return False
            if worker.runs:
                # The session finds another incarnation, or the lease's end.
                continue
            status = await probe.poll_once(
                self._make_client, worker.record, self.owner.token
            )
            failure = (
                status.verdict
                if isinstance(status, worker_client.PollFailure)
                else None
            )
            evidence = evidences.find_evidence(failure, len(worker.runs))
            if evidence is not None:
                self.owner.log.info(
                    "leaving worker has ended",
                    worker=worker.record.id,
                    evidence=evidence.value,
                )
                return True
