"""Tests of the benchmark of placing decisions."""

from turmerichall.benchmarks import dispatch


class TestFleet:

    def test_long_running_tasks_ask_for_all_processors(self) -> None:
        for worker in dispatch.make_fleet(3):
            assert worker.cpu_reserved == worker.record.cpu

    def test_each_decision_is_measured(self) -> None:
        row = dispatch.measure(5)
        assert sorted(row) == ["candidates", "preemption", "scan"]
        assert all(milliseconds > 0 for milliseconds in row.values())
