"""Tests of estimated finish times."""

from typing import Any

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import planner
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes

ROOM = resources.Resources(8, 8000, 0)
SIZE = resources.Resources(4, 100)


def _task(name: str, **more: Any) -> views.TaskView:
    urgency = customers.Urgency.NORMAL
    made = views.TaskView(name, "t", "c", "team", urgency, False, SIZE, 100.0)
    return made._replace(**more)


@pytest.fixture(name="made")
def _full() -> planner.Planner:
    """A planner with a worker on which job `j` runs two tasks since 0.0."""
    made = planner.Planner(weights.BALANCED)
    made.put_worker(views.WorkerView("w0", "r0", "z1", ROOM))
    made.put_running(_task("j/0"), "w0", 0.0)
    made.put_running(_task("j/1"), "w0", 0.0)
    return made


def _finish(made: planner.Planner, ratio: float) -> None:
    """Has a run of the same template end after a share of its run time."""
    made.put_running(_task("past/0"), "w0", 0.0)
    made.record_end("past/0", "w0", changes.Ending.FINISHED, 100.0 * ratio)


class TestRunning:

    def test_measured_slowdown_counts_before_a_run_ended(
        self, made: planner.Planner
    ) -> None:
        report = views.UsageReport("w0", "j/1", 0, SIZE, 1.5, 5.0)
        made.put_usage(report)
        assert made.estimate_finish("j", 10.0).at == pytest.approx(150.0)

    def test_last_of_several_is_late(self, made: planner.Planner) -> None:
        for ratio in (1.0, 1.5, 1.0):
            _finish(made, ratio)
        learnt = made.fleet.learnt.stats_of("t")
        one = 100.0 * learnt.run_ratio
        several = made.estimate_finish("j", 10.0)
        assert several.at == pytest.approx(one * (1 + learnt.run_error))
        assert several.margin_seconds == pytest.approx(one * learnt.run_error)
        made.record_end("j/1", "w0", changes.Ending.FINISHED, 100.0)
        assert made.estimate_finish("j", 10.0).at < several.at

    def test_overdue_task_still_takes_a_while(
        self, made: planner.Planner
    ) -> None:
        assert made.estimate_finish("j", 300.0).at == pytest.approx(310.0)


class TestWaiting:

    @pytest.mark.parametrize(
        "urgency, seconds",
        [
            # What runs, two tasks of its own and two others, at 8 processors.
            (customers.Urgency.NORMAL, 350.0),
            (customers.Urgency.URGENT, 150.0),
        ],
    )
    def test_all_that_goes_before_counts(
        self, made: planner.Planner, urgency: customers.Urgency, seconds: float
    ) -> None:
        for number in range(2):
            made.put_waiting(_task(f"own/{number}", urgency=urgency))
            made.put_waiting(_task(f"late/{number}", deadline_wall_seconds=9e9))
        found = made.estimate_finish("own", 0.0)
        assert found.waiting is not None and found.running is None
        assert found.waiting.at == found.at == pytest.approx(seconds)

    def test_takes_a_whole_run_at_least(self, made: planner.Planner) -> None:
        urgent = customers.Urgency.URGENT
        small = resources.Resources(1, 100)
        made.put_waiting(_task("own/0", urgency=urgent, size=small))
        assert made.estimate_finish("own", 0.0).at == pytest.approx(100.0)
