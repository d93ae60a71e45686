"""Which runs are stopped to go on elsewhere, from what workers list."""

from collections.abc import Mapping

from turmerichall.dispatch import stragglers
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["StragglerDetector"]

# For a run to begin, with what it saved before.
STARTUP_SECONDS = 0.8


class StragglerDetector:
    """Compares runs with others of their step.

    Attributes:
        queue_state: The replicated state.
        workers: Workers by id.
    """

    def __init__(
        self,
        queue_state: states.QueueState,
        workers: Mapping[str, worker_state.Worker],
        log: link.Log,
    ):
        self.queue_state = queue_state
        self.workers = workers
        self._log = log
        # Tasks that were moved for being slow.
        self._moved: set[changes.TaskName] = set()
        # Times of runs that are done, by job, occurrence and step.
        self._run_seconds: dict[tuple[str, int, int], list[float]] = {}

    def record_run_time(self, run: worker_state.Run, seconds: float) -> None:
        """Takes in the time of a run that was done."""
        if run.number == 1:
            self._run_seconds.setdefault(run.task[:3], []).append(seconds)

    def forget_step(self, task: changes.TaskName) -> None:
        """Forgets a step that is done, by one of its tasks."""
        self._run_seconds.pop(task[:3], None)

    def forget_job(self, job_id: str) -> None:
        """Forgets a job that has ended."""
        self._moved = {task for task in self._moved if task.job != job_id}
        for step in [step for step in self._run_seconds if step[0] == job_id]:
            del self._run_seconds[step]

    def find_stragglers(
        self, worker: worker_state.Worker, now: float
    ) -> list[tuple[worker_state.Run, str]]:
        """Returns runs of a worker that are to be moved, and why.

        Args:
            worker: The worker, just after it was looked at.
            now: Steady seconds.
        """
        found = []
        for run in list(worker.runs.values()):
            if run.step.lasting or run.stopping or not run.confirmed_at:
                continue
            progress = run.progress(now)
            # Most runs are soon done; their siblings are not looked up.
            if progress.seconds < stragglers.STALL_SECONDS:
                continue
            reason = stragglers.reason_to_move(
                progress, self._sibling_seconds(run, now), STARTUP_SECONDS
            )
            if not reason or not self._may_move(run, reason):
                continue
            self._log.info(
                "run is moved",
                job=run.task.job,
                step=run.task.step,
                index=run.task.number,
                run=run.number,
                worker=worker.record.id,
                reason=reason,
                seconds=round(progress.seconds, 2),
                percent=progress.percent,
                still_seconds=round(progress.still_seconds, 2),
            )
            if reason != stragglers.THROTTLED:
                worker.breaker.record(False, now, run.task.job)
            run.moved = True
            found.append((run, reason))
        return found

    def _may_move(self, run: worker_state.Run, reason: str) -> bool:
        """Tells whether a run may be moved, which is noted.

        A task that is slow again elsewhere is so by itself.
        """
        if reason == stragglers.SLOW:
            if run.task in self._moved:
                return False
            self._moved.add(run.task)
        return True

    def _sibling_seconds(
        self, run: worker_state.Run, now: float
    ) -> list[float]:
        """Returns expected times of other tasks of a run's step."""
        job = self.queue_state.jobs.get(run.task.job)
        if job is None or not job.open:
            return []
        found = list(self._run_seconds.get(run.task[:3], ()))
        step = job.steps(run.task.occurrence)[run.task.step]
        for number, task in enumerate(step.tasks):
            worker = self.workers.get(task.worker)
            if worker is None or number == run.task.number:
                continue
            other = worker.runs.get(run.task._replace(number=number))
            if other is not None and other.confirmed_at:
                expected = other.progress(now).expected_seconds()
                if expected is not None:
                    found.append(expected)
        return found
