"""The replicated store of jobs, tasks, leases and recorded decisions."""

import itertools
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.state import change as changes

__all__ = ["JobStore", "Snapshot"]

# Number of ended jobs whose tasks are kept.  Of jobs that ended earlier, only
# the number of tasks in each state is kept.
MAX_DETAILED_JOBS = 200
# Number of ended jobs that are kept at all: about two days at 9,700 jobs a day.
MAX_ENDED_JOBS = 20_000
MAX_DECISIONS_OF_ENDED_JOB = 6

_LIVE = (job.TaskState.RUNNING, job.TaskState.EVICTING)
_ENDED = (
    job.TaskState.FINISHED,
    job.TaskState.FAILED,
    job.TaskState.CANCELLED,
)


class Snapshot(NamedTuple):
    """The part of a state machine's snapshot that holds the job store."""

    jobs: dict[str, job.Job]
    tasks: dict[str, job.Task]
    decisions: dict[str, list[job.Decision]]
    totals: dict[str, job.Totals]
    ended: list[str]


class JobStore:
    """Jobs and tasks, with the indexes that the scheduler needs.

    The dictionaries whose values are all None serve as ordered sets.

    Attributes:
        jobs: Jobs by id.
        tasks: Batch and service tasks by id.
        decisions: Recorded decisions by job id, oldest first.
        waiting: Ids of waiting batch tasks, in order of acceptance.
        live_by_worker: Ids of live (running or evicting) tasks, by worker.
        service_tasks: Ids of all service tasks that have ever been started.
        unfinished_tasks: Number of tasks that have not ended, by job id.
        ended: Ids of ended jobs, in the order in which they ended.
        totals: Number of tasks in each state, by id of the job, for ended jobs
            whose tasks were dropped.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, job.Job] = {}
        self.tasks: dict[str, job.Task] = {}
        self.decisions: dict[str, list[job.Decision]] = {}
        self.waiting: dict[str, None] = {}
        self.live_by_worker: dict[str, dict[str, None]] = {}
        self.service_tasks: dict[str, None] = {}
        self.unfinished_tasks: dict[str, int] = {}
        self.ended: dict[str, None] = {}
        self.totals: dict[str, job.Totals] = {}

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> "JobStore":
        """Restore the jobs from a snapshot and rebuild the indexes."""
        restored = cls()
        restored.jobs = snapshot.jobs
        restored.decisions = snapshot.decisions
        restored.totals = snapshot.totals
        for batch_job in snapshot.jobs.values():
            if batch_job.job_id not in snapshot.totals:
                restored.unfinished_tasks[batch_job.job_id] = batch_job.tasks
        for task in snapshot.tasks.values():
            restored._store(task)
        restored.ended = dict.fromkeys(snapshot.ended)
        return restored

    def snapshot(self) -> Snapshot:
        """Return the job store's part of a snapshot, without copying it."""
        return Snapshot(
            self.jobs, self.tasks, self.decisions, self.totals, list(self.ended)
        )

    def put(self, task: job.Task) -> None:
        """Store a new or changed task and update the indexes.

        If this ends its job, old ended jobs or their tasks are dropped as far
        as necessary; see `_apply_retention`.
        """
        self._store(task)
        job_id = job_id_of(task.task_id)
        if self.unfinished_tasks.get(job_id) == 0 and job_id not in self.ended:
            self.ended[job_id] = None
            self._apply_retention()

    def _store(self, task: job.Task) -> None:
        previous = self.tasks.get(task.task_id)
        was_ended = previous is not None and previous.state in _ENDED
        if task.state in _ENDED and not was_ended:
            self.unfinished_tasks[job_id_of(task.task_id)] -= 1
        if previous is not None and previous.held is not None:
            self.live_by_worker[previous.held.worker].pop(task.task_id, None)
        self.tasks[task.task_id] = task
        if task.held is not None:
            on_worker = self.live_by_worker.setdefault(task.held.worker, {})
            on_worker[task.task_id] = None
        if not self.is_batch(task):
            self.service_tasks[task.task_id] = None
        elif task.state == job.TaskState.WAITING:
            self.waiting[task.task_id] = None
        else:
            self.waiting.pop(task.task_id, None)

    def is_batch(self, task: job.Task) -> bool:
        """Return whether a task belongs to a batch job."""
        return job_id_of(task.task_id) in self.jobs

    def job_tasks(self, job_id: str) -> list[job.Task]:
        """Return all tasks of a batch job, in order of their numbers.

        The list is empty for a job that ended so long ago that its tasks were
        dropped; see `job_totals`.
        """
        if job_id in self.totals:
            return []
        batch_job = self.jobs[job_id]
        return [
            self.tasks[job.task_id(job_id, number)]
            for number in range(batch_job.tasks)
        ]

    def job_totals(self, job_id: str) -> job.Totals:
        """Return how many tasks of a batch job are in each state."""
        known = self.totals.get(job_id)
        return known or job.Totals.of_tasks(self.job_tasks(job_id))

    def live_service_tasks(self, zone: str) -> list[job.Task]:
        """Return the service tasks that hold a lease in a zone."""
        return [
            self.tasks[name]
            for name in self.service_tasks
            if _is_live_in(self.tasks[name], zone)
        ]

    def live_tasks_in(self, zone: str) -> list[job.Task]:
        """Return all tasks that hold a lease in a zone."""
        return [
            self.tasks[name]
            for names in self.live_by_worker.values()
            for name in names
            if _is_live_in(self.tasks[name], zone)
        ]

    def accept(self, index: int, request: changes.AcceptJob) -> changes.Result:
        """Accept a job and create its tasks in state WAITING."""
        if request.job_id in self.jobs:
            return _refusal(
                outcomes.RefusalReason.WRONG_STATE,
                f"job {request.job_id} exists",
            )
        self.jobs[request.job_id] = job.Job(
            request.job_id,
            request.customer,
            request.template,
            request.tasks,
            request.deadline_wall_seconds,
            request.operation.wall_seconds,
        )
        self.unfinished_tasks[request.job_id] = request.tasks
        for number in range(request.tasks):
            name = job.task_id(request.job_id, number)
            self.put(job.Task(name, request.template, request.customer))
        wall = request.operation.wall_seconds
        reason = f"accepted from {request.operation.operator}"
        self._add_decision(index, wall, request.job_id, "accepted", reason)
        return changes.Result(changes.Status.APPLIED, 1)

    def cancel(self, index: int, request: changes.CancelJob) -> changes.Result:
        """Cancel a job and its waiting tasks.

        Its running tasks end only when their workers have stopped them.
        """
        batch_job = self.jobs.get(request.job_id)
        if batch_job is None:
            return _refusal(
                outcomes.RefusalReason.UNKNOWN_NAME,
                f"job {request.job_id!r} does not exist",
            )
        self.jobs[request.job_id] = batch_job._replace(cancelled=True)
        for task in self.job_tasks(request.job_id):
            if task.state == job.TaskState.WAITING:
                self.put(task._replace(state=job.TaskState.CANCELLED))
        wall = request.operation.wall_seconds
        reason = f"asked for by {request.operation.operator}"
        self._add_decision(index, wall, request.job_id, "cancelled", reason)
        return changes.Result(changes.Status.APPLIED, 1)

    def start(self, index: int, request: changes.StartTasks) -> changes.Result:
        """Start attempts of tasks.

        Skips a task that is not waiting, or whose next attempt does not have
        the given number, and lists it in the result.
        """
        refused = []
        for start in request.starts:
            if not self._start_one(index, request, start):
                refused.append(start.task_id)
        return changes.Result(
            changes.Status.APPLIED, request.epoch, refused=tuple(refused)
        )

    def _start_one(
        self, index: int, request: changes.StartTasks, start: changes.Start
    ) -> bool:
        task = self.tasks.get(start.task_id)
        if task is None:
            task = _service_task(start.task_id)
        if task is None or task.state != job.TaskState.WAITING:
            return False
        if start.attempt != task.attempt + 1:
            return False
        granted = lease.Lease(
            start.worker, start.incarnation, request.zone, request.epoch
        )
        self.put(
            task._replace(
                state=job.TaskState.RUNNING, attempt=start.attempt, held=granted
            )
        )
        reason = f"on worker {start.worker}: {start.reason}"
        self._add_decision(
            index, request.wall_seconds, start.task_id, "started", reason
        )
        return True

    def end(self, index: int, request: changes.EndTasks) -> changes.Result:
        """Record the ends of attempts that hold a lease in the given zone.

        Attempts without one are skipped and listed in the result.
        """
        refused = []
        for end in request.ends:
            task = self.tasks.get(end.task_id)
            if task is None or not _is_current(task, end.attempt, request.zone):
                refused.append(end.task_id)
                continue
            self._end_one(task, end)
            self._add_decision(
                index,
                request.wall_seconds,
                end.task_id,
                end.ending.value,
                end.reason,
            )
        return changes.Result(
            changes.Status.APPLIED, request.epoch, refused=tuple(refused)
        )

    def _end_one(self, task: job.Task, end: changes.End) -> None:
        if end.ending == changes.Ending.FAILED:
            task = task.with_failure()
        self.put(
            task._replace(
                state=self._state_after(task, end),
                held=None,
                checkpoint=end.checkpoint or task.checkpoint,
            )
        )

    def _state_after(self, task: job.Task, end: changes.End) -> job.TaskState:
        batch_job = self.jobs.get(job_id_of(task.task_id))
        if batch_job is None:
            return job.TaskState.WAITING
        if end.ending == changes.Ending.FINISHED:
            return job.TaskState.FINISHED
        if batch_job.cancelled or end.ending == changes.Ending.CANCELLED:
            return job.TaskState.CANCELLED
        if task.has_failed_permanently():
            return job.TaskState.FAILED
        return job.TaskState.WAITING

    def evict(self, index: int, request: changes.EvictTasks) -> changes.Result:
        """Record evictions of attempts that hold a lease in the given zone.

        Attempts without one are skipped and listed in the result.
        """
        refused = []
        for eviction in request.evictions:
            task = self.tasks.get(eviction.task_id)
            if task is None or not _is_current(
                task, eviction.attempt, request.zone
            ):
                refused.append(eviction.task_id)
                continue
            self.put(task._replace(state=job.TaskState.EVICTING))
            self._add_decision(
                index,
                request.wall_seconds,
                eviction.task_id,
                "evicting",
                eviction.reason,
            )
        return changes.Result(
            changes.Status.APPLIED, request.epoch, refused=tuple(refused)
        )

    def record_decisions(
        self, index: int, request: changes.RecordDecisions
    ) -> changes.Result:
        """Record decisions about tasks, without an effect on the tasks."""
        for note in request.notes:
            self._add_decision(
                index,
                request.wall_seconds,
                note.task_id,
                note.what,
                note.reason,
            )
        return changes.Result(changes.Status.APPLIED, request.epoch)

    def _add_decision(
        self, index: int, wall_seconds: float, task: str, what: str, reason: str
    ) -> None:
        job_id = job_id_of(task)
        if job_id not in self.jobs:
            return
        decision = job.Decision(index, wall_seconds, task, what, reason)
        history = self.decisions.setdefault(job_id, [])
        history.append(decision)
        if len(history) > job.MAX_DECISIONS_PER_JOB:
            # Drops the second decision: the first one, which says that the job
            # was accepted, is always kept.
            del history[1]

    def _apply_retention(self) -> None:
        """Drop an old ended job, or its tasks, if there are too many.

        If more than `MAX_DETAILED_JOBS` ended jobs have tasks, drops the tasks
        of the one that ended first.  If there are more than `MAX_ENDED_JOBS`
        ended jobs, drops the one that ended first.
        """
        jobs_with_tasks = len(self.ended) - len(self.totals)
        if jobs_with_tasks > MAX_DETAILED_JOBS:
            self._drop_tasks(self._oldest_job_with_tasks())
        if len(self.ended) > MAX_ENDED_JOBS:
            self._drop_job(next(iter(self.ended)))

    def _oldest_job_with_tasks(self) -> str:
        # Jobs lose their tasks in the order in which they ended, so those in
        # `totals` are the first ones in `ended`.
        return next(itertools.islice(self.ended, len(self.totals), None))

    def _drop_tasks(self, job_id: str) -> None:
        tasks = self.job_tasks(job_id)
        self.totals[job_id] = job.Totals.of_tasks(tasks)
        for task in tasks:
            del self.tasks[task.task_id]
        del self.unfinished_tasks[job_id]
        history = self.decisions.get(job_id, [])
        # Keeps the latest decisions and the first one, which says that the job
        # was accepted.
        del history[1 : 1 - MAX_DECISIONS_OF_ENDED_JOB]

    def _drop_job(self, job_id: str) -> None:
        del self.ended[job_id]
        del self.totals[job_id]
        del self.jobs[job_id]
        self.decisions.pop(job_id, None)


def job_id_of(task: str) -> str:
    """Return the job id of a task id; a job id is returned unchanged.

    Examples:
        >>> job_id_of("j1/0"), job_id_of("j1")
        ('j1', 'j1')
    """
    return task.split("/", 1)[0]


def service_task_id(customer: str, service: str, zone: str, number: int) -> str:
    """Return the id of a service task.

    Examples:
        >>> service_task_id("ikengwu", "offers", "z1", 0)
        'svc:ikengwu/offers/z1/0'
    """
    return f"svc:{customer}/{service}/{zone}/{number}"


def _service_task(task_id: str) -> job.Task | None:
    if not task_id.startswith("svc:"):
        return None
    customer, service, _, _ = task_id.removeprefix("svc:").split("/")
    return job.Task(task_id, service, customer)


def _is_live_in(task: job.Task, zone: str) -> bool:
    return task.held is not None and task.held.zone == zone


def _is_current(task: job.Task, attempt: int, zone: str) -> bool:
    if task.state not in _LIVE or task.attempt != attempt:
        return False
    return task.held is not None and task.held.zone == zone


def _refusal(reason: outcomes.RefusalReason, detail: str) -> changes.Result:
    return changes.Result(changes.Status.REFUSED, reason=reason, detail=detail)
