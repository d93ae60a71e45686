"""Fence against starts that a later incarnation of a worker would carry out.

A worker that keeps its name when it starts again carries out orders that were
meant for an earlier incarnation, also late ones: their deadlines are times of
the earlier clock.  A run that was stopped is refused from then on, so the runs
of a worker are stopped in the incarnation that follows it.
"""

from collections.abc import Iterable
from typing import Protocol

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.queues import change as changes

__all__ = ["Owner", "StartFence"]


class Owner(Protocol):
    """Interface of the leader for the fence; `Leadership` implements it."""

    token: int

    def fenced(self, worker: worker_state.Worker) -> None:
        """End the leader's work, because a worker obeys a newer term."""


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

        No start is sent to the worker any more.

        Args:
            worker: The worker.
            successor: The incarnation that follows it, if it is known;
                otherwise the one at the same address.

        Returns:
            Whether none of the worker's starts can be carried out any more.
        """
        worker.replaced = True
        if not worker.record.kept_name:
            return True
        if successor is not None and successor.name != worker.record.name:
            return True
        runs = worker.runs_to_fence(leases.steady_seconds())
        verdict = await self._stop(successor or worker.record, runs)
        if verdict == worker_client.Verdict.FENCED:
            self.owner.fenced(worker)
        return verdict == worker_client.Verdict.DONE

    async def fence_earlier(self, record: changes.WorkerRecord) -> bool:
        """Stop the unanswered runs of removed workers of the same name.

        Args:
            record: The incarnation that follows them.

        Returns:
            Whether none of their starts can be carried out any more.
        """
        runs = [run for _, run in self._unanswered.get(record.name, ())]
        verdict = await self._stop(record, runs)
        return verdict == worker_client.Verdict.DONE

    async def _stop(
        self, record: changes.WorkerRecord, runs: Iterable[run_state.Run]
    ) -> worker_client.Verdict:
        """Stop runs that were committed.

        Returns:
            `DONE`, also if a worker of another name answers, which refuses all
            orders; otherwise why a run could not be stopped.
        """
        done = worker_client.Verdict.DONE
        client = self._make_client(record)
        try:
            for run in runs:
                if run.phase == run_state.Phase.PLANNED:
                    continue
                result = await client.stop(run.order(), self.owner.token)
                if result.verdict == worker_client.Verdict.REPLACED:
                    return done
                if result.verdict != done:
                    return result.verdict
        finally:
            client.close()
        return done

    def remember(self, worker: worker_state.Worker) -> None:
        """Remember the unanswered starts of a worker that was removed."""
        if worker.record.kept_name:
            self._unanswered[worker.record.name] = worker.unconfirmed_starts(
                leases.steady_seconds()
            )

    def take(self, name: str) -> list[tuple[float, run_state.Run]]:
        """Return and forget the starts remembered for a worker's name."""
        return self._unanswered.pop(name, [])
