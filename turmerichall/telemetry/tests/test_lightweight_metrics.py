"""Tests of the metrics of processes that serve queues."""

import pathlib
import re

from turmerichall.telemetry import lightweight_metrics

PACKAGE = pathlib.Path(__file__).parents[2]
PAGE = (PACKAGE.parent / "docs" / "METRICS.md").read_text(encoding="utf-8")
HEADING = "\n### Gauges of a replica\n"


def _gauges_in_source() -> set[str]:
    found = set()
    for path in PACKAGE.rglob("*.py"):
        if "tests" not in path.parts:
            text = path.read_text(encoding="utf-8")
            found |= set(re.findall(r'\badd_gauge\(\s*"(\w+)"', text))
    return found


class TestGauges:

    def test_is_read_at_the_scrape_only(self) -> None:
        metrics = lightweight_metrics.MetricsRegistry()
        reads: list[int] = []

        def read() -> float:
            reads.append(1)
            return 6 + len(reads)

        metrics.add_gauge("replica_term", "Newest term.", read)
        assert not reads
        text = metrics.exposition()
        assert b"# HELP turmerichall_replica_term Newest term.\n" in text
        assert b"# TYPE turmerichall_replica_term gauge\n" in text
        assert b"\nturmerichall_replica_term 7.0\n" in text
        assert b"\nturmerichall_replica_term 8.0\n" in metrics.exposition()

    def test_each_has_one_row(self) -> None:
        section = PAGE.split(HEADING)[1].split("\n## ")[0]
        documented = re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE)
        assert documented
        assert sorted(documented) == sorted(_gauges_in_source())
