"""Runs that a worker lists and the leader does not expect there."""

from typing import Protocol

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.telemetry import repeat_limit

__all__ = ["Owner", "UnexpectedRuns"]

# Maximum number of stops after one poll, so that a worker that lists thousands
# of runs delays the next poll, which renews its lease, only a little.
MAX_STOPS = 32
# Number of runs that a log line names.
MAX_NAMED = 8
MAX_NAME_CHARS = 100


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    token: int
    log: link.Log

    def fenced(self, worker: worker_state.Worker) -> None:
        """End the leader's work, because a worker obeys a newer term."""


class UnexpectedRuns:
    """Stops the unexpected runs of one worker, and logs them now and then.

    Attributes:
        owner: The leader.
        worker: The worker.
    """

    def __init__(self, owner: Owner, worker: worker_state.Worker):
        self.owner = owner
        self.worker = worker
        self._malformed_limit = repeat_limit.RepeatLimit()
        self._stop_limit = repeat_limit.RepeatLimit()

    async def handle(self, rows: list[worker_client.RunningTask]) -> None:
        """Stop runs.

        Rows whose task or number can't be parsed are no orders of this
        scheduler, so they are only logged.
        """
        known = [
            row
            for row in rows
            if row.task is not None and row.run != worker_client.UNKNOWN_RUN
        ]
        if len(known) < len(rows):
            malformed = [row for row in rows if row not in known]
            self._log(
                self._malformed_limit, "worker lists malformed runs", malformed
            )
        if known:
            self._log(self._stop_limit, "stopping unexpected runs", known)
        for row in known[:MAX_STOPS]:
            assert row.task is not None
            result = await self.worker.client.stop(
                worker_client.Order(row.task, row.run), self.owner.token
            )
            if result.verdict == worker_client.Verdict.FENCED:
                self.owner.fenced(self.worker)
                return

    def _log(
        self,
        limit: repeat_limit.RepeatLimit,
        message: str,
        rows: list[worker_client.RunningTask],
    ) -> None:
        polls = limit.count(leases.steady_seconds())
        if polls:
            self.owner.log.warning(
                message,
                worker=self.worker.record.id,
                runs=[
                    f"{row.name[:MAX_NAME_CHARS]}/{row.run}"
                    for row in rows[:MAX_NAMED]
                ],
                count=len(rows),
                polls=polls,
            )
