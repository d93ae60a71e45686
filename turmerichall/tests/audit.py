"""Checks of the audit trails of stand-in workers and callers.

Each check returns one message per violation; an empty list is a pass.  All
times are in seconds of the machine's monotonic clock, which all processes of
the machine share.
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
    "lost_jobs",
    "extract_runs",
    "version_regressions",
]

# Progress is reported with four decimal places.
PROGRESS_TOLERANCE = 1e-4
# Longer than it takes to throttle tasks and then to evict those for which
# throttling was not enough.
MAX_OVERUSE_SECONDS = 90.0


class Run(NamedTuple):
    """One execution of a task attempt on a worker.

    Attributes:
        task: Task id.
        attempt: Number of the attempt.
        worker: Name of the worker.
        start: Start time.
        end: Latest time at which it may have done work.
        state: Final state, or `killed` if the trail worker_records no end.
        size: Allocated processors, memory in MB and accelerators.
        progress: Completed fraction at the start and at the end.
        detail: Reason for its end.
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
    """Run all checks.

    Args:
        workers: The trail of each worker, over all of its incarnations.
        callers: The trail of each caller.

    Returns:
        One message per violation.
    """
    trails = list(workers)
    runs = [run for records in trails for run in extract_runs(records)]
    worker_records = [record for records in trails for record in records]
    caller_records = [record for records in callers for record in records]
    return [
        *overlapping_runs(runs),
        *repeated_runs(runs),
        *lost_checkpoints(runs),
        *over_capacity_placements(trails, worker_records),
        *over_capacity_usage(trails),
        *repeated_non_idempotent_requests(worker_records, caller_records),
        *executed_despite_not_run(worker_records, caller_records),
        *mismatched_answers(caller_records),
    ]


def extract_runs(records: list[audit_trail.Record]) -> list[Run]:
    """Return the runs recorded in a worker's trail, sorted by start time."""
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


def overlapping_runs(runs: list[Run]) -> list[str]:
    """Find runs of the same task that overlap in time."""
    violations = []
    latest: dict[str, Run] = {}
    for run in sorted(runs, key=lambda run: run.start):
        previous = latest.get(run.task)
        if previous is not None and run.start < previous.end:
            violations.append(
                f"task {run.task} ran as attempt {previous.attempt} on"
                f" {previous.worker} until {previous.end:.3f} and as attempt"
                f" {run.attempt} on {run.worker} from {run.start:.3f}"
            )
        if previous is None or run.end > previous.end:
            latest[run.task] = run
    return violations


def repeated_runs(runs: list[Run]) -> list[str]:
    """Find attempts that ran twice and tasks that ran after they finished."""
    violations = []
    seen: set[tuple[str, int]] = set()
    finished: dict[str, Run] = {}
    for run in runs:
        if (run.task, run.attempt) in seen:
            violations.append(f"attempt {run.attempt} of {run.task} ran twice")
        seen.add((run.task, run.attempt))
    for run in sorted(runs, key=lambda run: run.end):
        if run.task in finished:
            violations.append(
                f"task {run.task} ran again after it had finished"
            )
        if run.state == "finished":
            finished[run.task] = run
    return violations


def lost_checkpoints(runs: list[Run]) -> list[str]:
    """Find evicted tasks that resumed from less than their checkpoint.

    The end of a lease is not an eviction: the scheduler may have declared the
    attempt lost before its checkpoint was reported.
    """
    violations = []
    latest: dict[str, Run] = {}
    for run in sorted(runs, key=lambda run: run.start):
        previous = latest.get(run.task)
        latest[run.task] = run
        if previous is None or previous.state != "checkpointed":
            continue
        checkpoint = previous.progress[1]
        if previous.detail == task_runner.LEASE_ENDED:
            continue
        if run.progress[0] < checkpoint - PROGRESS_TOLERANCE:
            violations.append(
                f"task {run.task} was evicted from {previous.worker} at"
                f" {checkpoint:.4f} and resumed at {run.progress[0]:.4f}"
            )
    return violations


