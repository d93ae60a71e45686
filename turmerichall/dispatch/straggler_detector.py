"""Detection of stragglers: runs that are to be moved to another worker."""

from collections.abc import Mapping
import statistics

from turmerichall.dispatch import run_state
from turmerichall.dispatch import stragglers
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.colocation import careful_policy
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["StragglerDetector"]

# Time that a run may take to start and to load its checkpoint.
STARTUP_SECONDS = 0.8


class StragglerDetector:
    """Detector of runs that stall or are slower than others of their step.

    Attributes:
        queue_state: The replicated state.
        workers: Workers by id.
    """

    def __init__(
        self,
        queue_state: states.QueueState,
        workers: Mapping[str, worker_state.Worker],
        log: link.Log,
        colocation: careful_policy.CarefulPolicy | None = None,
    ):
        self.queue_state = queue_state
        self.workers = workers
        self._log = log
        self._colocation = colocation
        # Tasks that were moved because they were slow.
        self._moved: set[changes.TaskName] = set()
        # Durations of completed runs in seconds, by job, occurrence and step.
        self._run_seconds: dict[tuple[str, int, int], list[float]] = {}

    def record_run_time(self, run: run_state.Run, seconds: float) -> None:
        """Record the duration of a run that completed its task.

        Only the first run of a task counts.
        """
        if run.number == 1:
            self._run_seconds.setdefault(run.task[:3], []).append(seconds)

    def forget_step(self, task: changes.TaskName) -> None:
        """Forget a step that is done, named by one of its tasks."""
        self._run_seconds.pop(task[:3], None)

    def forget_job(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._moved = {task for task in self._moved if task.job != job_id}
        if self._colocation is not None:
            self._colocation.forget_job(job_id)
        for step in [step for step in self._run_seconds if step[0] == job_id]:
            del self._run_seconds[step]

    def find_stragglers(
        self, worker: worker_state.Worker, now: float
    ) -> list[tuple[run_state.Run, str]]:
        """Return the runs of a worker that are to be moved, with the reason.

        Args:
            worker: The worker, just after it was polled.
            now: Current time on the steady clock.
        """
        found = []
        for run in list(worker.runs.values()):
            if run.step.lasting or run.stopping or not run.confirmed_at:
                continue
            # Most runs end before `STALL_SECONDS`.
            if now - run.confirmed_at < stragglers.STALL_SECONDS:
                continue
            progress = run.progress(now)
            siblings = (
                self._sibling_seconds(run, now)
                if stragglers.may_be_slow(progress)
                else []
            )
            reason = stragglers.reason_to_move(
                progress, siblings, STARTUP_SECONDS
            )
            if not reason or not self._may_move(run, reason, progress):
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

    def _may_move(
        self,
        run: run_state.Run,
        reason: str,
        progress: stragglers.Progress,
    ) -> bool:
        """Return whether to move a run; remember tasks moved for being slow.

        A task is moved only once for being slow: if it is slow on a second
        worker too, the cause is the task itself.
        """
        if reason == stragglers.THROTTLED and self._colocation is not None:
            seconds = self._run_seconds.get(run.task[:3])
            return self._colocation.may_move(
                run,
                progress.throttled_seconds,
                statistics.median(seconds)
                if seconds
                else run.step.estimate_ms / 1000,
            )
        if reason == stragglers.SLOW:
            if run.task in self._moved:
                return False
            self._moved.add(run.task)
        return True

    def _sibling_seconds(self, run: run_state.Run, now: float) -> list[float]:
        """Return run times, actual or expected, of other tasks of the step."""
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
