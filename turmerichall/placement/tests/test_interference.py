"""Tests of the estimators and of whom a late report is attributed to."""

import random

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import fleet
from turmerichall.placement import interference
from turmerichall.placement import planner
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes


def _beside(neighbour: str, share: float = 0.25) -> interference.Colocation:
    return interference.Colocation("s", 0.5, ((neighbour, share),))


def _learn(
    made: interference.Estimator, neighbour: str, excess: float, count: int
) -> None:
    draw = random.Random(5)
    for number in range(count):
        noisy = excess + draw.gauss(0.0, 0.1)
        made.learn(_beside(neighbour), noisy, float(number))


class TestPairEstimator:
    """Pairs are told apart once samples support it."""

    def test_learns_a_pair(self) -> None:
        made = interference.PairEstimator()
        _learn(made, "noisy", 0.8, 200)
        _learn(made, "quiet", 0.05, 200)
        assert made.estimate(_beside("noisy")).excess == pytest.approx(
            0.8, abs=0.1
        )
        assert made.estimate(_beside("quiet")).excess == pytest.approx(
            0.05, abs=0.1
        )

    def test_few_samples_leave_a_wide_margin(self) -> None:
        made = interference.PairEstimator()
        unknown = made.estimate(_beside("new"))
        _learn(made, "new", 0.0, 100)
        known = made.estimate(_beside("new"))
        assert unknown.upper_bound(1.0) > unknown.excess + 0.1
        assert known.variance < unknown.variance / 4
        assert made.added_slowdown("s", "other").lower_bound == 0.0

    def test_old_samples_lose_their_weight(self) -> None:
        made = interference.PairEstimator()
        _learn(made, "noisy", 0.8, 300)
        for number in range(20):
            at = 40_000.0 + number
            made.learn(_beside("noisy"), 0.0, at)
        assert made.estimate(_beside("noisy")).excess < 0.2


class TestAttribution:
    """A late report tells about those who were there when it was measured."""

    def test_neighbour_that_has_left_is_blamed(self) -> None:
        made = planner.Planner(weights.BALANCED)
        room = resources.Resources(8, 8000)
        made.put_worker(views.WorkerView("w0", "r0", "z1", room))
        for name, template, service in (
            ("svc:c/s/z1/0", "s", True),
            ("j/0", "noisy", False),
        ):
            made.put_running(_task(name, template, service), "w0", 0.0)
        made.record_end("j/0", "w0", changes.Ending.FINISHED, 50.0)
        made.put_running(_task("j/1", "quiet", False), "w0", 50.0)
        usage = resources.Resources(2, 1000)
        for at in range(10, 50):
            late = views.UsageReport(
                "w0", "svc:c/s/z1/0", 0, usage, 3.0, float(at)
            )
            made.put_usage(late)
        estimator = made.fleet.estimator
        noisy = estimator.added_slowdown("s", "noisy").mean
        assert noisy > 4 * estimator.added_slowdown("s", "quiet").mean

    def test_report_of_another_attempt_is_not_used(self) -> None:
        made = fleet.Fleet(interference.PairEstimator(), True)
        room = resources.Resources(8, 8000)
        made.put_worker(views.WorkerView("w0", "r0", "z1", room), 0.0)
        allocation = made.allocate(_task("j/0", "t", False), "w0", 2, 0.0)
        made.record_start(allocation, 0.0)
        usage = resources.Resources(7, 1000)
        made.put_usage(views.UsageReport("w0", "j/0", 1, usage, 2.0, 5.0), 6.0)
        assert allocation.measured_at < 0
        assert (
            made.learnt.size("t", allocation.task.size) == allocation.task.size
        )


def _task(name: str, template: str, service: bool) -> views.TaskView:
    size = resources.Resources(2, 1000)
    urgency = customers.Urgency.NORMAL
    return views.TaskView(name, template, "c", "team", urgency, service, size)
