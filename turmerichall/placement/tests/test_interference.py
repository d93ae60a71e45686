"""Tests of the estimators and of the attribution of late reports."""

import random

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import fleet
from turmerichall.placement import interference
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes


def _beside(neighbour: str, share: float = 0.25) -> interference.Colocation:
    return interference.Colocation("s", 0.5, ((neighbour, share),))


def _learn(
    estimator: interference.Estimator, neighbour: str, excess: float, count: int
) -> None:
    draw = random.Random(5)
    for number in range(count):
        noisy = excess + draw.gauss(0.0, 0.1)
        estimator.learn(_beside(neighbour), noisy, float(number))


class TestPairEstimator:
    """The estimate of a pair departs from its prior as samples support it."""

    def test_learns_different_neighbours(self) -> None:
        estimator = interference.PairEstimator()
        _learn(estimator, "noisy", 0.8, 200)
        _learn(estimator, "quiet", 0.05, 200)
        assert estimator.estimate(_beside("noisy")).excess == pytest.approx(
            0.8, abs=0.1
        )
        assert estimator.estimate(_beside("quiet")).excess == pytest.approx(
            0.05, abs=0.1
        )

    def test_few_samples_leave_a_high_variance(self) -> None:
        estimator = interference.PairEstimator()
        unknown = estimator.estimate(_beside("new"))
        _learn(estimator, "new", 0.0, 100)
        known = estimator.estimate(_beside("new"))
        assert unknown.upper_bound(1.0) > unknown.excess + 0.1
        assert known.variance < unknown.variance / 4
        assert estimator.added_slowdown("s", "other").lower_bound == 0.0

    def test_old_samples_lose_their_weight(self) -> None:
        estimator = interference.PairEstimator()
        _learn(estimator, "noisy", 0.8, 300)
        for number in range(20):
            at = 40_000.0 + number
            estimator.learn(_beside("noisy"), 0.0, at)
        assert estimator.estimate(_beside("noisy")).excess < 0.2


class TestAttribution:
    """A late report concerns the neighbours at the time of measurement."""

    def test_slowdown_is_attributed_to_a_neighbour_that_has_ended(self) -> None:
        planner = planners.Planner(weights.BALANCED)
        room = resources.Resources(8, 8000)
        planner.put_worker(views.WorkerView("w0", "r0", "z1", room))
        for name, template, service in (
            ("svc:c/s/z1/0", "s", True),
            ("j/0", "noisy", False),
        ):
            planner.put_running(_task(name, template, service), "w0", 0.0)
        planner.record_end("j/0", "w0", changes.Ending.FINISHED, 50.0)
        planner.put_running(_task("j/1", "quiet", False), "w0", 50.0)
        usage = resources.Resources(2, 1000)
        for at in range(10, 50):
            late = views.UsageReport(
                "w0", "svc:c/s/z1/0", 0, usage, 3.0, float(at)
            )
            planner.put_usage(late)
        estimator = planner.fleet.estimator
        noisy = estimator.added_slowdown("s", "noisy").mean
        assert noisy > 4 * estimator.added_slowdown("s", "quiet").mean

    def test_report_of_another_attempt_is_ignored(self) -> None:
        workers = fleet.Fleet(interference.PairEstimator(), True)
        room = resources.Resources(8, 8000)
        workers.put_worker(views.WorkerView("w0", "r0", "z1", room), 0.0)
        allocation = workers.allocate(_task("j/0", "t", False), "w0", 2, 0.0)
        workers.record_start(allocation, 0.0)
        usage = resources.Resources(7, 1000)
        workers.put_usage(
            views.UsageReport("w0", "j/0", 1, usage, 2.0, 5.0), 6.0
        )
        assert allocation.measured_at < 0
        assert (
            workers.learnt.size("t", allocation.task.size)
            == allocation.task.size
        )


def _task(name: str, template: str, service: bool) -> views.TaskView:
    size = resources.Resources(2, 1000)
    urgency = customers.Urgency.NORMAL
    return views.TaskView(name, template, "c", "team", urgency, service, size)
