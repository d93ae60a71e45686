"""Audits the trails of stand-in workers and callers.

Each check returns what it found wrong, as sentences; an empty list is a pass.
All times are of the machine's monotonic clock, which the processes share.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import caller
from turmerichall.tests.standins import task_runner

__all__ = [
    "Run",
    "audit",
    "jobs_lost",
    "runs_of",
    "versions_reverted",
]

# Checkpoints are reported with four digits.
PROGRESS_DIGIT = 1e-4
# Longer than throttling, and evicting what throttling did not help, takes.
OVER_USE_SECONDS = 90.0


class Run(NamedTuple):
    """One run of one attempt on one worker.

    Attributes:
        task: The task.
        attempt: The attempt.
        worker: Name of the worker.
        start: When it started.
        end: When it last may have done work.
        state: How it ended, or `killed`.
        size: Processors, memory and accelerators that it held.
        progress: Progress at its start and at its end.
        detail: Why it ended.
    """

    task: str
    attempt: int
    worker: str
    start: float
    end: float
    state: str
    size: tuple[float, ...]
    progress: tuple[float, float]
    detail: str = ""


def audit(
    workers: Iterable[list[audit_trail.Record]],
    callers: Iterable[list[audit_trail.Record]],
) -> list[str]:
    """Runs all checks on trails.

    Args:
        workers: The trail of each worker, over all of its incarnations.
        callers: The trail of each caller.

    Returns:
        A sentence for each violation.
    """
    trails = list(workers)
    runs = [run for records in trails for run in runs_of(records)]
    records = [record for held in trails for record in held]
    sent = [record for held in callers for record in held]
    return [
        *tasks_in_two_places(runs),
        *attempts_run_twice(runs),
        *checkpoints_lost(runs),
        *placed_over_capacity(trails, records),
        *used_over_capacity(trails),
        *repeated_non_idempotent_requests(records, sent),
        *not_run_that_ran(records, sent),
        *wrong_answers(sent),
    ]


def runs_of(records: list[audit_trail.Record]) -> list[Run]:
    """Returns the runs that a worker's trail tells of, in order of start."""
    runs: list[Run] = []
    open_runs: dict[tuple[str, int], Run] = {}
    for record in records:
        fields = record.fields
        if record.event == "worker_start":
            runs += open_runs.values()
            open_runs = {}
        if not record.event.startswith("task_"):
            continue
        key = (fields["task"], fields["attempt"])
        if record.event == "task_start":
            open_runs[key] = Run(
                *key,
                record.source,
                record.monotonic,
                record.monotonic,
                "killed",
                tuple(fields["size"]),
                (fields["progress"], fields["progress"]),
            )
        elif record.event == "task_step":
            open_runs[key] = open_runs[key]._replace(end=record.monotonic)
        else:
            run = open_runs.pop(key)
            runs.append(
                run._replace(
                    end=record.monotonic - fields["idle_seconds"],
                    state=fields["state"],
                    progress=(run.progress[0], fields["progress"]),
                    detail=fields["detail"],
                )
            )
    runs += open_runs.values()
    return sorted(runs, key=lambda run: run.start)


def tasks_in_two_places(runs: list[Run]) -> list[str]:
    """Finds runs of the same task that overlap in time."""
    found = []
    latest: dict[str, Run] = {}
    for run in sorted(runs, key=lambda run: run.start):
        before = latest.get(run.task)
        if before is not None and run.start < before.end:
            found.append(
                f"task {run.task} ran as attempt {before.attempt} on"
                f" {before.worker} until {before.end:.3f} and as attempt"
                f" {run.attempt} on {run.worker} from {run.start:.3f}"
            )
        if before is None or run.end > before.end:
            latest[run.task] = run
    return found


def attempts_run_twice(runs: list[Run]) -> list[str]:
    """Finds attempts with two runs, and tasks run again after their end."""
    found = []
    seen: set[tuple[str, int]] = set()
    finished: dict[str, Run] = {}
    for run in runs:
        if (run.task, run.attempt) in seen:
            found.append(f"attempt {run.attempt} of {run.task} ran twice")
        seen.add((run.task, run.attempt))
    for run in sorted(runs, key=lambda run: run.end):
        if run.task in finished:
            found.append(f"task {run.task} ran again after it had finished")
        if run.state == "finished":
            finished[run.task] = run
    return found


def checkpoints_lost(runs: list[Run]) -> list[str]:
    """Finds tasks that resumed from before the checkpoint of an eviction.

    The end of a lease is no eviction: the task may have been given up before
    its checkpoint was reported.
    """
    found = []
    latest: dict[str, Run] = {}
    for run in sorted(runs, key=lambda run: run.start):
        before = latest.get(run.task)
        latest[run.task] = run
        if before is None or before.state != "checkpointed":
            continue
        kept = before.progress[1]
        if before.detail == task_runner.LEASE_ENDED:
            continue
        if run.progress[0] < kept - PROGRESS_DIGIT:
            found.append(
                f"task {run.task} was evicted from {before.worker} at"
                f" {kept:.4f} and resumed at {run.progress[0]:.4f}"
            )
    return found


