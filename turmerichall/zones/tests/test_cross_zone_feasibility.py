"""Tests of telling whether a job can run in any of its zones."""

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
    """A machine with a waiting task of 16 processors in either zone."""
    made = machines.StateMachine()
    size = resources.Resources(16, 1000)
    asked = changes.Operation("1", "ann", 1.0)
    owner = customer.Customer("c", "t", customer.Urgency.NORMAL, ZONES, {})
    for change in (
        changes.PublishTemplate(
            asked, 0, template.Template("big", template.Kind.BATCH, size)
        ),
        changes.SetCustomer(asked._replace(operation_id="2"), 0, owner),
        changes.AcceptJob(
            asked._replace(operation_id="3"), "j1", "c", "big", 1, 9e9
        ),
    ):
        made.apply(made.applied_index + 1, changes.encode(change))
    return made


class _Zones:
    """Workers of zones as one instance hears of them."""

    def __init__(self) -> None:
        self.machine = _machine()
        directory = directories.Directory(self.machine.configuration)
        self.checker = cross_zone_feasibility.FeasibilityChecker(directory)
        self.sequence = 0

    def hear(self, zone: str, processors: float, at: float) -> None:
        """Hears of the worker of a zone."""
        self.sequence += 1
        room = resources.Resources(processors, 8000)
        announced = announcement.Announcement(
            f"w-{zone}", 1, self.sequence, zone, "r", f"{zone}:1", room
        )
        assert self.checker.directory.accept(announced, at) is None
        self.checker.update_heard_zones(at)

    def assess(self, now: float) -> cross_zone_feasibility.Assessment:
        """Judges the waiting task."""
        task = self.machine.job_store.tasks["j1/0"]
        view = task_views.task_view(self.machine, task)
        assert view is not None
        self.checker.update_heard_zones(now)
        return self.checker.assess(view, now)


@pytest.fixture(name="zones")
def _zones() -> _Zones:
    return _Zones()


class TestJudge:

    @pytest.mark.parametrize(
        "second, heard_at, fit, words",
        [
            (32.0, 0.0, cross_zone_feasibility.Verdict.POSSIBLE, ""),
            (
                12.0,
                0.0,
                cross_zone_feasibility.Verdict.NEVER,
                "fits is 12 processors",
            ),
            # Heard of again a moment ago: others may still be missing.
            (12.0, SETTLED, cross_zone_feasibility.Verdict.UNKNOWN, "zone z2"),
            # Never heard of.
            (0.0, 0.0, cross_zone_feasibility.Verdict.UNKNOWN, "zone z2"),
        ],
    )
    def test_decides_over_all_zones(
        self,
        zones: _Zones,
        second: float,
        heard_at: float,
        fit: cross_zone_feasibility.Verdict,
        words: str,
    ) -> None:
        zones.hear("z1", 8.0, 0.0)
        if second:
            zones.hear("z2", second, heard_at)
        zones.hear("z1", 8.0, SETTLED)
        found = zones.assess(SETTLED)
        assert found.fit == fit
        assert words in found.detail

    def test_zone_that_fell_silent_is_not_evidence(self, zones: _Zones) -> None:
        found = []
        for at in range(0, 60, 2):
            zones.hear("z1", 8.0, at)
            if at < 40:
                zones.hear("z2", 8.0, at)
            found.append(zones.assess(at).fit)
        assert found[19] == cross_zone_feasibility.Verdict.NEVER
        assert found[-1] == cross_zone_feasibility.Verdict.UNKNOWN


class TestRecorded:
    """What is recorded of a task that the own zone can never hold."""

    @pytest.mark.parametrize("own, says", [("z1", 0), ("z2", 1)])
    def test_one_zone_says_never_once_all_are_known(
        self, zones: _Zones, own: str, says: int
    ) -> None:
        assert task_views.preferred_zone("j1/0", ZONES) == "z2"
        reporter = cross_zone_feasibility.UnschedulableReporter(
            own, zones.machine, zones.checker
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
        assert [wait.reason for wait in never] == [NEVER] * says
        assert not reporter.pending

    def test_nothing_if_another_zone_can_hold_it(self, zones: _Zones) -> None:
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
