"""Detection of faulty and flapping workers, as distinct from faulty jobs.

A worker flaps if it leaves and returns too often.

A failed attempt counts less against its worker the more healthy workers the
same job has failed on, since the job itself is then likely to be at fault.
Failures on workers that fail other jobs as well do not count against the job.
"""

import math

from turmerichall.placement import views

__all__ = ["Health", "WorkerRecord"]

QUARANTINE_SCORE = 3.0
PROBE_AFTER_SECONDS = 60.0
MAX_PROBE_AFTER_SECONDS = 1800.0
MAX_PROBE_DOUBLINGS = 5
FLAP_WINDOW_SECONDS = 600.0
MIN_FLAPS = 3
STABLE_AFTER_SECONDS = 120.0
MAX_ENTRIES = 4096


class WorkerRecord:
    """Record of failed attempts on one worker and of its absences.

    Attributes:
        failure_score: Weighted number of failed attempts since an attempt on it
            last finished.
        quarantined_until: Time from which a quarantined worker may be given a
            probe task, one that tests it; -inf if it is not quarantined.
        probing: Id of the probe task that runs on it, or empty.
        failed_probes: Number of quarantine periods since an attempt on it last
            finished.
        returns: Times at which it returned after an absence.
        quarantined_at: Start of the quarantine; -inf if it is not quarantined.
        failures: Number of failed attempts since an attempt on it last
            finished.
        failed_task: Id of the task of the last failed attempt, or empty.
    """

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.quarantined_until = -math.inf
        self.probing = ""
        self.failed_probes = 0
        self.returns: list[float] = []
        self.quarantined_at = -math.inf
        self.failures = 0
        self.failed_task = ""

    def is_quarantined(self) -> bool:
        """Return whether the worker may be given only probe tasks."""
        return self.quarantined_until > -math.inf


class Health:
    """Health of workers, judged by how attempts on them end.

    Attributes:
        workers: Records by worker name.
        failed_on: Workers on which tasks of a job failed, by job id.
        succeeded: Ids of jobs of which at least one task finished.
        avoided: Workers on which a task failed, by task id; they are avoided
            for its next attempt.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRecord] = {}
        self.failed_on: dict[str, dict[str, None]] = {}
        self.succeeded: dict[str, None] = {}
        self.avoided: dict[str, dict[str, None]] = {}

    def record_of(self, worker: str) -> WorkerRecord:
        """Return the record of a worker, creating it if needed."""
        found = self.workers.get(worker)
        if found is None:
            found = self.workers[worker] = WorkerRecord()
        return found

    def record_success(self, worker: str, task_id: str) -> bool:
        """Record a finished attempt; return whether it ended a quarantine."""
        record = self.record_of(worker)
        was_quarantined = record.is_quarantined()
        record.failure_score = 0.0
        record.failures = 0
        record.failed_probes = 0
        record.probing = ""
        record.quarantined_until = -math.inf
        record.quarantined_at = -math.inf
        self.succeeded[views.job_id_of(task_id)] = None
        self.avoided.pop(task_id, None)
        _trim(self.succeeded)
        return was_quarantined

    def record_failure(self, worker: str, task_id: str, at: float) -> bool:
        """Record a failed attempt; return whether it began a quarantine."""
        job = views.job_id_of(task_id)
        elsewhere = [
            name for name in self.failed_on.get(job, {}) if name != worker
        ]
        healthy = [
            name
            for name in elsewhere
            if self.record_of(name).failure_score < 1.5
        ]
        self.failed_on.setdefault(job, {})[worker] = None
        _trim(self.failed_on)
        self.avoided.setdefault(task_id, {})[worker] = None
        _trim(self.avoided)
        record = self.record_of(worker)
        record.failures += 1
        record.failed_task = task_id
        record.failure_score += 1.0 / (1 + len(healthy))
        if job in self.succeeded and not healthy:
            record.failure_score += 0.5
        if (
            record.probing == task_id
            or record.failure_score >= QUARANTINE_SCORE
        ):
            return self._quarantine(record, at)
        return False

    def _quarantine(self, record: WorkerRecord, at: float) -> bool:
        began = not record.is_quarantined()
        if began:
            record.quarantined_at = at
        doublings = min(record.failed_probes, MAX_PROBE_DOUBLINGS)
        wait = PROBE_AFTER_SECONDS * 2**doublings
        record.quarantined_until = at + min(wait, MAX_PROBE_AFTER_SECONDS)
        record.failed_probes += 1
        record.probing = ""
        return began

    def record_return(self, worker: str, at: float) -> None:
        """Record that a worker has returned after an absence."""
        record = self.record_of(worker)
        record.returns = [
            then for then in record.returns if then > at - FLAP_WINDOW_SECONDS
        ]
        record.returns.append(at)

    def is_flapping(self, worker: str, now: float) -> bool:
        """Return whether a worker has recently left and returned too often."""
        record = self.workers.get(worker)
        if record is None or len(record.returns) < MIN_FLAPS:
            return False
        return now < record.returns[-1] + STABLE_AFTER_SECONDS

    def accepts(self, worker: str, task: views.TaskView, now: float) -> bool:
        """Return whether a worker may be given a task.

        A quarantined worker is given one batch task at a time as a probe, from
        `quarantined_until` on, and no task that was evicted.  A flapping worker
        is given no service task and no task that has failed.
        """
        record = self.workers.get(worker)
        if record is None:
            return True
        if record.is_quarantined():
            if now < record.quarantined_until or record.probing:
                return False
            return not task.service and not task.evicted
        if task.service or task.failures:
            return not self.is_flapping(worker, now)
        return True

    def avoids(self, worker: str, task_id: str) -> bool:
        """Return whether a task has failed on a worker before."""
        return worker in self.avoided.get(task_id, {})

    def record_placement(self, worker: str, task_id: str) -> None:
        """Record a placed task; on a quarantined worker it is the probe."""
        record = self.workers.get(worker)
        if record is not None and record.is_quarantined():
            record.probing = task_id

    def record_inconclusive_end(self, worker: str, task_id: str) -> None:
        """Record the end of an attempt that neither finished nor failed."""
        record = self.workers.get(worker)
        if record is not None and record.probing == task_id:
            record.probing = ""


def _trim(entries: dict) -> None:
    while len(entries) > MAX_ENTRIES:
        del entries[next(iter(entries))]
