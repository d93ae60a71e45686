"""Tests that the audit finds what it is meant to find in bad trails."""

import pytest

from turmerichall.tests import audit
from turmerichall.tests.standins import audit_trail

Records = list[audit_trail.Record]


def record(
    at: float, source: str, event: str, **fields: object
) -> audit_trail.Record:
    """Makes a record."""
    return audit_trail.Record(at, 0.0, source, event, fields)


def worker(name: str, *records: audit_trail.Record) -> Records:
    """Makes the trail of a worker with 8 processors."""
    start = record(0.0, name, "worker_start", capacity=(8.0, 100, 0))
    return [start, *records]


def started(
    at: float,
    name: str,
    task: str,
    attempt: int = 1,
    processors: float = 1.0,
    progress: float = 0.0,
) -> audit_trail.Record:
    """Makes a record of a start."""
    return record(
        at,
        name,
        "task_start",
        task=task,
        attempt=attempt,
        size=(processors, 1, 0),
        progress=progress,
    )


def stepped(
    at: float, name: str, task: str, attempt: int = 1
) -> audit_trail.Record:
    """Makes a record of a step of work."""
    return record(at, name, "task_step", task=task, attempt=attempt)


def ended(
    at: float,
    name: str,
    task: str,
    attempt: int = 1,
    state: str = "checkpointed",
    idle: float = 0.0,
    detail: str = "evicted",
) -> audit_trail.Record:
    """Makes a record of an end."""
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


def ran(at: float, name: str, request: str) -> audit_trail.Record:
    """Makes a record of a request that started."""
    return record(at, name, "request_start", request=request)


def call(
    at: float,
    request: str,
    outcome: str,
    once: bool = False,
    right: bool = True,
) -> Records:
    """Makes the records of a send and its answer."""
    common = {"request": request, "idempotent": not once}
    answer = {"outcome": outcome, "right": right, "detail": ""}
    return [
        record(at, "c", "sent", **common),
        record(at + 0.5, "c", "answered", **common, **answer),
    ]


CLEAN_WORKERS = [
    worker(
        "w1",
        started(1.0, "w1", "j/0"),
        ended(2.0, "w1", "j/0"),
        ran(3.1, "w1", "c-0"),
    ),
    worker(
        "w2",
        started(2.0, "w2", "j/0", attempt=2, progress=0.5),
        ended(9.0, "w2", "j/0", attempt=2, state="finished"),
    ),
]
CLEAN_CALLS = [call(3.0, "c-0", "ran", once=True) + call(4.0, "c-1", "not-run")]

BAD = {
    "overlap of two runs": (
        [
            worker(
                "w3", started(1.5, "w3", "j/0", 7), stepped(8.0, "w3", "j/0", 7)
            )
        ],
        [],
        "task j/0 ran as attempt",
    ),
    "killed worker's run overlaps until its last step": (
        [
            worker("w3", started(1.0, "w3", "k/0"), stepped(3.0, "w3", "k/0")),
            worker("w4", started(2.9, "w4", "k/0", attempt=2)),
        ],
        [],
        "task k/0 ran as attempt 1 on w3",
    ),
    "same attempt twice": (
        [worker("w3", started(9.5, "w3", "j/0", 2))],
        [],
        "attempt 2 of j/0 ran twice",
    ),
    "eviction whose checkpoint was lost": (
        [
            worker("w3", started(1.0, "w3", "k/0"), ended(2.0, "w3", "k/0")),
            worker("w4", started(3.0, "w4", "k/0", 2, progress=0.4)),
        ],
        [],
        "task k/0 was evicted from w3 at 0.5000 and resumed at 0.4000",
    ),
    "run after its end": (
        [worker("w3", started(9.5, "w3", "j/0", 3))],
        [],
        "task j/0 ran again after it had finished",
    ),
    "worker refused for capacity": (
        [worker("w3", record(1.0, "w3", "over_capacity", task="x/0"))],
        [],
        "w3 was given x/0 over its capacity",
    ),
    "worker took more than it has": (
        [
            worker(
                "w3",
                started(1.0, "w3", "a/0", processors=5.0),
                stepped(3.0, "w3", "a/0"),
                started(2.0, "w3", "b/0", processors=4.0),
            )
        ],
        [],
        "w3 held [9.0, 2, 0] of (8.0, 100, 0)",
    ),
    "tasks used more than there is for long": (
        [
            worker(
                "w3",
                record(1.0, "w3", "use_over"),
                record(95.0, "w3", "use_within"),
            )
        ],
        [],
        "w3 was over its capacity for long",
    ),
    "non-idempotent request twice": (
        [worker("w3", ran(3.2, "w3", "c-0"))],
        [],
        "request c-0 is not idempotent and ran 2 times",
    ),
    "not run, but ran": (
        [worker("w3", ran(4.1, "w3", "c-1"))],
        [],
        "request c-1 was told not run, and ran",
    ),
    "answer at the wrong caller": (
        [],
        [call(5.0, "c-5", "ran", right=False)],
        "request c-5 got the answer",
    ),
}


class TestAudit:
    """What the audit of trails finds."""

    def test_clean_trails_pass(self) -> None:
        assert not audit.audit(CLEAN_WORKERS, CLEAN_CALLS)

    @pytest.mark.parametrize("case", BAD)
    def test_finds(self, case: str) -> None:
        workers, calls, expected = BAD[case]
        found = audit.audit(CLEAN_WORKERS + workers, CLEAN_CALLS + calls)
        assert any(expected in sentence for sentence in found), found

    def test_frozen_worker_did_no_work_after_its_lease(self) -> None:
        frozen = worker(
            "w3",
            started(1.0, "w3", "k/0"),
            ended(60.0, "w3", "k/0", idle=44.0, detail="lease ended"),
        )
        moved = worker("w4", started(17.0, "w4", "k/0", attempt=2))
        assert not audit.audit([frozen, moved], [])

    def test_resend_after_not_run_may_run(self) -> None:
        calls = call(3.0, "c-0", "not-run") + call(5.0, "c-0", "ran")
        assert not audit.audit([worker("w1", ran(5.1, "w1", "c-0"))], [calls])
        found = audit.audit([worker("w1", ran(4.1, "w1", "c-0"))], [calls])
        assert found == ["request c-0 was told not run, and ran"]


class TestChanges:
    """What the audit of accepted changes and jobs finds."""

    def test_lost_job(self) -> None:
        assert not audit.jobs_lost(["a"], {"a": "finished", "b": "waiting"})
        found = audit.jobs_lost(["a", "b"], {"a": "waiting"})
        assert found == [
            "accepted job a is waiting",
            "accepted job b is unknown",
        ]

    def test_reverted_version(self) -> None:
        forward = [("a", "t", 1), ("b", "t", 2), ("a", "t", 2)]
        assert not audit.versions_reverted(forward)
        found = audit.versions_reverted([*forward, ("b", "t", 1)])
        assert found == ["b showed t at 2, then at 1"]
