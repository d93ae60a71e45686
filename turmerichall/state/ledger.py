"""Jobs, their tasks, the leases on them and the recorded decisions."""

from turmerichall import outcomes
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.state import change as changes

__all__ = ["Ledger"]

MAX_ENDED_JOBS = 20_000

_LIVE = (job.TaskState.RUNNING, job.TaskState.EVICTING)
_ENDED = (
    job.TaskState.FINISHED,
    job.TaskState.FAILED,
    job.TaskState.CANCELLED,
)


class Ledger:
    """The aggregate of jobs and tasks.

    Attributes:
        jobs: Jobs by id.
        tasks: Batch and service tasks by id.
        decisions: Decisions by job id, oldest first.
        waiting: Ids of waiting batch tasks, in order of acceptance.
        live: Ids of running or evicting tasks, by worker.
        services: Ids of service tasks that were ever started.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, job.Job] = {}
        self.tasks: dict[str, job.Task] = {}
        self.decisions: dict[str, list[job.Decision]] = {}
        self.waiting: dict[str, None] = {}
        self.live: dict[str, dict[str, None]] = {}
        self.services: dict[str, None] = {}

    @classmethod
    def from_parts(
        cls,
        jobs: dict[str, job.Job],
        tasks: dict[str, job.Task],
        decisions: dict[str, list[job.Decision]],
    ) -> "Ledger":
        """Rebuilds the ledger and its indexes from a snapshot."""
        made = cls()
        made.jobs = jobs
        made.decisions = decisions
        for task in tasks.values():
            made.put(task)
        return made

    def put(self, task: job.Task) -> None:
        """Stores a task and keeps the indexes."""
        before = self.tasks.get(task.task_id)
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
        """Returns all tasks of a batch job, in order."""
        held = self.jobs[job_id]
        return [
            self.tasks[job.task_id(job_id, number)]
            for number in range(held.tasks)
        ]

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
        self._forget_ended()
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
        if task.is_given_up():
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

    def _forget_ended(self) -> None:
        """Drops the oldest ended jobs beyond `MAX_ENDED_JOBS`."""
        if len(self.jobs) <= MAX_ENDED_JOBS:
            return
        for job_id in list(self.jobs)[: len(self.jobs) - MAX_ENDED_JOBS]:
            tasks = self.job_tasks(job_id)
            if all(task.state in _ENDED for task in tasks):
                for task in tasks:
                    del self.tasks[task.task_id]
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
