"""Tests of the updates of the planner from the replicated state."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template
from turmerichall.zones import planner_feed

SIZE = resources.Resources(2, 1000)
TASK = "j1/0"


def apply(machine: machines.StateMachine, change: changes.Change) -> None:
    """Apply a change at the next index of the log."""
    machine.apply(machine.applied_index + 1, changes.encode(change))


def operation(name: str) -> changes.Operation:
    return changes.Operation(name, "ann", 1.0)


@pytest.fixture(name="feed")
def _feed() -> planner_feed.PlannerFeed:
    """Return a feed whose planner counts one task as running on `w1`."""
    machine = machines.StateMachine()
    batch = template.Template("roster", template.Kind.BATCH, SIZE)
    owner = customer.Customer("c", "team", customer.Urgency.NORMAL, ("z1",), {})
    apply(machine, changes.PublishTemplate(operation("1"), 0, batch))
    apply(machine, changes.SetCustomer(operation("2"), 0, owner))
    apply(
        machine,
        changes.AcceptJob(operation("3"), "j1", "c", "roster", 1, 9e9),
    )
    apply(machine, changes.TakeGrant("z1", "i1", 0, 0))
    planner = planners.Planner(weights.BALANCED)
    for name in ("w1", "w2"):
        room = resources.Resources(8, 8000)
        planner.put_worker(views.WorkerView(name, "r1", "z1", room))
    created = planner_feed.PlannerFeed(machine, "z1", planner, 0.0)
    machine.watchers.append(lambda change, _: created.on_change(change))
    start = changes.Start(TASK, 1, "w1", 1)
    apply(machine, changes.StartTasks("z1", 1, 1.0, [start]))
    created.sync(1.0)
    return created


class TestEnds:
    """The planner gets the ending of an attempt in every state of the task."""

    @pytest.mark.parametrize(
        ("ending", "avoided"),
        [
            (changes.Ending.FAILED, True),
            (changes.Ending.EVICTED, False),
            (changes.Ending.LOST, False),
        ],
    )
    def test_ending_of_a_task_that_waits_again(
        self,
        feed: planner_feed.PlannerFeed,
        ending: changes.Ending,
        avoided: bool,
    ) -> None:
        end = changes.End(TASK, 1, ending)
        apply(feed.machine, changes.EndTasks("z1", 1, 2.0, [end]))
        assert TASK in feed.machine.job_store.waiting
        feed.sync(2.0)
        assert feed.planner.fleet.health.avoids("w1", TASK) == avoided
        assert not feed.last_ends
