"""Tests of the benchmark of placing decisions."""

from turmerichall.benchmarks import dispatch
from turmerichall.benchmarks import leader_load


class TestFleet:

    def test_long_running_tasks_ask_for_all_processors(self) -> None:
        for worker in dispatch.make_fleet(3):
            assert worker.cpu_reserved == worker.record.cpu

    def test_each_decision_is_measured(self) -> None:
        row = dispatch.measure(5)
        assert sorted(row) == ["candidates", "preemption", "scan"]
        assert all(milliseconds > 0 for milliseconds in row.values())


class TestLeaderLoad:

    def test_each_part_of_a_leader_is_measured(self) -> None:
        """Guards against a part whose function was renamed or is not called."""
        row = leader_load.measure_parts(10, repeats=1)
        assert sorted(row) == sorted(leader_load.PARTS)
        assert all(milliseconds > 0 for milliseconds in row.values())
