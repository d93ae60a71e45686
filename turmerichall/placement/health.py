"""Workers that fail what they start, told apart from jobs that fail anywhere.

A failure counts against the worker less, the more often the same job failed
on other workers, and against the job less, the worse the worker is.
"""

import math

from turmerichall.placement import views

__all__ = ["Health", "Record"]

SUSPECT_FAILURES = 3.0
PROBE_AFTER_SECONDS = 60.0
MAX_PROBE_AFTER_SECONDS = 1800.0
MAX_PROBE_DOUBLINGS = 5
FLAPS_COUNTED_SECONDS = 600.0
MAX_FLAPS = 3
STABLE_AFTER_SECONDS = 120.0
MAX_JOBS = 4096


class Record:
    """What is known of one worker.

    Attributes:
        failure_score: Failures that count against the worker since its last success.
        quarantined_until: When a task may be tried again; -inf if healthy.
        probing: Task that is being tried, or empty.
        failed_probes: Failed tries in a row.
        returns: Times at which it came back after an absence.
        quarantined_at: When the quarantine began; -inf if healthy.
        failures: Failed attempts since its last success.
        failed_task: Task of the last of them, or empty.
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
        """Tells whether it gets no work but a task that is tried."""
        return self.quarantined_until > -math.inf


class Health:
    """Judges workers and jobs by how attempts end.

    Attributes:
        workers: Records by worker name.
        failed_on: Workers on which tasks of a job failed, by job.
        succeeded: Jobs of which a task finished.
        avoided: Workers that a task failed on, by task.
    """

    def __init__(self) -> None:
        self.workers: dict[str, Record] = {}
        self.failed_on: dict[str, dict[str, None]] = {}
        self.succeeded: dict[str, None] = {}
        self.avoided: dict[str, dict[str, None]] = {}

    def record_of(self, worker: str) -> Record:
        """Returns the record of a worker."""
        found = self.workers.get(worker)
        if found is None:
            found = self.workers[worker] = Record()
        return found

    def record_success(self, worker: str, task_id: str) -> bool:
        """Notes a finished attempt; returns whether a quarantine ended."""
        record = self.record_of(worker)
        was_quarantined = record.is_quarantined()
        record.failure_score = 0.0
        record.failures = 0
        record.failed_probes = 0
        record.probing = ""
        record.quarantined_until = -math.inf
        record.quarantined_at = -math.inf
        self.succeeded[views.job_of(task_id)] = None
        self.avoided.pop(task_id, None)
        _trim(self.succeeded)
        return was_quarantined

    def record_failure(self, worker: str, task_id: str, at: float) -> bool:
        """Notes a failed attempt; returns whether a quarantine began."""
        job = views.job_of(task_id)
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
            or record.failure_score >= SUSPECT_FAILURES
        ):
            return self._quarantine(record, at)
        return False

    def _quarantine(self, record: Record, at: float) -> bool:
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
        """Notes that an absent worker came back."""
        record = self.record_of(worker)
        record.returns = [
            then for then in record.returns if then > at - FLAPS_COUNTED_SECONDS
        ]
        record.returns.append(at)

    def is_flapping(self, worker: str, now: float) -> bool:
        """Tells whether a worker came and went too often to be relied on."""
        record = self.workers.get(worker)
        if record is None or len(record.returns) < MAX_FLAPS:
            return False
        return now < record.returns[-1] + STABLE_AFTER_SECONDS

    def accepts(self, worker: str, task: views.TaskView, now: float) -> bool:
        """Tells whether a worker may be given a task.

        A quarantined worker is given one deferrable or normal batch task at a
        time once its wait is over; a flapping one no service.
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
        """Tells whether a task failed on a worker before."""
        return worker in self.avoided.get(task_id, {})

    def record_placement(self, worker: str, task_id: str) -> None:
        """Notes that a task was placed; it is a probe in a quarantine."""
        record = self.workers.get(worker)
        if record is not None and record.is_quarantined():
            record.probing = task_id

    def record_inconclusive_end(self, worker: str, task_id: str) -> None:
        """Notes that an attempt ended without telling about the worker."""
        record = self.workers.get(worker)
        if record is not None and record.probing == task_id:
            record.probing = ""


def _trim(entries: dict) -> None:
    while len(entries) > MAX_JOBS:
        del entries[next(iter(entries))]