def placed_over_capacity(
    trails: list[list[audit_trail.Record]], records: list[audit_trail.Record]
) -> list[str]:
    """Finds starts that a worker refused for, or that went over, capacity."""
    found = [
        f"{record.source} was given {record.fields['task']} over its capacity"
        for record in records
        if record.event == "over_capacity"
    ]
    for held in trails:
        capacity = _capacity(held)
        runs = runs_of(held)
        for run in runs:
            at_start = [
                other.size
                for other in runs
                if other.start <= run.start < other.end or other == run
            ]
            total = [sum(amounts) for amounts in zip(*at_start, strict=True)]
            if any(a > c + 1e-6 for a, c in zip(total, capacity, strict=True)):
                found.append(f"{run.worker} held {total} of {capacity}")
    return found


def used_over_capacity(trails: list[list[audit_trail.Record]]) -> list[str]:
    """Finds workers whose tasks used more than there is for too long."""
    found = []
    for held in trails:
        since = None
        for record in held:
            if (
                since is not None
                and record.monotonic > since + OVER_USE_SECONDS
            ):
                found.append(f"{record.source} was over its capacity for long")
                since = None
            if record.event == "use_over":
                since = record.monotonic
            elif record.event in ("use_within", "worker_start"):
                since = None
    return found


def _capacity(records: list[audit_trail.Record]) -> tuple[float, ...]:
    for record in records:
        if record.event == "worker_start":
            return tuple(record.fields["capacity"])
    return (0.0, 0.0, 0.0)


def _starts(records: list[audit_trail.Record]) -> dict[str, list[float]]:
    starts: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.event == "request_start":
            starts[record.fields["request"]].append(record.monotonic)
    return starts


def _sends(sent: list[audit_trail.Record]) -> dict[str, list[dict[str, Any]]]:
    """Returns the sends of each request with their outcome, in order."""
    sends: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in sent:
        request = record.fields["request"]
        if record.event == "sent":
            sends[request].append(
                {**record.fields, "at": record.monotonic, "outcome": "open"}
            )
        else:
            sends[request][-1]["outcome"] = record.fields["outcome"]
    return sends


def repeated_non_idempotent_requests(
    records: list[audit_trail.Record], sent: list[audit_trail.Record]
) -> list[str]:
    """Finds requests marked as not idempotent that ran more than once."""
    once = {
        record.fields["request"]
        for record in sent
        if record.event == "sent" and not record.fields["idempotent"]
    }
    return [
        f"request {request} is not idempotent and ran {len(starts)} times"
        for request, starts in _starts(records).items()
        if request in once and len(starts) > 1
    ]


def not_run_that_ran(
    records: list[audit_trail.Record], sent: list[audit_trail.Record]
) -> list[str]:
    """Finds runs of a request of which each earlier send was `not run`."""
    found = []
    sends = _sends(sent)
    for request, starts in _starts(records).items():
        for start in starts:
            earlier = [s for s in sends.get(request, []) if s["at"] <= start]
            if earlier and all(s["outcome"] == caller.NOT_RUN for s in earlier):
                found.append(f"request {request} was told not run, and ran")
    return found


def wrong_answers(sent: list[audit_trail.Record]) -> list[str]:
    """Finds answers that belong to another request or are not whole."""
    return [
        f"request {record.fields['request']} got the answer"
        f" {record.fields['detail']!r}"
        for record in sent
        if record.event == "answered" and not record.fields["right"]
    ]


def jobs_lost(accepted: Iterable[str], shown: dict[str, str]) -> list[str]:
    """Finds accepted jobs that are not shown as finished.

    Args:
        accepted: Ids of jobs whose acceptance was answered.
        shown: State by job id, as an entry instance shows it at the end.
    """
    return [
        f"accepted job {job_id} is {shown.get(job_id, 'unknown')}"
        for job_id in accepted
        if shown.get(job_id) != "finished"
    ]


def versions_reverted(observed: Iterable[tuple[str, str, int]]) -> list[str]:
    """Finds an instance that showed a lower version after a higher one.

    Args:
        observed: Instance, entry and version, in order of observation.
    """
    found = []
    highest: dict[tuple[str, str], int] = {}
    for instance, entry, version in observed:
        before = highest.get((instance, entry), 0)
        if version < before:
            found.append(
                f"{instance} showed {entry} at {before}, then at {version}"
            )
        highest[(instance, entry)] = max(before, version)
    return found
