"""The leader's removal of what has ended long ago from the replicated state.

Answers a deployment that runs for a year: 10,000 jobs, 70 workers and 2,000
configurations a day.  See docs/design/retention.md.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

import trio

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import quarantine
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.retention import ages
from turmerichall.dispatch.retention import memory_pressure
from turmerichall.dispatch.withdrawals import withdrawal
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import forgetting
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Options", "Owner", "Retention"]

# Time between two looks at the whole state.
CHECK_SECONDS = 30.0
# Pause between two changes of one look, so that they delay nothing else.
BATCH_PAUSE_SECONDS = 0.05
# Most records of a kind in one change; their ids have 150 bytes at most.
BATCH_RECORDS = 100
# Number of jobs that are looked at before other tasks run.
SLICE_JOBS = 2_000
# How long jobs that have ended are kept while memory is short.  Their callers
# have asked for them by then, and send no submission again.
SHORT_SECONDS = 300.0


class Options(NamedTuple):
    """What decides how long records are kept.

    Attributes:
        seconds: How long a record is kept after its use has ended.
        memory_bytes: Memory that the process may use; 0 if unknown.
        may_forget: Returns whether all replicas can apply the change by which
            records leave.
    """

    seconds: float = 3600.0
    memory_bytes: int = 0
    may_forget: Callable[[], bool] = lambda: True


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    queue_state: states.QueueState
    workers: dict[str, worker_state.Worker]
    log: link.Log
    metrics_registry: lightweight_metrics.MetricsRegistry

    async def commit_or_resign(self, change: changes.Change) -> None:
        """Commit a change, or end the term's work if that fails."""

    async def records_forgotten(self, change: forgetting.Forget) -> None:
        """Drop what the leader itself holds of records that have left."""


def is_idle(worker: worker_state.Worker, now: float) -> bool:
    """Return whether a worker is silent, and nothing can run on it.

    Args:
        worker: The worker.
        now: Current time on the steady clock.
    """
    return (
        not worker.in_touch
        and not worker.removing
        and quarantine.may_remove(worker, now)
    )


class Retention:
    """Removal of records in one term.

    Attributes:
        owner: The leader.
        options: How long records are kept.
        clock: Returns the time in seconds; None for the steady clock.
    """

    def __init__(
        self,
        owner: Owner,
        options: Options,
        clock: Callable[[], float] | None = None,
    ):
        self.owner = owner
        self.options = options
        self.clock = clock
        self._jobs = ages.Ages()
        self._gone = ages.Ages()
        self._silent = ages.Ages()
        self._queues = ages.Ages()
        self._withdrawn = ages.Ages()
        self._level = memory_pressure.Level.NORMAL

    def _now(self) -> float:
        return self.clock() if self.clock else leases.steady_seconds()

    async def run(self) -> None:
        """Remove records until cancelled."""
        while True:
            await self.check()
            await trio.sleep(CHECK_SECONDS)

    async def check(self) -> None:
        """Look at the whole state, and remove the records that are due."""
        await self._observe()
        self._report_pressure()
        change = self.next_change(self._now())
        while change is not None and self.options.may_forget():
            await self.remove(change)
            await trio.sleep(BATCH_PAUSE_SECONDS)
            change = self.next_change(self._now())

    async def _observe(self) -> None:
        """Look at the whole state for records that may leave."""
        state = self.owner.queue_state
        ended = []
        for number, job in enumerate(list(state.jobs.values()), 1):
            if forgetting.may_leave(job):
                ended.append(job.id)
            if number % SLICE_JOBS == 0:
                await trio.sleep(0)
        now = self._now()
        self._jobs.observe(ended, now)
        self._gone.observe(state.gone, now)
        self._silent.observe(self._idle_workers(now), now)
        configured = {queue.key for queue in state.configuration.queues}
        self._queues.observe(state.queues.keys() - configured, now)
        self._withdrawn.observe(state.withdrawn, now)

    def _idle_workers(self, now: float) -> Iterator[str]:
        for worker in self.owner.workers.values():
            if is_idle(worker, now):
                yield worker.record.id

    def next_change(self, now: float) -> forgetting.Forget | None:
        """Return a change that removes the oldest records, if any are due.

        Args:
            now: Current time on the steady clock.
        """
        kept = self.options.seconds
        kept_jobs = min(kept, SHORT_SECONDS) if self._level else kept
        silent = [
            worker
            for worker in self._silent.older_than(kept, now, BATCH_RECORDS)
            if worker in self.owner.workers
            and is_idle(self.owner.workers[worker], now)
        ]
        change = forgetting.Forget(
            self._jobs.older_than(kept_jobs, now, BATCH_RECORDS),
            self._gone.older_than(kept, now, BATCH_RECORDS),
            tuple(silent),
            self._queues.older_than(kept, now, BATCH_RECORDS),
            self._withdrawn.older_than(
                min(kept, withdrawal.KEPT_SECONDS), now, BATCH_RECORDS
            ),
        )
        return None if change == forgetting.Forget() else change

    def job_withdrawn(self, job_id: str) -> None:
        """Count the time of a withdrawn job from now on."""
        self._withdrawn.renew(job_id, self._now())

    def renew_withdrawal(self, job_id: str) -> bool:
        """Count the time of a withdrawn job anew, unless it is leaving."""
        if job_id not in self._withdrawn.since:
            return False
        self._withdrawn.renew(job_id, self._now())
        return True

    async def remove(self, change: forgetting.Forget) -> None:
        """Commit a change by which records leave, and act on it."""
        owner = self.owner
        for worker in change.silent:
            # Nothing is planned there any more, even if it returns now.
            owner.workers[worker].draining = True
            owner.workers[worker].removing = True
        # A cancellation that is repeated from now on is committed again.
        self._withdrawn.discard(change.withdrawn)
        await owner.commit_or_resign(change)
        for kind, keys, seen in (
            ("job", change.jobs, self._jobs),
            ("removed worker", change.gone, self._gone),
            ("silent worker", change.silent, self._silent),
            ("queue", change.queues, self._queues),
            ("withdrawn job", change.withdrawn, self._withdrawn),
        ):
            seen.discard(keys)
            if keys:
                owner.metrics_registry.count(
                    "records_forgotten", len(keys), kind=kind
                )
        owner.log.info(
            "records of what has ended were removed",
            jobs=len(change.jobs),
            removed_workers=len(change.gone),
            silent_workers=list(change.silent[:8]),
            queues=len(change.queues),
            withdrawn_jobs=len(change.withdrawn),
            jobs_left=len(owner.queue_state.jobs),
        )
        await owner.records_forgotten(change)

    def _report_pressure(self) -> None:
        """Log the pressure on the memory when it changes, or is high."""
        state = self.owner.queue_state
        memory_bytes = self.options.memory_bytes
        now = memory_pressure.level(state.jobs_bytes, memory_bytes)
        if now or now != self._level:
            report = self.owner.log.warning if now else self.owner.log.info
            report(
                "memory that the jobs take",
                pressure=now.name.lower(),
                jobs=len(state.jobs),
                jobs_bytes=state.jobs_bytes,
                memory_bytes=memory_bytes,
            )
        self._level = now
