"""Tests that the audit detects each kind of violation in constructed trails."""

import pytest

from turmerichall.tests import audit
from turmerichall.tests.standins import audit_trail

Records = list[audit_trail.Record]


def record(
    at: float, source: str, event: str, **fields: object
) -> audit_trail.Record:
    """Build a trail record."""
    return audit_trail.Record(at, 0.0, source, event, fields)


def worker(name: str, *records: audit_trail.Record) -> Records:
    """Build the trail of a worker with 8 processors."""
    start = record(0.0, name, "worker_start", capacity=(8.0, 100, 0))
    return [start, *records]


def task_started(
    at: float,
    name: str,
    task: str,
    attempt: int = 1,
    processors: float = 1.0,
    progress: float = 0.0,
) -> audit_trail.Record:
    """Build the record of a task start."""
    return record(
        at,
        name,
        "task_start",
        task=task,
        attempt=attempt,
        size=(processors, 1, 0),
        progress=progress,
    )


def task_stepped(
    at: float, name: str, task: str, attempt: int = 1
) -> audit_trail.Record:
    """Build the record of a step of a task's work."""
    return record(at, name, "task_step", task=task, attempt=attempt)


def task_ended(
    at: float,
    name: str,
    task: str,
    attempt: int = 1,
    state: str = "checkpointed",
    idle: float = 0.0,
    detail: str = "evicted",
) -> audit_trail.Record:
    """Build the record of a task end."""
    return record(
        at,
        name,
        "task_end",
        task=task,
        attempt=attempt,
        state=state,
        progress=0.5,
        idle_seconds=idle,
        detail=detail,
    )


def request_started(at: float, name: str, request: str) -> audit_trail.Record:
    """Build the record of a request start."""
    return record(at, name, "request_start", request=request)


def sent_and_answered(
    at: float,
    request: str,
    outcome: str,
    non_idempotent: bool = False,
    right: bool = True,
) -> Records:
    """Build the records of a send and its answer."""
    common = {"request": request, "idempotent": not non_idempotent}
    answer = {"outcome": outcome, "right": right, "detail": ""}
    return [
        record(at, "c", "sent", **common),
        record(at + 0.5, "c", "answered", **common, **answer),
    ]


VALID_WORKERS = [
    worker(
        "w1",
        task_started(1.0, "w1", "j/0"),
        task_ended(2.0, "w1", "j/0"),
        request_started(3.1, "w1", "c-0"),
    ),
    worker(
        "w2",
        task_started(2.0, "w2", "j/0", attempt=2, progress=0.5),
        task_ended(9.0, "w2", "j/0", attempt=2, state="finished"),
    ),
]
VALID_CALLS = [
    sent_and_answered(3.0, "c-0", "ran", non_idempotent=True)
    + sent_and_answered(4.0, "c-1", "not-run")
]

VIOLATIONS = {
    "overlapping runs of a task": (
        [
            worker(
                "w3",
                task_started(1.5, "w3", "j/0", 7),
                task_stepped(8.0, "w3", "j/0", 7),
            )
        ],
        [],
        "task j/0 ran as attempt",
    ),
    "run of a killed worker lasts until its last step": (
        [
            worker(
                "w3",
                task_started(1.0, "w3", "k/0"),
                task_stepped(3.0, "w3", "k/0"),
            ),
            worker("w4", task_started(2.9, "w4", "k/0", attempt=2)),
        ],
        [],
        "task k/0 ran as attempt 1 on w3",
    ),
    "attempt that ran twice": (
        [worker("w3", task_started(9.5, "w3", "j/0", 2))],
        [],
        "attempt 2 of j/0 ran twice",
    ),
    "eviction whose checkpoint was lost": (
        [
            worker(
                "w3",
                task_started(1.0, "w3", "k/0"),
                task_ended(2.0, "w3", "k/0"),
            ),
            worker("w4", task_started(3.0, "w4", "k/0", 2, progress=0.4)),
        ],
        [],
        "task k/0 was evicted from w3 at 0.5000 and resumed at 0.4000",
    ),
    "run of a finished task": (
        [worker("w3", task_started(9.5, "w3", "j/0", 3))],
        [],
        "task j/0 ran again after it had finished",
    ),
    "start refused for lack of capacity": (
        [worker("w3", record(1.0, "w3", "over_capacity", task="x/0"))],
        [],
        "w3 refused x/0 for lack of capacity",
    ),
    "allocations over the capacity": (
        [
            worker(
                "w3",
                task_started(1.0, "w3", "a/0", processors=5.0),
                task_stepped(3.0, "w3", "a/0"),
                task_started(2.0, "w3", "b/0", processors=4.0),
            )
        ],
        [],
        "w3 had [9.0, 2, 0] allocated of (8.0, 100, 0)",
    ),
    "usage over the capacity for too long": (
        [
            worker(
                "w3",
                record(1.0, "w3", "use_over"),
                record(95.0, "w3", "use_within"),
            )
        ],
        [],
        "w3 exceeded its capacity for too long",
    ),
    "non-idempotent request that ran twice": (
        [worker("w3", request_started(3.2, "w3", "c-0"))],
        [],
        "request c-0 is not idempotent and ran 2 times",
    ),
    "request answered not-run that ran": (
        [worker("w3", request_started(4.1, "w3", "c-1"))],
        [],
        "request c-1 was answered not-run but ran",
    ),
    "answer to another request": (
        [],
        [sent_and_answered(5.0, "c-5", "ran", right=False)],
        "request c-5 got the wrong answer",
    ),
}


class TestAudit:
    """The audit of workers' and callers' trails."""

    def test_valid_trails_pass(self) -> None:
        assert not audit.audit(VALID_WORKERS, VALID_CALLS)

    @pytest.mark.parametrize("case", VIOLATIONS)
    def test_reports_violation(self, case: str) -> None:
        workers, calls, expected = VIOLATIONS[case]
        violations = audit.audit(VALID_WORKERS + workers, VALID_CALLS + calls)
        assert any(
            expected in violation for violation in violations
        ), violations

    def test_idle_time_of_a_frozen_worker_is_no_overlap(self) -> None:
        frozen = worker(
            "w3",
            task_started(1.0, "w3", "k/0"),
            task_ended(60.0, "w3", "k/0", idle=44.0, detail="lease ended"),
        )
        moved = worker("w4", task_started(17.0, "w4", "k/0", attempt=2))
        assert not audit.audit([frozen, moved], [])

    def test_resend_after_not_run_may_run(self) -> None:
        calls = sent_and_answered(3.0, "c-0", "not-run") + sent_and_answered(
            5.0, "c-0", "ran"
        )
        assert not audit.audit(
            [worker("w1", request_started(5.1, "w1", "c-0"))], [calls]
        )
        violations = audit.audit(
            [worker("w1", request_started(4.1, "w1", "c-0"))], [calls]
        )
        assert violations == ["request c-0 was answered not-run but ran"]


class TestChanges:
    """The audit of accepted jobs and changes."""

    def test_lost_job(self) -> None:
        assert not audit.lost_jobs(["a"], {"a": "finished", "b": "waiting"})
        violations = audit.lost_jobs(["a", "b"], {"a": "waiting"})
        assert violations == [
            "accepted job a is waiting",
            "accepted job b is unknown",
        ]

    def test_reverted_version(self) -> None:
        forward = [("a", "t", 1), ("b", "t", 2), ("a", "t", 2)]
        assert not audit.version_regressions(forward)
        violations = audit.version_regressions([*forward, ("b", "t", 1)])
        assert violations == ["b went from version 2 of t to 1"]
