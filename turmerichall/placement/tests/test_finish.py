"""Tests of estimated finish times."""

from typing import Any

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes

ROOM = resources.Resources(8, 8000, 0)
SIZE = resources.Resources(4, 100)


def _task(name: str, **more: Any) -> views.TaskView:
    urgency = customers.Urgency.NORMAL
    task = views.TaskView(name, "t", "c", "team", urgency, False, SIZE, 100.0)
    return task._replace(**more)


@pytest.fixture(name="planner")
def _full() -> planners.Planner:
    """Return a planner with two tasks of job `j`, running since 0.0."""
    planner = planners.Planner(weights.BALANCED)
    planner.put_worker(views.WorkerView("w0", "r0", "z1", ROOM))
    planner.put_running(_task("j/0"), "w0", 0.0)
    planner.put_running(_task("j/1"), "w0", 0.0)
    return planner


def _finish(planner: planners.Planner, ratio: float) -> None:
    """Finish a task of the same template after a ratio of its run time."""
    planner.put_running(_task("past/0"), "w0", 0.0)
    planner.record_end("past/0", "w0", changes.Ending.FINISHED, 100.0 * ratio)


class TestRunning:
    """The end of running tasks follows from slowdowns and past run times."""

    def test_measured_slowdown_is_used_before_any_run_has_ended(
        self, planner: planners.Planner
    ) -> None:
        report = views.UsageReport("w0", "j/1", 0, SIZE, 1.5, 5.0)
        planner.put_usage(report)
        assert planner.estimate_finish("j", 10.0).at == pytest.approx(150.0)

    def test_last_of_several_tasks_exceeds_the_run_time(
        self, planner: planners.Planner
    ) -> None:
        for ratio in (1.0, 1.5, 1.0):
            _finish(planner, ratio)
        learnt = planner.fleet.learnt.stats_of("t")
        one = 100.0 * learnt.run_ratio
        several = planner.estimate_finish("j", 10.0)
        assert several.at == pytest.approx(one * (1 + learnt.run_error))
        assert several.margin_seconds == pytest.approx(one * learnt.run_error)
        planner.record_end("j/1", "w0", changes.Ending.FINISHED, 100.0)
        assert planner.estimate_finish("j", 10.0).at < several.at

    def test_overdue_task_takes_a_share_of_its_run_time_more(
        self, planner: planners.Planner
    ) -> None:
        assert planner.estimate_finish("j", 300.0).at == pytest.approx(310.0)


class TestWaiting:
    """Waiting tasks finish after the work that is done before them."""

    @pytest.mark.parametrize(
        "urgency, seconds",
        [
            # 2 running tasks, 2 tasks of the job and 2 others, on 8 processors.
            (customers.Urgency.NORMAL, 350.0),
            (customers.Urgency.URGENT, 150.0),
        ],
    )
    def test_work_that_runs_before_the_job_counts(
        self,
        planner: planners.Planner,
        urgency: customers.Urgency,
        seconds: float,
    ) -> None:
        for number in range(2):
            planner.put_waiting(_task(f"own/{number}", urgency=urgency))
            planner.put_waiting(
                _task(f"late/{number}", deadline_wall_seconds=9e9)
            )
        found = planner.estimate_finish("own", 0.0)
        assert found.waiting is not None and found.running is None
        assert found.waiting.at == found.at == pytest.approx(seconds)

    def test_takes_at_least_one_run_time(
        self, planner: planners.Planner
    ) -> None:
        urgent = customers.Urgency.URGENT
        small = resources.Resources(1, 100)
        planner.put_waiting(_task("own/0", urgency=urgent, size=small))
        assert planner.estimate_finish("own", 0.0).at == pytest.approx(100.0)
