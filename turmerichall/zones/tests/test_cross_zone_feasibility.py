"""Tests of whether a job can run in any of its zones."""

import pytest

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory as directories
from turmerichall.customers import customer
from turmerichall.placement import decisions
from turmerichall.placement import feasibility
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import task_views

ZONES = ("z1", "z2")
NEVER = outcomes.RefusalReason.NEVER_FITS
SETTLED = feasibility.STARTUP_GRACE_SECONDS + 1.0


def _machine() -> machines.StateMachine:
    """Return a state with a waiting task that needs 16 processors."""
    state_machine = machines.StateMachine()
    size = resources.Resources(16, 1000)
    operation = changes.Operation("1", "ann", 1.0)
    owner = customer.Customer("c", "t", customer.Urgency.NORMAL, ZONES, {})
    for change in (
        changes.PublishTemplate(
            operation, 0, template.Template("big", template.Kind.BATCH, size)
        ),
        changes.SetCustomer(operation._replace(operation_id="2"), 0, owner),
        changes.AcceptJob(
            operation._replace(operation_id="3"), "j1", "c", "big", 1, 9e9
        ),
    ):
        state_machine.apply(
            state_machine.applied_index + 1, changes.encode(change)
        )
    return state_machine


class _Zones:
    """The workers of two zones, as one instance hears from them."""

    def __init__(self) -> None:
        self.machine = _machine()
        directory = directories.Directory(self.machine.configuration)
        self.checker = cross_zone_feasibility.FeasibilityChecker(directory)
        self.sequence = 0

    def hear(self, zone: str, processors: float, at: float) -> None:
        """Handle an announcement of the worker in a zone."""
        self.sequence += 1
        room = resources.Resources(processors, 8000)
        announced = announcement.Announcement(
            f"w-{zone}", 1, self.sequence, zone, "r", f"{zone}:1", room
        )
        assert self.checker.directory.accept(announced, at) is None
        self.checker.update_heard_zones(at)

    def assess(self, now: float) -> cross_zone_feasibility.Assessment:
        """Assess the waiting task."""
        task = self.machine.job_store.tasks["j1/0"]
        view = task_views.task_view(self.machine, task)
        assert view is not None
        self.checker.update_heard_zones(now)
        return self.checker.assess(view, now)


@pytest.fixture(name="zones")
def _zones() -> _Zones:
    return _Zones()


class TestAssess:

    @pytest.mark.parametrize(
        "second_processors, heard_at, fit, detail",
        [
            (32.0, 0.0, cross_zone_feasibility.Verdict.POSSIBLE, ""),
            (
                12.0,
                0.0,
                cross_zone_feasibility.Verdict.NEVER,
                "fits is 12 processors",
            ),
            # Heard from only since a moment ago: workers may be missing.
            (12.0, SETTLED, cross_zone_feasibility.Verdict.UNKNOWN, "zone z2"),
            # Never heard from.
            (0.0, 0.0, cross_zone_feasibility.Verdict.UNKNOWN, "zone z2"),
        ],
    )
    def test_considers_all_zones(
        self,
        zones: _Zones,
        second_processors: float,
        heard_at: float,
        fit: cross_zone_feasibility.Verdict,
        detail: str,
    ) -> None:
        zones.hear("z1", 8.0, 0.0)
        if second_processors:
            zones.hear("z2", second_processors, heard_at)
        zones.hear("z1", 8.0, SETTLED)
        assessment = zones.assess(SETTLED)
        assert assessment.fit == fit
        assert detail in assessment.detail

    def test_silent_zone_makes_the_verdict_unknown(self, zones: _Zones) -> None:
        verdicts = []
        for at in range(0, 60, 2):
            zones.hear("z1", 8.0, at)
            if at < 40:
                zones.hear("z2", 8.0, at)
            verdicts.append(zones.assess(at).fit)
        assert verdicts[19] == cross_zone_feasibility.Verdict.NEVER
        assert verdicts[-1] == cross_zone_feasibility.Verdict.UNKNOWN


class TestRecorded:
    """What is recorded for a task that can never run in the own zone."""

    @pytest.mark.parametrize("own_zone, records", [("z1", 0), ("z2", 1)])
    def test_one_zone_records_never_once_all_are_known(
        self, zones: _Zones, own_zone: str, records: int
    ) -> None:
        assert task_views.preferred_zone("j1/0", ZONES) == "z2"
        reporter = cross_zone_feasibility.UnschedulableReporter(
            own_zone, zones.machine, zones.checker
        )
        wait = decisions.WaitDecision("j1/0", NEVER, "here")
        recorded: list[decisions.WaitDecision] = []
        for at in range(0, 40, 2):
            zones.hear("z1", 8.0, at)
            if at >= 20:
                zones.hear("z2", 8.0, at)
            recorded += reporter.filter_waits((wait,) if at == 6 else (), at)
        unknown, *never = recorded
        assert unknown.reason == outcomes.RefusalReason.NO_CAPACITY
        assert "zone z2" in unknown.detail
        assert [wait.reason for wait in never] == [NEVER] * records
        assert not reporter.pending

    def test_nothing_is_recorded_if_another_zone_can_run_it(
        self, zones: _Zones
    ) -> None:
        reporter = cross_zone_feasibility.UnschedulableReporter(
            "z2", zones.machine, zones.checker
        )
        other = decisions.WaitDecision(
            "j2/0", outcomes.RefusalReason.NO_CAPACITY, "busy"
        )
        wait = decisions.WaitDecision("j1/0", NEVER, "here")
        zones.hear("z1", 32.0, 0.0)
        zones.hear("z2", 8.0, 0.0)
        assert reporter.filter_waits((wait, other), SETTLED) == (other,)
