"""Jobs, their tasks, the leases on them and the recorded decisions."""

import itertools
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.state import change as changes

__all__ = ["Image", "Ledger"]

# Ended jobs of which each task is still told.
MAX_DETAILED_JOBS = 200
# Ended jobs of which the totals are told; about two days at 9,700 a day.
MAX_ENDED_JOBS = 20_000
DECISIONS_OF_ENDED_JOB = 6

_LIVE = (job.TaskState.RUNNING, job.TaskState.EVICTING)
_ENDED = (
    job.TaskState.FINISHED,
    job.TaskState.FAILED,
    job.TaskState.CANCELLED,
)


class Image(NamedTuple):
    """What a snapshot holds of the ledger."""

    jobs: dict[str, job.Job]
    tasks: dict[str, job.Task]
    decisions: dict[str, list[job.Decision]]
    totals: dict[str, job.Totals]
    ended: list[str]


class Ledger:
    """The aggregate of jobs and tasks.

    Attributes:
        jobs: Jobs by id.
        tasks: Batch and service tasks by id.
        decisions: Decisions by job id, oldest first.
        waiting: Ids of waiting batch tasks, in order of acceptance.
        live: Ids of running or evicting tasks, by worker.
        services: Ids of service tasks that were ever started.
        open_tasks: How many tasks of each job have not ended.
        ended: Ids of ended jobs, the first that ended first.
        totals: What is kept of ended jobs whose tasks were dropped, by id.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, job.Job] = {}
        self.tasks: dict[str, job.Task] = {}
        self.decisions: dict[str, list[job.Decision]] = {}
        self.waiting: dict[str, None] = {}
        self.live: dict[str, dict[str, None]] = {}
        self.services: dict[str, None] = {}
        self.open_tasks: dict[str, int] = {}
        self.ended: dict[str, None] = {}
        self.totals: dict[str, job.Totals] = {}

    @classmethod
    def from_image(cls, image: Image) -> "Ledger":
        """Rebuilds the ledger and its indexes from a snapshot."""
        made = cls()
        made.jobs = image.jobs
        made.decisions = image.decisions
        made.totals = image.totals
        for held in image.jobs.values():
            if held.job_id not in image.totals:
                made.open_tasks[held.job_id] = held.tasks
        for task in image.tasks.values():
            made._put(task)
        made.ended = dict.fromkeys(image.ended)
        return made

    def image(self) -> Image:
        """Returns what a snapshot holds."""
        return Image(
            self.jobs, self.tasks, self.decisions, self.totals, list(self.ended)
        )

    def put(self, task: job.Task) -> None:
        """Stores a task, keeps the indexes and drops what ended long ago."""
        self._put(task)
        job_id = job_of(task.task_id)
        if self.open_tasks.get(job_id) == 0 and job_id not in self.ended:
            self.ended[job_id] = None
            self._drop_old()

    def _put(self, task: job.Task) -> None:
        before = self.tasks.get(task.task_id)
        was_ended = before is not None and before.state in _ENDED
        if task.state in _ENDED and not was_ended:
            self.open_tasks[job_of(task.task_id)] -= 1
        if before is not None and before.held is not None:
            self.live[before.held.worker].pop(task.task_id, None)
        self.tasks[task.task_id] = task
        if task.held is not None:
            on_worker = self.live.setdefault(task.held.worker, {})
            on_worker[task.task_id] = None
        if not self.is_batch(task):
            self.services[task.task_id] = None
        elif task.state == job.TaskState.WAITING:
            self.waiting[task.task_id] = None
        else:
            self.waiting.pop(task.task_id, None)

    def is_batch(self, task: job.Task) -> bool:
        """Tells whether a task belongs to a batch job."""
        return job_of(task.task_id) in self.jobs

    def job_tasks(self, job_id: str) -> list[job.Task]:
        """Returns all tasks of a batch job, in order.

        There are none for a job that ended long ago; see `job_totals`.
        """
        if job_id in self.totals:
            return []
        held = self.jobs[job_id]
        return [
            self.tasks[job.task_id(job_id, number)]
            for number in range(held.tasks)
        ]

    def job_totals(self, job_id: str) -> job.Totals:
        """Returns how many tasks of a batch job are in each state."""
        known = self.totals.get(job_id)
        return known or job.Totals.of_tasks(self.job_tasks(job_id))

    def live_services(self, zone: str) -> list[job.Task]:
        """Returns the live service tasks of a zone."""
        return [
            self.tasks[name]
            for name in self.services
            if _is_live_in(self.tasks[name], zone)
        ]

    def live_in(self, zone: str) -> list[job.Task]:
        """Returns all live tasks that hold a lease in a zone."""
        return [
            self.tasks[name]
            for names in self.live.values()
            for name in names
            if _is_live_in(self.tasks[name], zone)
        ]

    def accept(self, index: int, asked: changes.AcceptJob) -> changes.Result:
        """Accepts a job and makes its waiting tasks."""
        if asked.job_id in self.jobs:
            return _refused(
                outcomes.RefusalReason.WRONG_STATE,
                f"job {asked.job_id} exists",
            )
        self.jobs[asked.job_id] = job.Job(
            asked.job_id,
            asked.customer,
            asked.template,
            asked.tasks,
            asked.deadline_wall_seconds,
            asked.operation.wall_seconds,
        )
        self.open_tasks[asked.job_id] = asked.tasks
        for number in range(asked.tasks):
            name = job.task_id(asked.job_id, number)
            self.put(job.Task(name, asked.template, asked.customer))
        wall = asked.operation.wall_seconds
        reason = f"accepted from {asked.operation.operator}"
        self._decide(index, wall, asked.job_id, "accepted", reason)
        return changes.Result(changes.Status.APPLIED, 1)

    def cancel(self, index: int, asked: changes.CancelJob) -> changes.Result:
        """Cancels a job; running tasks end when their worker stopped them."""
        held = self.jobs.get(asked.job_id)
        if held is None:
            return _refused(
                outcomes.RefusalReason.UNKNOWN_NAME,
                f"job {asked.job_id!r} does not exist",
            )
        self.jobs[asked.job_id] = held._replace(cancelled=True)
        for task in self.job_tasks(asked.job_id):
            if task.state == job.TaskState.WAITING:
                self.put(task._replace(state=job.TaskState.CANCELLED))
        wall = asked.operation.wall_seconds
        reason = f"asked for by {asked.operation.operator}"
        self._decide(index, wall, asked.job_id, "cancelled", reason)
        return changes.Result(changes.Status.APPLIED, 1)

    def start(self, index: int, asked: changes.StartTasks) -> changes.Result:
        """Grants leases; passes over tasks that are not waiting any more."""
        refused = []
        for start in asked.starts:
            if not self._start_one(index, asked, start):
                refused.append(start.task_id)
        return changes.Result(
            changes.Status.APPLIED, asked.epoch, refused=tuple(refused)
        )

    def _start_one(
        self, index: int, asked: changes.StartTasks, start: changes.Start
    ) -> bool:
        task = self.tasks.get(start.task_id)
        if task is None:
            task = _service_task(start.task_id)
        if task is None or task.state != job.TaskState.WAITING:
            return False
        if start.attempt != task.attempt + 1:
            return False
        held = lease.Lease(
            start.worker, start.incarnation, asked.zone, asked.epoch
        )
        self.put(
            task._replace(
                state=job.TaskState.RUNNING, attempt=start.attempt, held=held
            )
        )
        reason = f"on worker {start.worker}: {start.reason}"
        self._decide(
            index, asked.wall_seconds, start.task_id, "started", reason
        )
        return True

    def end(self, index: int, asked: changes.EndTasks) -> changes.Result:
        """Records ends; passes over attempts that are not current."""
        refused = []
        for end in asked.ends:
            task = self.tasks.get(end.task_id)
            if task is None or not _is_current(task, end.attempt, asked.zone):
                refused.append(end.task_id)
                continue
            self._end_one(task, end)
            self._decide(
                index,
                asked.wall_seconds,
                end.task_id,
                end.ending.value,
                end.reason,
            )
        return changes.Result(
            changes.Status.APPLIED, asked.epoch, refused=tuple(refused)
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
        held = self.jobs.get(job_of(task.task_id))
        if held is None:
            return job.TaskState.WAITING
        if end.ending == changes.Ending.FINISHED:
            return job.TaskState.FINISHED
        if held.cancelled or end.ending == changes.Ending.CANCELLED:
            return job.TaskState.CANCELLED
        if task.has_failed_permanently():
            return job.TaskState.FAILED
        return job.TaskState.WAITING

    def evict(self, index: int, asked: changes.EvictTasks) -> changes.Result:
        """Records that running attempts are asked to stop."""
        refused = []
        for eviction in asked.evictions:
            task = self.tasks.get(eviction.task_id)
            if task is None or not _is_current(
                task, eviction.attempt, asked.zone
            ):
                refused.append(eviction.task_id)
                continue
            self.put(task._replace(state=job.TaskState.EVICTING))
            self._decide(
                index,
                asked.wall_seconds,
                eviction.task_id,
                "evicting",
                eviction.reason,
            )
        return changes.Result(
            changes.Status.APPLIED, asked.epoch, refused=tuple(refused)
        )

    def record_notes(
        self, index: int, asked: changes.RecordDecisions
    ) -> changes.Result:
        """Records decisions that change no task."""
        for note in asked.notes:
            self._decide(
                index, asked.wall_seconds, note.task_id, note.what, note.reason
            )
        return changes.Result(changes.Status.APPLIED, asked.epoch)

    def _decide(
        self, index: int, wall_seconds: float, task: str, what: str, reason: str
    ) -> None:
        job_id = job_of(task)
        if job_id not in self.jobs:
            return
        made = job.Decision(index, wall_seconds, task, what, reason)
        history = self.decisions.setdefault(job_id, [])
        history.append(made)
        if len(history) > job.MAX_DECISIONS_PER_JOB:
            # The acceptance, which stands first, is kept.
            del history[1]

    def _drop_old(self) -> None:
        """Drops the tasks of old ended jobs, and the oldest jobs whole."""
        detailed = len(self.ended) - len(self.totals)
        if detailed > MAX_DETAILED_JOBS:
            self._drop_tasks(self._oldest_detailed())
        if len(self.ended) > MAX_ENDED_JOBS:
            self._drop_job(next(iter(self.ended)))

    def _oldest_detailed(self) -> str:
        # Jobs lose their tasks in the order in which they ended.
        return next(itertools.islice(self.ended, len(self.totals), None))

    def _drop_tasks(self, job_id: str) -> None:
        tasks = self.job_tasks(job_id)
        self.totals[job_id] = job.Totals.of_tasks(tasks)
        for task in tasks:
            del self.tasks[task.task_id]
        del self.open_tasks[job_id]
        history = self.decisions.get(job_id, [])
        # The acceptance, which stands first, is kept.
        del history[1 : 1 - DECISIONS_OF_ENDED_JOB]

    def _drop_job(self, job_id: str) -> None:
        del self.ended[job_id]
        del self.totals[job_id]
        del self.jobs[job_id]
        self.decisions.pop(job_id, None)


def job_of(task: str) -> str:
    """Returns the job id of a task id or of a job id itself.

    Examples:
        >>> job_of("j1/0"), job_of("j1")
        ('j1', 'j1')
    """
    return task.split("/", 1)[0]


def service_task_id(customer: str, service: str, zone: str, number: int) -> str:
    """Names a task of a service.

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


def _refused(reason: outcomes.RefusalReason, detail: str) -> changes.Result:
    return changes.Result(changes.Status.REFUSED, reason=reason, detail=detail)
