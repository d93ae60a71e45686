"""Requests during a rolling upgrade of every daemon and every worker."""

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
    """What callers saw in one phase.

    Attributes:
        name: Name of the phase.
        requests: Requests sent.
        p50: Median latency of answers, in milliseconds.
        p99: 99th percentile of it.
        refused: Requests that no send of got an answer and that did not run.
        unknown: Requests whose outcome stayed unknown.
        doubled: Requests that must run once and ran more than once.
    """

    name: str
    requests: int
    p50: float
    p99: float
    refused: int
    unknown: int
    doubled: int


async def run() -> list[Phase]:
    """Upgrades a cluster under load, and returns what callers saw."""
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
    first = _count(harness)
    await harness.wait_served(STEADY_REQUESTS)
    second = _count(harness)
    await scenarios.rolling_upgrade(harness)
    third = _count(harness)
    await harness.wait_served(STEADY_REQUESTS // 4)
    return [
        _phase(harness, "steady", first, second),
        _phase(harness, "rolling upgrade", second, third),
    ]


def _count(harness: harnesses.Harness) -> int:
    return len(harness.read_trail("caller"))


def _phase(
    harness: harnesses.Harness, name: str, begin: int, end: int
) -> Phase:
    """Reads the records of a phase from the trails."""
    records = harness.read_trail("caller")
    asked = {
        record.fields["request"]
        for record in records[begin:end]
        if record.event == "sent"
    }
    histogram = hdrh.histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    sent_at: dict[str, float] = {}
    outcome: dict[str, str] = {}
    for record in records:
        request = record.fields.get("request", "")
        if request not in asked:
            continue
        if record.event == "sent":
            sent_at.setdefault(request, record.monotonic)
        elif outcome.get(request) != caller.RAN:
            outcome[request] = record.fields["outcome"]
            if outcome[request] == caller.RAN:
                seconds = record.monotonic - sent_at[request]
                histogram.record_value(max(1, int(seconds * 1e6)))
    found = list(outcome.values())
    return Phase(
        name,
        len(asked),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        found.count(caller.NOT_RUN),
        found.count(caller.UNKNOWN),
        len(_doubled(harness, asked)),
    )


def _doubled(harness: harnesses.Harness, asked: set[str]) -> list[str]:
    ran: list[audit_trail.Record] = []
    for name in harness.worker_names():
        ran += harness.read_trail(name)
    found = audit.repeated_non_idempotent_requests(
        ran, harness.read_trail("caller")
    )
    return [line for line in found if any(each in line for each in asked)]