def over_capacity_placements(
    trails: list[list[audit_trail.Record]], records: list[audit_trail.Record]
) -> list[str]:
    """Find starts that exceeded a worker's capacity, refused by it or not."""
    violations = [
        f"{record.source} refused {record.fields['task']} for lack of capacity"
        for record in records
        if record.event == "over_capacity"
    ]
    for worker_trail in trails:
        capacity = _capacity(worker_trail)
        runs = extract_runs(worker_trail)
        for run in runs:
            at_start = [
                other.size
                for other in runs
                if other.start <= run.start < other.end or other == run
            ]
            total = [sum(amounts) for amounts in zip(*at_start, strict=True)]
            if any(a > c + 1e-6 for a, c in zip(total, capacity, strict=True)):
                violations.append(
                    f"{run.worker} had {total} allocated of {capacity}"
                )
    return violations


def over_capacity_usage(trails: list[list[audit_trail.Record]]) -> list[str]:
    """Find workers whose usage exceeded their capacity for too long."""
    violations = []
    for worker_trail in trails:
        since = None
        for record in worker_trail:
            if (
                since is not None
                and record.monotonic > since + MAX_OVERUSE_SECONDS
            ):
                violations.append(
                    f"{record.source} exceeded its capacity for too long"
                )
                since = None
            if record.event == "use_over":
                since = record.monotonic
            elif record.event in ("use_within", "worker_start"):
                since = None
    return violations


def _capacity(records: list[audit_trail.Record]) -> tuple[float, ...]:
    for record in records:
        if record.event == "worker_start":
            return tuple(record.fields["capacity"])
    return (0.0, 0.0, 0.0)


def _request_starts(
    records: list[audit_trail.Record],
) -> dict[str, list[float]]:
    starts: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.event == "request_start":
            starts[record.fields["request"]].append(record.monotonic)
    return starts


def _sends_by_request(
    caller_records: list[audit_trail.Record],
) -> dict[str, list[dict[str, Any]]]:
    """Return the sends of each request with their outcomes, oldest first."""
    sends: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in caller_records:
        request = record.fields["request"]
        if record.event == "sent":
            sends[request].append(
                {**record.fields, "at": record.monotonic, "outcome": "open"}
            )
        else:
            sends[request][-1]["outcome"] = record.fields["outcome"]
    return sends


def repeated_non_idempotent_requests(
    worker_records: list[audit_trail.Record],
    caller_records: list[audit_trail.Record],
) -> list[str]:
    """Find non-idempotent requests that ran more than once."""
    non_idempotent = {
        record.fields["request"]
        for record in caller_records
        if record.event == "sent" and not record.fields["idempotent"]
    }
    return [
        f"request {request} is not idempotent and ran {len(starts)} times"
        for request, starts in _request_starts(worker_records).items()
        if request in non_idempotent and len(starts) > 1
    ]


def executed_despite_not_run(
    worker_records: list[audit_trail.Record],
    caller_records: list[audit_trail.Record],
) -> list[str]:
    """Find runs of requests whose earlier sends were all answered `not-run`."""
    violations = []
    sends = _sends_by_request(caller_records)
    for request, starts in _request_starts(worker_records).items():
        for start in starts:
            earlier = [s for s in sends.get(request, []) if s["at"] <= start]
            if earlier and all(s["outcome"] == caller.NOT_RUN for s in earlier):
                violations.append(
                    f"request {request} was answered not-run but ran"
                )
    return violations


def mismatched_answers(caller_records: list[audit_trail.Record]) -> list[str]:
    """Find answers that belong to another request or are incomplete."""
    return [
        f"request {record.fields['request']} got the wrong answer"
        f" {record.fields['detail']!r}"
        for record in caller_records
        if record.event == "answered" and not record.fields["right"]
    ]


def lost_jobs(accepted: Iterable[str], states: dict[str, str]) -> list[str]:
    """Find accepted jobs that have not finished.

    Args:
        accepted: Ids of jobs whose acceptance was acknowledged.
        states: State by job id, as an entry instance reports it at the end.
    """
    return [
        f"accepted job {job_id} is {states.get(job_id, 'unknown')}"
        for job_id in accepted
        if states.get(job_id) != "finished"
    ]


def version_regressions(observed: Iterable[tuple[str, str, int]]) -> list[str]:
    """Find instances that reported a lower version after a higher one.

    Args:
        observed: Instance, configuration entry and version, oldest first.
    """
    violations = []
    highest: dict[tuple[str, str], int] = {}
    for instance, entry, version in observed:
        previous = highest.get((instance, entry), 0)
        if version < previous:
            violations.append(
                f"{instance} went from version {previous} of {entry}"
                f" to {version}"
            )
        highest[(instance, entry)] = max(previous, version)
    return violations
