"""Checks whether a task can ever run in any of the zones that it may use.

The planner of a zone knows only the workers of that zone.  The directory of
backend servers has the workers of all zones whose announcements arrive here.
A zone without recent announcements may have larger workers, so a task is not
reported as unschedulable while one of its zones has none.
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
    """Whether a task can ever run."""

    POSSIBLE = "possible"
    NEVER = "never"
    UNKNOWN = "unknown"


class Assessment(NamedTuple):
    """Whether a task can ever run, and the reason if it can't.

    Attributes:
        fit: The verdict.
        detail: The size that the task needs and the nearest size that would
            fit, or the zones that are not heard from; empty if the task can
            run.
    """

    fit: Verdict
    detail: str = ""


class FeasibilityChecker:
    """Checks tasks against the directory of backend servers.

    Attributes:
        directory: The backend servers of all zones, as this instance knows
            them.
        heard_since: Since when at least one worker of a zone has announced
            itself without a break, trio time, by zone.  A zone whose workers
            are all silent is left out.
    """

    def __init__(self, directory: directories.Directory):
        self.directory = directory
        self.heard_since: dict[str, float] = {}

    async def run(self) -> None:
        """Update `heard_since` periodically, until cancelled."""
        while True:
            self.update_heard_zones(trio.current_time())
            await trio.sleep(HEARD_ZONES_PERIOD_SECONDS)

    def update_heard_zones(self, now: float) -> None:
        """Update `heard_since` from the workers that are not silent now.

        Args:
            now: Current time, trio clock.
        """
        heard = {
            known.announcement.zone
            for known in self.directory.entries.values()
            if not self.directory.is_silent(known, now)
        }
        self.heard_since = {
            zone: self.heard_since.get(zone, now) for zone in heard
        }

    def assess(self, task: views.TaskView, now: float) -> Assessment:
        """Assess whether a task can ever run in any of its zones.

        Args:
            task: The task, with its zones and its declared size.
            now: Current time, trio clock.

        Returns:
            The assessment.  It is NEVER only if announcements from each of the
            zones have arrived for long enough that all workers are known.
        """
        workers = self._distinct_capacities(task.zones)
        unschedulable_reason = feasibility.unschedulable_reason(task, workers)
        if workers and unschedulable_reason is None:
            return Assessment(Verdict.POSSIBLE)
        unknown_zones = [
            zone
            for zone in task.zones
            if not self._knows_all_workers(zone, now)
        ]
        if not unknown_zones and unschedulable_reason is not None:
            return Assessment(Verdict.NEVER, unschedulable_reason)
        names = ", ".join(unknown_zones)
        detail = f"no known worker can hold it; not heard from: zone {names}"
        return Assessment(Verdict.UNKNOWN, detail)

    def _distinct_capacities(
        self, zones: tuple[str, ...]
    ) -> list[views.WorkerView]:
        """Return one worker for each capacity that exists in a zone."""
        by_capacity: dict[tuple[object, ...], views.WorkerView] = {}
        for known in self.directory.entries.values():
            announced = known.announcement
            key = (announced.zone, announced.capacity)
            if announced.zone in zones and key not in by_capacity:
                by_capacity[key] = views.WorkerView(
                    announced.name,
                    announced.rack,
                    announced.zone,
                    announced.capacity,
                )
        return list(by_capacity.values())

    def _knows_all_workers(self, zone: str, now: float) -> bool:
        since = self.heard_since.get(zone)
        return (
            since is not None
            and now >= since + feasibility.STARTUP_GRACE_SECONDS
        )


class UnschedulableReporter:
    """Decides what to record for tasks that can never run in one zone.

    Attributes:
        zone: The zone.
        machine: The replicated state.
        checker: Checks feasibility over all zones.
        pending: Tasks that can never run in this zone, while it is not known
            whether another zone can run them: how often the assessment was
            UNKNOWN, by task id.
        assessed_at: When the pending tasks were last assessed, trio time.
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
        """Replace decisions that a task fits no worker of this zone.

        They are replaced by decisions that consider all zones of the task:
        NEVER_FITS if it fits no worker of any zone, or, after the second
        UNKNOWN assessment, NO_CAPACITY.  There is no decision if another zone
        can run the task, or if another zone is to record NEVER_FITS.

        Args:
            waits: Decisions of the planner on why tasks wait.
            now: Current time, trio clock.

        Returns:
            The decisions to record.
        """
        recorded = []
        pending_before = len(self.pending)
        for wait in waits:
            if wait.reason == outcomes.RefusalReason.NEVER_FITS:
                self.pending.setdefault(wait.task_id, 0)
            else:
                recorded.append(wait)
        due = now >= self.assessed_at + REASSESS_PERIOD_SECONDS
        if due or len(self.pending) > pending_before:
            self.assessed_at = now
            recorded += self._assess_pending(now)
        return tuple(recorded)

    def _assess_pending(self, now: float) -> list[decisions.WaitDecision]:
        recorded = []
        assessments: dict[tuple[object, ...], Assessment] = {}
        for task_id, unknown_count in list(self.pending.items()):
            view = self._waiting_task_view(task_id)
            if view is None:
                del self.pending[task_id]
                continue
            shape = (view.size, view.zones)
            if shape not in assessments:
                assessments[shape] = self.checker.assess(view, now)
            assessment = assessments[shape]
            if assessment.fit == Verdict.UNKNOWN:
                self.pending[task_id] = unknown_count + 1
            else:
                del self.pending[task_id]
            if assessment.fit == Verdict.NEVER and self._is_reporting_zone(
                view
            ):
                reason = outcomes.RefusalReason.NEVER_FITS
            elif assessment.fit == Verdict.UNKNOWN and unknown_count == 1:
                reason = outcomes.RefusalReason.NO_CAPACITY
            else:
                continue
            recorded.append(
                decisions.WaitDecision(task_id, reason, assessment.detail)
            )
        return recorded

    def _waiting_task_view(self, task_id: str) -> views.TaskView | None:
        task = self.machine.job_store.tasks.get(task_id)
        if task is None or task_id not in self.machine.job_store.waiting:
            return None
        return task_views.task_view(self.machine, task)

    def _is_reporting_zone(self, view: views.TaskView) -> bool:
        """Return whether this is the one zone that records NEVER_FITS."""
        preferred = task_views.preferred_zone(view.task_id, view.zones)
        return preferred == self.zone
