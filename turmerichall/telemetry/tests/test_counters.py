"""Tests of the metrics, and that docs/METRICS.md describes all of them."""

import enum
import pathlib
import re

import pytest

from turmerichall import outcomes
from turmerichall.telemetry import counters

PACKAGE = pathlib.Path(__file__).parents[2]
PAGE = (PACKAGE.parent / "docs" / "METRICS.md").read_text(encoding="utf-8")
KINDS: dict[str, type[enum.StrEnum]] = {
    "Refusals": outcomes.RefusalReason,
    "Retries": outcomes.RetryReason,
    "Unknown outcomes": outcomes.UnknownReason,
}


def _documented_names(heading: str) -> list[str]:
    section = PAGE.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    return re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE)


def _names_in_source(method: str) -> set[str]:
    """Return the metric names passed to a method of `Counters` in the code."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        if "tests" in path.parts:
            continue
        text = path.read_text(encoding="utf-8")
        found |= set(re.findall(rf'\b{method}\(\s*"(\w+)"', text))
    return found


class TestReasons:

    @pytest.mark.parametrize("heading", KINDS)
    def test_each_reason_has_one_row(self, heading: str) -> None:
        reasons = [reason.value for reason in KINDS[heading]]
        assert sorted(_documented_names(heading)) == sorted(reasons)

    def test_each_reason_is_exported(self) -> None:
        registry = counters.Counters()
        for refusal in outcomes.RefusalReason:
            registry.refused("p", refusal)
        for retry in outcomes.RetryReason:
            registry.retried("p", retry)
        for unknown in outcomes.UnknownReason:
            registry.unknown("p", unknown)
        text = registry.exposition().decode()
        kinds = ("refusals", "retries", "unknown")
        for kind, reasons in zip(kinds, KINDS.values(), strict=True):
            for reason in reasons:
                labels = f'{{part="p",reason="{reason.value}"}}'
                assert f"turmerichall_{kind}_total{labels} 1.0" in text


class TestOtherMetrics:

    def test_each_event_has_one_row(self) -> None:
        assert sorted(_documented_names("Events")) == sorted(
            _names_in_source("event")
        )

    def test_each_gauge_has_one_row(self) -> None:
        names = _names_in_source("gauge")
        assert sorted(_documented_names("Gauges")) == sorted(
            f"turmerichall_{name}" for name in names
        )

    def test_each_histogram_has_one_row(self) -> None:
        names = _names_in_source("observe_seconds")
        assert sorted(_documented_names("Histograms")) == sorted(
            f"turmerichall_{name}_seconds" for name in names
        )

    def test_daemons_in_one_process_have_separate_metrics(self) -> None:
        first = counters.Counters()
        second = counters.Counters()
        first.event("announcements_taken")
        first.observe_seconds("wait", 0.02)
        assert b"announcements" in first.exposition()
        assert b'wait_seconds_bucket{le="0.025"} 1.0' in first.exposition()
        assert b"announcements" not in second.exposition()
