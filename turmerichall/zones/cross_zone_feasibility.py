"""Tells whether a task can ever run in any zone that it may use.

The planner of a zone knows the workers of that zone only. The directory of
backend servers knows those of every zone that is heard from; a zone that is not
heard from may have larger workers, so nothing is concluded from it.
"""

import enum
from typing import NamedTuple

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import directory as directories
from turmerichall.placement import decisions
from turmerichall.placement import feasibility
from turmerichall.placement import views
from turmerichall.state import machine as machines
from turmerichall.zones import task_views

__all__ = [
    "Assessment",
    "FeasibilityChecker",
    "UnschedulableReporter",
    "Verdict",
]

HEARD_ZONES_PERIOD_SECONDS = 1.0
REASSESS_PERIOD_SECONDS = 5.0


class Verdict(enum.StrEnum):
    """Whether a task can run."""

    POSSIBLE = "possible"
    NEVER = "never"
    UNKNOWN = "unknown"


class Assessment(NamedTuple):
    """Whether a task can run, and why not.

    Attributes:
        fit: Whether it can.
        detail: What it needs and the nearest size that fits, or which zones
            are not heard from; empty if it can run.
    """

    fit: Verdict
    detail: str = ""


class FeasibilityChecker:
    """Judges by the directory of this instance.

    Attributes:
        directory: The backend servers of all zones.
        heard_since: Since when each zone is heard from without a break, trio
            time.
    """

    def __init__(self, directory: directories.Directory):
        self.directory = directory
        self.heard_since: dict[str, float] = {}

    async def run(self) -> None:
        """Keeps note of which zones are heard from, for ever."""
        while True:
            self.update_heard_zones(trio.current_time())
            await trio.sleep(HEARD_ZONES_PERIOD_SECONDS)

    def update_heard_zones(self, now: float) -> None:
        """Notes which zones are heard from."""
        heard = {
            known.announcement.zone
            for known in self.directory.entries.values()
            if not self.directory.is_silent(known, now)
        }
        self.heard_since = {
            zone: self.heard_since.get(zone, now) for zone in heard
        }

    def assess(self, task: views.TaskView, now: float) -> Assessment:
        """Tells whether any zone that a task may use can ever hold it.

        Args:
            task: The task, with its zones and its declared size.
            now: Current time, trio clock.
        """
        workers = self._distinct_capacities(task.zones)
        reason_here = feasibility.unschedulable_reason(task, workers)
        if workers and reason_here is None:
            return Assessment(Verdict.POSSIBLE)
        unheard = [
            zone
            for zone in task.zones
            if not self._knows_all_workers(zone, now)
        ]
        if not unheard and reason_here is not None:
            return Assessment(Verdict.NEVER, reason_here)
        names = ", ".join(unheard)
        detail = f"no known worker can hold it; not heard from: zone {names}"
        return Assessment(Verdict.UNKNOWN, detail)

    def _distinct_capacities(
        self, zones: tuple[str, ...]
    ) -> list[views.WorkerView]:
        """Returns one worker of each capacity in some zones."""
        found: dict[tuple[object, ...], views.WorkerView] = {}
        for known in self.directory.entries.values():
            told = known.announcement
            key = (told.zone, told.capacity)
            if told.zone in zones and key not in found:
                found[key] = views.WorkerView(
                    told.name, told.rack, told.zone, told.capacity
                )
        return list(found.values())

    def _knows_all_workers(self, zone: str, now: float) -> bool:
        since = self.heard_since.get(zone)
        return (
            since is not None
            and now >= since + feasibility.STARTUP_GRACE_SECONDS
        )


class UnschedulableReporter:
    """Decides what is recorded of tasks that one zone can never hold.

    Attributes:
        zone: The zone that tells.
        machine: The replicated state.
        fitting: Judges over all zones.
        pending: Tasks of which it is not known whether another zone can hold
            them, and how often that was judged.
        judged_at: When they were last judged, trio time.
    """

    def __init__(
        self,
        zone: str,
        machine: machines.StateMachine,
        checker: FeasibilityChecker,
    ):
        self.zone = zone
        self.machine = machine
        self.checker = checker
        self.pending: dict[str, int] = {}
        self.assessed_at = 0.0

    def filter_waits(
        self, waits: tuple[decisions.WaitDecision, ...], now: float
    ) -> tuple[decisions.WaitDecision, ...]:
        """Replaces what the planner says of its zone by what is true of all.

        Args:
            waits: Decisions of the planner.
            now: Current time, trio clock.

        Returns:
            The decisions to record.
        """
        told = []
        found = len(self.pending)
        for wait in waits:
            if wait.reason == outcomes.RefusalReason.NEVER_FITS:
                self.pending.setdefault(wait.task_id, 0)
            else:
                told.append(wait)
        due = now >= self.assessed_at + REASSESS_PERIOD_SECONDS
        if due or len(self.pending) > found:
            self.assessed_at = now
            told += self._assess_pending(now)
        return tuple(told)

    def _assess_pending(self, now: float) -> list[decisions.WaitDecision]:
        told = []
        findings: dict[tuple[object, ...], Assessment] = {}
        for name, unknown_count in list(self.pending.items()):
            view = self._waiting_task_view(name)
            if view is None:
                del self.pending[name]
                continue
            shape = (view.size, view.zones)
            if shape not in findings:
                findings[shape] = self.checker.assess(view, now)
            finding = findings[shape]
            if finding.fit == Verdict.UNKNOWN:
                self.pending[name] = unknown_count + 1
            else:
                del self.pending[name]
            if finding.fit == Verdict.NEVER and self._is_reporting_zone(view):
                reason = outcomes.RefusalReason.NEVER_FITS
            elif finding.fit == Verdict.UNKNOWN and unknown_count == 1:
                reason = outcomes.RefusalReason.NO_CAPACITY
            else:
                continue
            told.append(decisions.WaitDecision(name, reason, finding.detail))
        return told

    def _waiting_task_view(self, name: str) -> views.TaskView | None:
        task = self.machine.job_store.tasks.get(name)
        if task is None or name not in self.machine.job_store.waiting:
            return None
        return task_views.task_view(self.machine, task)

    def _is_reporting_zone(self, view: views.TaskView) -> bool:
        """Tells whether this zone is the one that says it for all."""
        first = task_views.preferred_zone(view.task_id, view.zones)
        return first == self.zone
