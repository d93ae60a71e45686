"""Fence against starts that a later incarnation of a worker would carry out.

A worker that keeps its name when it starts again carries out orders that were
meant for an earlier incarnation, also late ones: their deadlines are times of
the earlier clock.  A run that was stopped is refused from then on, so the runs
of a worker are stopped in the incarnation that follows it.  That incarnation
may have begun some of them before; their ends are awaited there and committed.
"""

from collections.abc import Sequence
from typing import Protocol

import trio

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.departures import misdirected_runs
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Owner", "StartFence"]

# Time for which one try waits until stopped runs have ended: a worker waits 1 s
# for the acknowledgement of its heartbeat, which is repeated otherwise.
STOP_SECONDS = 0.6
# Time between two polls in it.
STOP_CHECK_SECONDS = 0.05
# Number of runs that a log line names.
MAX_NAMED = 20

Verdict = worker_client.Verdict


class Owner(Protocol):
    """Interface of the leader for the fence; `Leadership` implements it."""

    token: int
    log: link.Log
    metrics_registry: lightweight_metrics.MetricsRegistry

    def fenced(self, worker: worker_state.Worker) -> None:
        """End the leader's work, because a worker obeys a newer term."""

    async def commit_ends(
        self, worker: worker_state.Worker, rows: list[changes.EndedRun]
    ) -> None:
        """Commit ends of runs, and free the resources of the runs."""


class StartFence:
    """Fence against starts sent to workers that were replaced.

    Attributes:
        owner: The leader.
    """

    def __init__(self, owner: Owner, make_client: worker_client.MakeClient):
        self.owner = owner
        self._make_client = make_client
        # Starts that a removed worker left unanswered, by its name: its next
        # incarnations may carry them out.
        self._unanswered: dict[str, list[tuple[float, run_state.Run]]] = {}

    async def fence(
        self,
        worker: worker_state.Worker,
        successor: changes.WorkerRecord | None = None,
    ) -> bool:
        """Stop the runs of a worker in the incarnation that follows it.

        No start is sent to the worker any more.  Ends of its runs that the
        other incarnation lists are committed.

        Args:
            worker: The worker.
            successor: The incarnation that follows it, if it is known;
                otherwise the one at the same address.

        Returns:
            Whether none of the worker's starts can be carried out any more,
            and none of its runs goes on.
        """
        worker.replaced = True
        if not worker.record.kept_name:
            return True
        if successor is not None and successor.name != worker.record.name:
            return True
        runs = worker.runs_to_fence(leases.steady_seconds())
        verdict = await self._end_runs(successor or worker.record, runs, worker)
        if verdict == Verdict.FENCED:
            self.owner.fenced(worker)
        return verdict == Verdict.DONE

    async def fence_earlier(self, record: changes.WorkerRecord) -> bool:
        """Stop the unanswered runs of removed workers of the same name.

        Args:
            record: The incarnation that follows them.

        Returns:
            Whether none of their starts can be carried out any more, and none
            of their runs goes on.
        """
        runs = [run for _, run in self._unanswered.get(record.name, ())]
        return await self._end_runs(record, runs) == Verdict.DONE

    async def _end_runs(
        self,
        record: changes.WorkerRecord,
        runs: Sequence[run_state.Run],
        worker: worker_state.Worker | None = None,
    ) -> Verdict:
        """End runs that were committed in the incarnation that answers now.

        Args:
            record: The worker, or the incarnation that follows it.
            runs: The runs.
            worker: The worker to which they were sent; None if it was removed.

        Returns:
            `DONE`, also if a worker of another name answers, which refuses all
            orders; otherwise why the runs may go on there.
        """
        runs = [run for run in runs if run.phase != run_state.Phase.PLANNED]
        if not runs:
            return Verdict.DONE
        # Without a start time, answers of any incarnation are accepted.
        client = self._make_client(record._replace(born_ms=0))
        try:
            verdict = await self._stop_and_wait(client, runs, worker)
        finally:
            client.close()
        # A worker of another name refuses all orders.
        return Verdict.DONE if verdict == Verdict.REPLACED else verdict

    async def _stop_and_wait(
        self,
        client: worker_client.WorkerClient,
        runs: Sequence[run_state.Run],
        worker: worker_state.Worker | None,
    ) -> Verdict:
        """Stop runs, and wait for a short time until none is listed."""
        token = self.owner.token
        first = await client.poll(token, 0, None, 0)
        if isinstance(first, worker_client.PollFailure):
            return first.verdict
        for run in runs:
            result = await client.stop(run.order(), token)
            if result.verdict != Verdict.DONE:
                return result.verdict
        acknowledged = 0
        give_up_at = leases.steady_seconds() + STOP_SECONDS
        while True:
            status = await client.poll(token, acknowledged, None, 0)
            if isinstance(status, worker_client.PollFailure):
                return status.verdict
            if not misdirected_runs.is_same_incarnation(first, status):
                return Verdict.UNANSWERED
            found = misdirected_runs.find_misdirected(status, runs)
            await self._commit(worker, found.ended)
            if status.complete and not found.running:
                return Verdict.DONE
            if leases.steady_seconds() >= give_up_at:
                self.owner.log.info(
                    "runs go on in the next life of their worker",
                    worker=worker.record.id if worker is not None else "",
                    runs=[str(task) for task in found.running[:MAX_NAMED]],
                    count=len(found.running),
                )
                return Verdict.UNANSWERED
            if not status.complete and status.ends:
                # The worker lists further ends once these are acknowledged.
                acknowledged = status.ends[-1].sequence
            await trio.sleep(STOP_CHECK_SECONDS)

    async def _commit(
        self,
        worker: worker_state.Worker | None,
        ended: Sequence[changes.EndedRun],
    ) -> None:
        """Log and commit ends of runs that another incarnation began.

        The end of a run that is not expected any more has no effect.
        """
        if worker is None:
            return
        rows = [row for row in ended if row.task in worker.runs]
        if not rows:
            return
        self.owner.metrics_registry.count("misdirected_runs_ended", len(rows))
        self.owner.log.warning(
            "next life of a worker began runs of the one before",
            worker=worker.record.id,
            ends=[
                f"{row.task}/{row.run} {row.ending.name.lower()}"
                for row in rows[:MAX_NAMED]
            ],
            count=len(rows),
        )
        await self.owner.commit_ends(worker, rows)

    def remember(self, worker: worker_state.Worker) -> None:
        """Remember the unanswered starts of a worker that was removed."""
        if worker.record.kept_name:
            self._unanswered[worker.record.name] = worker.unconfirmed_starts(
                leases.steady_seconds()
            )

    def take(self, name: str) -> list[tuple[float, run_state.Run]]:
        """Return and forget the starts remembered for a worker's name."""
        return self._unanswered.pop(name, [])
