"""Replicated state of queues: jobs, their tasks, workers and configuration.

Every replica applies the same changes in the same order.  Changes are
idempotent: a row that does not match the state, such as the end of a run that
is not the current one, has no effect.
"""

from collections.abc import Iterable, Iterator

import msgspec

from turmerichall import errors
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import configuration_edits as edits
from turmerichall.queues import configuration_revision
from turmerichall.queues import demand as demands
from turmerichall.queues import forgetting
from turmerichall.queues import job as job_records
from turmerichall.queues import job_size
from turmerichall.queues import levels
from turmerichall.queues import ordered_jobs

__all__ = ["QueueState"]


_NO_DEMAND = demands.JobDemand("", ())


class _Snapshot(msgspec.Struct, array_like=True):
    configuration: configurations.Configuration
    document: bytes
    queues: dict[str, configurations.Queue]
    jobs: dict[str, job_records.Job]
    workers: dict[str, changes.WorkerRecord]
    draining: list[str]
    gone: list[str]
    interference: dict[str, dict[str, float]]
    capacities: dict[str, changes.Capacity] = {}
    evacuations: dict[str, int] = {}
    restored: dict[str, int] = {}
    interference_strengths: dict[str, dict[str, float]] = {}
    withdrawn: list[str] = []
    level: int = 0


def _empty_snapshot() -> _Snapshot:
    no_configuration = configurations.Configuration()
    return _Snapshot(no_configuration, b"", {}, {}, {}, [], [], {})


