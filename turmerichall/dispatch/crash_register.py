"""Crashes of workers in one term, as evidence against the tasks on them."""

import collections
from collections.abc import Collection, Iterator
from typing import NamedTuple

from turmerichall.dispatch import crash_attribution
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["CrashRegister"]

# Number of latest crashes that are remembered, to find those of one moment.
MAX_CRASHES_REMEMBERED = 1000
# A start may be the cause if contact was lost within this time after it was
# sent.
START_SECONDS = 0.3


class _Crash(NamedTuple):
    """The crash of a worker.

    Attributes:
        worker: Id of the worker.
        at: Time on the steady clock at which contact was lost.
    """

    worker: str
    at: float


class CrashRegister:
    """The crashes of one term.

    Attributes:
        queue_state: The replicated state.
    """

    def __init__(self, queue_state: states.QueueState):
        self.queue_state = queue_state
        # Ids of jobs that were given up; their changes may not be applied yet.
        self._given_up: set[str] = set()
        self._crashes: collections.deque[_Crash] = collections.deque(
            maxlen=MAX_CRASHES_REMEMBERED
        )

    def attribute(
        self,
        worker: worker_state.Worker,
        workers: Collection[worker_state.Worker],
        now: float,
    ) -> crash_attribution.Attribution:
        """Return which tasks are charged with a worker's crash.

        Args:
            worker: The worker, of which another incarnation has been seen.
            workers: All workers.
            now: Current time on the steady clock.
        """
        lost_at = worker.lost_at or now
        others = {crash.worker: crash.at for crash in self._crashes}
        for other in workers:
            if other.lost_at:
                others[other.record.id] = other.lost_at
        others.pop(worker.record.id, None)
        self._crashes.append(_Crash(worker.record.id, lost_at))
        attribution = crash_attribution.attribute(
            list(self._suspects(worker, lost_at)),
            sum(
                abs(at - lost_at) <= crash_attribution.SAME_MOMENT_SECONDS
                for at in others.values()
            ),
        )
        self._given_up.update(attribution.given_up)
        return attribution

    def cleared_tasks(
        self, workers: Collection[worker_state.Worker], now: float
    ) -> tuple[changes.TaskName, ...]:
        """Return tasks on which earlier crashes no longer count.

        They were suspected of a crash, and have run for long enough since.

        Args:
            workers: All workers.
            now: Current time on the steady clock.
        """
        cleared = []
        for worker in workers:
            for run in list(worker.suspected_runs):
                if run.seconds_at_work(now) > crash_attribution.CLEAR_SECONDS:
                    worker.clear_suspicion(run)
                    cleared.append(run.task)
        return tuple(cleared)

    def _suspects(
        self, worker: worker_state.Worker, lost_at: float
    ) -> Iterator[crash_attribution.Suspect]:
        runs: dict[changes.TaskName, run_state.Run] = {
            run.task: run for run in worker.lapsed_runs
        }
        runs.update(worker.runs)
        for task, run in runs.items():
            job = self.queue_state.jobs.get(task.job)
            if job is None or not job.open or task.job in self._given_up:
                continue
            record = job.task(task)
            if record.done or not _may_have_begun(run, lost_at):
                continue
            # A worker that fell silent may have crashed at any time since, and
            # its runs may have ended before.
            is_timed = worker.lost_abruptly and task in worker.runs
            yield crash_attribution.Suspect(
                task,
                record.crashes,
                record.doubtful_crashes,
                run.seconds_at_work(lost_at),
                is_timed and _was_certainly_running(run, lost_at),
                is_timed and 0.0 <= lost_at - run.sent_at <= START_SECONDS,
                run.on_trial,
                run.step.lasting,
            )


def _may_have_begun(run: run_state.Run, lost_at: float) -> bool:
    """Return whether a run may have been at work when contact was lost."""
    if run.phase == run_state.Phase.PLANNED:
        return False
    return bool(run.adopted or run.confirmed_at or 0.0 < run.sent_at <= lost_at)


def _was_certainly_running(run: run_state.Run, lost_at: float) -> bool:
    """Return whether a run was at work when contact was lost.

    One that had run for a while may have ended without the worker telling.
    """
    return bool(run.confirmed_at) and (
        run.step.lasting or run.has_just_started(lost_at)
    )
