"""Tests of the share of the services' margin that batch tasks may use."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import planner as planners
from turmerichall.placement import slack
from turmerichall.placement import views
from turmerichall.placement import weights


class TestMarginShare:
    """Late batch work may use the whole margin, early work half of it."""

    @pytest.mark.parametrize(
        ("deadline", "share"), [(1e6, 0.5), (1_000.0, 1.0)]
    )
    def test_share_depends_on_the_deadline(
        self, deadline: float, share: float
    ) -> None:
        planner = planners.Planner(weights.BALANCED)
        room = resources.Resources(8, 8000)
        planner.put_worker(views.WorkerView("w0", "r0", "z1", room))
        for number in range(40):
            task = views.TaskView(
                f"j/{number}",
                "t",
                "c",
                "team",
                customers.Urgency.NORMAL,
                False,
                resources.Resources(4, 100),
                100.0,
                deadline,
            )
            planner.put_waiting(task)
        found = slack.margin_share(planner.waiting, planner.fleet, 0.0)
        assert found == share

    def test_share_is_lowest_without_waiting_work(self) -> None:
        planner = planners.Planner(weights.BALANCED)
        found = slack.margin_share(planner.waiting, planner.fleet, 0.0)
        assert found == slack.MIN_MARGIN_SHARE
