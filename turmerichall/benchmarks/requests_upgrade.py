"""Benchmark of requests during a rolling upgrade of daemons and workers."""

import pathlib
import tempfile
from typing import NamedTuple

import hdrh.histogram
import trio

from turmerichall.tests import audit
from turmerichall.tests import harness as harnesses
from turmerichall.tests import scenarios
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import caller

__all__ = ["Phase", "run"]

REQUESTS_PER_SECOND = 30.0
STEADY_REQUESTS = 600
HIGHEST_MICROSECONDS = 60_000_000


class Phase(NamedTuple):
    """Results of the requests first sent in one phase of the benchmark.

    Attributes:
        name: Name of the phase.
        requests: Number of requests.
        p50: Median latency of successful requests, in milliseconds.
        p99: 99th percentile of the same latency, in milliseconds.
        refused: Requests that ran in none of their attempts.
        unknown: Requests of which it stayed unknown whether they ran.
        doubled: Requests that may run at most once but ran more than once.
    """

    name: str
    requests: int
    p50: float
    p99: float
    refused: int
    unknown: int
    doubled: int


async def run() -> list[Phase]:
    """Upgrade a cluster under load and return the results of each phase.

    The phases are before and during the upgrade.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            harness = harnesses.Harness(pathlib.Path(folder), nursery)
            try:
                return await _measure(harness)
            finally:
                harness.kill_all()
                nursery.cancel_scope.cancel()
    raise AssertionError("unreachable")


async def _measure(harness: harnesses.Harness) -> list[Phase]:
    load = harness.caller.load
    harness.caller.load = load._replace(requests_per_second=REQUESTS_PER_SECOND)
    await harness.start()
    await harness.wait_served(STEADY_REQUESTS // 4)
    start = _records_so_far(harness)
    await harness.wait_served(STEADY_REQUESTS)
    upgrade_start = _records_so_far(harness)
    await scenarios.rolling_upgrade(harness)
    upgrade_end = _records_so_far(harness)
    await harness.wait_served(STEADY_REQUESTS // 4)
    return [
        _phase(harness, "steady", start, upgrade_start),
        _phase(harness, "rolling upgrade", upgrade_start, upgrade_end),
    ]


def _records_so_far(harness: harnesses.Harness) -> int:
    return len(harness.read_trail("caller"))


def _phase(
    harness: harnesses.Harness, name: str, begin: int, end: int
) -> Phase:
    """Return the results of the requests first sent in a phase.

    The phase is the range from `begin` to `end` of the caller's records.
    """
    records = harness.read_trail("caller")
    request_ids = {
        record.fields["request"]
        for record in records[begin:end]
        if record.event == "sent"
    }
    histogram = hdrh.histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    sent_at: dict[str, float] = {}
    outcome_of: dict[str, str] = {}
    for record in records:
        request = record.fields.get("request", "")
        if request not in request_ids:
            continue
        if record.event == "sent":
            sent_at.setdefault(request, record.monotonic)
        elif outcome_of.get(request) != caller.RAN:
            outcome_of[request] = record.fields["outcome"]
            if outcome_of[request] == caller.RAN:
                seconds = record.monotonic - sent_at[request]
                histogram.record_value(max(1, int(seconds * 1e6)))
    outcomes = list(outcome_of.values())
    return Phase(
        name,
        len(request_ids),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        outcomes.count(caller.NOT_RUN),
        outcomes.count(caller.UNKNOWN),
        len(_duplicate_runs(harness, request_ids)),
    )


def _duplicate_runs(
    harness: harnesses.Harness, request_ids: set[str]
) -> list[str]:
    worker_records: list[audit_trail.Record] = []
    for name in harness.worker_names():
        worker_records += harness.read_trail(name)
    findings = audit.repeated_non_idempotent_requests(
        worker_records, harness.read_trail("caller")
    )
    return [
        line
        for line in findings
        if any(request_id in line for request_id in request_ids)
    ]
