"""Tests of how waiting work widens or narrows the services' margin."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import planner
from turmerichall.placement import slack
from turmerichall.placement import views
from turmerichall.placement import weights


class TestMarginShare:
    """Late work may use all of the margin, early work half of it."""

    @pytest.mark.parametrize(
        ("deadline", "share"), [(1e6, 0.5), (1_000.0, 1.0)]
    )
    def test_follows_the_deadline(self, deadline: float, share: float) -> None:
        made = planner.Planner(weights.BALANCED)
        room = resources.Resources(8, 8000)
        made.put_worker(views.WorkerView("w0", "r0", "z1", room))
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
            made.put_waiting(task)
        found = slack.margin_share(made.waiting, made.fleet, 0.0)
        assert found == share

    def test_no_waiting_work_leaves_the_margin_to_services(self) -> None:
        made = planner.Planner(weights.BALANCED)
        found = slack.margin_share(made.waiting, made.fleet, 0.0)
        assert found == slack.MIN_MARGIN_SHARE
