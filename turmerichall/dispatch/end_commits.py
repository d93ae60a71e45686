"""Commits of the ends of runs, many in one change.

An entry of the log costs the leader far more than a row in it, and workers
report ends one by one.  While a change is being committed, the ends that arrive
are collected for the next one; without load, an end is committed at once.
"""

import collections
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import TypeAlias

import trio

from turmerichall.queues import change as changes
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

__all__ = ["Action", "Batch", "EndCommits", "MAX_ROWS"]

# Number of rows from which a change takes no further ones, so that its entry
# stays far below the limit on a frame between replicas.
MAX_ROWS = 2000

Action: TypeAlias = Callable[["Batch"], None]


class Batch:
    """Ends that are committed in one change.

    Attributes:
        rows: The ends.
        committed: Set once they are committed and applied.
    """

    def __init__(self, queue_state: states.QueueState):
        self.rows: list[changes.EndedRun] = []
        self.committed = trio.Event()
        self._queue_state = queue_state
        self._open_jobs: set[str] = set()
        self._actions: list[Action] = []

    def add(
        self, rows: Iterable[changes.EndedRun], action: Action | None = None
    ) -> None:
        """Add ends before the batch is committed.

        Args:
            rows: The ends.
            action: Called once they are committed, also if the caller was
                cancelled meanwhile.
        """
        self.rows.extend(rows)
        if action is not None:
            self._actions.append(action)
        for row in rows:
            job = self._queue_state.jobs.get(row.task.job)
            if job is not None and job.open:
                self._open_jobs.add(row.task.job)

    def finish(self) -> None:
        """Call the actions, once the ends are committed and applied."""
        for action in self._actions:
            action(self)
        self.committed.set()

    def take_closed(self) -> list[job_records.Job]:
        """Return the jobs that ended with this batch; each only once."""
        jobs = self._queue_state.jobs
        closed = [
            jobs[job_id]
            for job_id in sorted(self._open_jobs)
            if job_id in jobs and not jobs[job_id].open
        ]
        self._open_jobs.clear()
        return closed


class EndCommits:
    """Commits the ends of runs of one term, one change at a time.

    Attributes:
        queue_state: The replicated state.
    """

    def __init__(
        self,
        queue_state: states.QueueState,
        commit: Callable[[changes.Change], Awaitable[None]],
    ):
        self.queue_state = queue_state
        self._commit = commit
        self._waiting: collections.deque[Batch] = collections.deque()
        self._filled = trio.Event()

    async def commit(
        self, rows: Sequence[changes.EndedRun], action: Action | None = None
    ) -> None:
        """Commit ends.

        Args:
            rows: The ends.
            action: Called with the batch once they are committed.  The caller
                may be cancelled then, as its worker is removed.
        """
        if not rows:
            return
        if not self._waiting or len(self._waiting[-1].rows) >= MAX_ROWS:
            self._waiting.append(Batch(self.queue_state))
        batch = self._waiting[-1]
        batch.add(rows, action)
        self._filled.set()
        await batch.committed.wait()

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            while self._waiting:
                batch = self._waiting.popleft()
                await self._commit(changes.EndRuns(tuple(batch.rows)))
                batch.finish()