class QueueState:
    """The state machine of queues, an `agreement.replica_state.StateMachine`.

    Attributes:
        configuration: The configuration in force.
        document: The configuration document as the operator sent it; empty if
            there is none.
        queues: Queues that are configured, or were, by key, in their latest
            version.
        jobs: Jobs by id.
        workers: Workers that were not removed, by id.
        draining: Ids of workers that are about to leave.
        gone: Ids of workers that were removed.
        interference: Learned slowdowns, by long-running and best-effort image.
        interference_strengths: Strength of the evidence for each slowdown.
        capacities: Capacities that changed after the registration, by id of the
            worker.
        evacuations: When the evacuation of each availability zone in evacuation
            began, in ms since 1970, by name of the zone.
        restored: When each availability zone that was in evacuation was taken
            back, in ms since 1970, by name of the zone.
        withdrawn: Ids of jobs that were canceled before they were known.
        level: Level of changes in force; see `levels`.
        waiting: Ids of open jobs of which no task has started, by key of the
            queue.
        ordered: Open jobs of which a start was committed, and nothing is known
            to have begun.
        jobs_bytes: Estimated memory of the jobs, in bytes.
    """

    def __init__(self) -> None:
        self.level = 0
        self._load(_empty_snapshot())

    def _load(self, state: _Snapshot) -> None:
        self.configuration = state.configuration
        self.document = state.document
        self.queues = state.queues
        self.jobs = state.jobs
        self.workers = state.workers
        self.draining = set(state.draining)
        self.gone = set(state.gone)
        self.interference = state.interference
        self.interference_strengths = state.interference_strengths
        self.capacities = state.capacities
        self.evacuations = state.evacuations
        self.restored = state.restored
        self.withdrawn = set(state.withdrawn)
        self._set_level(state.level)
        self.waiting: dict[str, set[str]] = {}
        self.jobs_bytes = sum(map(job_size.estimate_bytes, self.jobs.values()))
        for job in self.jobs.values():
            if job.state == job_records.JobState.QUEUED:
                self.waiting.setdefault(job.queue, set()).add(job.id)
        self.ordered = ordered_jobs.OrderedJobs(self.jobs.values())

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.configuration,
                self.document,
                self.queues,
                self.jobs,
                self.workers,
                sorted(self.draining),
                sorted(self.gone),
                self.interference,
                self.capacities,
                self.evacuations,
                self.restored,
                self.interference_strengths,
                sorted(self.withdrawn),
                self.level,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        self._load(msgspec.msgpack.decode(data, type=_Snapshot))

    def apply(self, _: int, data: bytes) -> bytes:
        """Apply an encoded change, and return an empty result."""
        change = changes.decode(data)
        match change:
            case changes.StartRuns():
                for started in change.rows:
                    self._start(started)
            case changes.EndRuns():
                for ended in change.rows:
                    self._end(ended)
            case changes.AcceptJob():
                self._accept(change)
            case changes.CancelJob():
                self._cancel(change.job)
            case changes.SetConfiguration() | edits.ReviseConfiguration():
                self._configure(change)
            case changes.RegisterWorker():
                self._register(change.worker)
            case changes.DrainWorker():
                if change.worker in self.workers:
                    self.draining.add(change.worker)
            case changes.LoseWorker():
                self._lose_worker(change)
            case changes.ClearCrashes():
                for task in self._find_tasks(change.tasks):
                    task.crashes = task.doubtful_crashes = 0
                    task.on_trial = False
            case changes.ResizeWorker():
                if change.worker in self.workers:
                    self.capacities[change.worker] = change.capacity
            case changes.NoteInterference():
                self.interference = change.added
                self.interference_strengths = change.strengths
            case changes.BeginEvacuation():
                self.evacuations.setdefault(change.zone, change.at_ms)
                self.restored.pop(change.zone, None)
            case forgetting.Forget():
                # Earlier releases wrote it without a level in force.
                self.level = max(self.level, levels.FORGETTING)
                self._forget(change)
            case levels.RaiseLevel():
                self._set_level(max(self.level, change.level))
            case changes.EndEvacuation():
                if self.evacuations.pop(change.zone, None) is not None:
                    self.restored[change.zone] = change.at_ms
        return b""

    def _set_level(self, level: int) -> None:
        """Put a level in force.

        Raises:
            ReleaseError: This release does not read it.
        """
        if level > levels.LATEST:
            raise errors.ReleaseError(
                f"changes of level {level} are in force; this release reads"
                f" levels up to {levels.LATEST}"
            )
        self.level = level

    def is_evacuated(self, worker: changes.WorkerRecord) -> bool:
        """Return whether the availability zone of a worker is in evacuation."""
        return worker.zone in self.evacuations

    def _configure(self, change: configuration_revision.AnyChange) -> None:
        current = edits.Described(self.configuration, self.document)
        new = configuration_revision.resolve(change, current)
        self.configuration, self.document = new
        for queue in self.configuration.queues:
            self.queues[queue.key] = queue

    def _accept(self, change: changes.AcceptJob) -> None:
        if change.job in self.jobs:
            return
        # Leaders of earlier releases accept withdrawn jobs.
        self.withdrawn.discard(change.job)
        job = job_records.Job(
            change.job, change.queue, change.demand, change.at_ms
        )
        self.jobs[job.id] = job
        self.jobs_bytes += job_size.estimate_bytes(job)
        self.waiting.setdefault(job.queue, set()).add(job.id)

    def _cancel(self, job_id: str) -> None:
        if job_id in self.jobs:
            self._close(job_id, job_records.JobState.CANCELED)
        else:
            self.withdrawn.add(job_id)

    def _close(self, job_id: str, state: job_records.JobState) -> None:
        job = self.jobs.get(job_id)
        if job is None or not job.open:
            return
        job.state = state
        self.waiting.get(job.queue, set()).discard(job_id)
        self.ordered.discard(job)
        if state == job_records.JobState.COMPLETED:
            # Frees the memory of the job's demand and tasks; none of the tasks
            # runs or starts any more.
            self.jobs_bytes -= job_size.estimate_bytes(job)
            job.demand = _NO_DEMAND
            job.occurrences = {}
            self.jobs_bytes += job_size.estimate_bytes(job)

    def _start(self, started: changes.StartedRun) -> None:
        job = self.jobs.get(started.task.job)
        if job is None or not job.open or started.worker not in self.workers:
            return
        task = job.task(started.task)
        if task.done or task.worker or started.run <= task.run:
            return
        task.run = started.run
        task.worker = started.worker
        self.ordered.record_start(job)
        if not job.started:
            job.started = True
            job.state = job_records.JobState.ACTIVE
            self.waiting.get(job.queue, set()).discard(job.id)

    def _record_begun(self, job: job_records.Job) -> None:
        job.begun = True
        self.ordered.discard(job)

    def _record_unstarted(self, job: job_records.Job) -> None:
        """Put a job back among the waiting ones if nothing of it has begun."""
        if self.ordered.record_unstarted(job) and job.open:
            job.started = False
            job.state = job_records.JobState.QUEUED
            self.waiting.setdefault(job.queue, set()).add(job.id)

    def _find_task(
        self, name: changes.TaskName
    ) -> job_records.TaskRecord | None:
        """Return the state of a task; None if it never started."""
        job = self.jobs.get(name.job)
        if job is None or name.occurrence not in job.occurrences:
            return None
        return job.task(name)

    def _find_tasks(
        self, names: Iterable[changes.TaskName]
    ) -> Iterator[job_records.TaskRecord]:
        """Yield the states of those tasks that ever started."""
        for name in names:
            task = self._find_task(name)
            if task is not None:
                yield task

    def _end(self, ended: changes.EndedRun) -> None:
        task = self._find_task(ended.task)
        if task is None:
            return
        job = self.jobs[ended.task.job]
        if task.run != ended.run or not task.worker:
            return
        task.worker = ""
        if ended.ending == changes.Ending.UNSTARTED:
            self._record_unstarted(job)
        else:
            self._record_begun(job)
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        step = job.demand.steps[ended.task.step]
        if ended.ending == changes.Ending.FAILED:
            progress = job.steps(ended.task.occurrence)[ended.task.step]
            failures = progress.record_failure(task, step.gang)
            queue = self.queues.get(job.queue)
            attempts = queue.max_attempts if queue else 1
            if failures >= attempts and not step.lasting:
                self._close(job.id, job_records.JobState.FAILED)
        elif ended.ending == changes.Ending.DONE and not step.lasting:
            self._record_done(job, ended.task)

    def _record_done(
        self, job: job_records.Job, name: changes.TaskName
    ) -> None:
        steps = job.steps(name.occurrence)
        step = steps[name.step]
        gang = job.demand.steps[name.step].gang
        if step.tasks[name.number].done:
            # A gang is done once one of its tasks is; another was done earlier.
            return
        for task in step.tasks if gang else [step.tasks[name.number]]:
            if not task.done:
                task.done = True
                task.checkpoint = ""
                step.done += 1
        if all(each.done == len(each.tasks) for each in steps):
            job.finished += 1
            if job.finished >= job.demand.occurrences:
                self._close(job.id, job_records.JobState.COMPLETED)

    def _forget(self, change: forgetting.Forget) -> None:
        for job in forgetting.forget_jobs(self.jobs, change.jobs):
            self.jobs_bytes -= job_size.estimate_bytes(job)
        self.gone.difference_update(change.gone)
        self.withdrawn.difference_update(change.withdrawn)
        if change.silent:
            busy = {
                task.worker
                for job in self.jobs.values()
                for _, task in job.runs()
            }
            for worker in set(change.silent) - busy:
                self._drop_worker(worker)
        if change.queues:
            needed = {queue.key for queue in self.configuration.queues}
            needed.update(job.queue for job in self.jobs.values())
            for key in set(change.queues) - needed:
                self.queues.pop(key, None)
                self.waiting.pop(key, None)

    def _register(self, worker: changes.WorkerRecord) -> None:
        if worker.id in self.gone or worker.id in self.workers:
            return
        for other in list(self.workers.values()):
            if worker.shares_place(other):
                self._remove_worker(other.id)
        self.workers[worker.id] = worker

    def _lose_worker(self, change: changes.LoseWorker) -> None:
        if change.worker not in self.workers:
            return
        for task in self._find_tasks(change.charged):
            task.crashes += 1
        for task in self._find_tasks(change.doubtful):
            task.doubtful_crashes += 1
        for task in self._find_tasks(change.on_trial):
            task.on_trial = True
        for job in change.given_up:
            self._close(job, job_records.JobState.FAILED)
        self._remove_worker(change.worker)

    def _drop_worker(self, worker: str) -> bool:
        """Drop the record of a worker; return whether there was one."""
        self.draining.discard(worker)
        self.capacities.pop(worker, None)
        return self.workers.pop(worker, None) is not None

    def _remove_worker(self, worker: str) -> None:
        if not self._drop_worker(worker):
            return
        self.gone.add(worker)
        for job in self.jobs.values():
            for _, task in job.runs():
                if task.worker == worker:
                    task.worker = ""
                    self._record_begun(job)
