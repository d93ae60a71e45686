"""Holds back starts of tasks in a zone that operators have evacuated.

The state machine refuses to record a start in an evacuated zone.  This module
covers what was recorded before the evacuation and what waits: it withholds
start commands that a worker did not get, ends their attempts so that the tasks
can run in another zone, and reports the jobs that can run nowhere else.

Nothing here is replicated.  A new placement authority counts the time of
withheld commands anew and reports the jobs again.
"""

from collections.abc import Iterable
import math

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.placement import decisions
from turmerichall.placement import views
from turmerichall.state import change as changes
from turmerichall.state import configuration
from turmerichall.state import job_store as job_stores
from turmerichall.state import machine as machines
from turmerichall.state import zone_change
from turmerichall.telemetry import logs
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import task_views

__all__ = ["StartHold"]

REPORT_PERIOD_SECONDS = 5.0
MAX_LOGGED_JOBS = 20


class StartHold:
    """Starts that the scheduler of one zone holds back.

    Attributes:
        zone: The availability zone.
        machine: The replicated state.
        checker: Checks whether another zone can hold a task.
        withheld: Since when the start command of an attempt is withheld, trio
            time, by task id and attempt.
        reported: Jobs whose wait for the zone was reported in this evacuation.
    """

    def __init__(
        self,
        zone: str,
        machine: machines.StateMachine,
        checker: cross_zone_feasibility.FeasibilityChecker,
    ):
        self.zone = zone
        self.machine = machine
        self.checker = checker
        self.withheld: dict[tuple[str, int], float] = {}
        self.reported: set[str] = set()
        self.log = logs.Log("placement")
        self._logged: configuration.Versioned[zone_change.ZoneState] | None
        self._logged = None
        self._reported_at = -math.inf

    def is_active(self) -> bool:
        """Return whether the zone is evacuated, so that no task may start."""
        return self.machine.configuration.is_evacuated(self.zone)

    def update(self) -> None:
        """Log an evacuation or its end once, and forget an ended one."""
        entry = self.machine.configuration.zones.get(self.zone)
        if entry == self._logged:
            return
        self._logged = entry
        self.reported.clear()
        self._reported_at = -math.inf
        if not self.is_active():
            self.withheld.clear()
        if entry is None:
            return
        job_store = self.machine.job_store
        message = "zone is evacuated; starts are held back"
        if not self.is_active():
            message = "zone is restored; starts are resumed"
        self.log.info(
            message,
            zone=self.zone,
            operator=entry.operator,
            requested_wall_seconds=entry.wall_seconds,
            version=entry.version,
            running_tasks=len(job_store.live_tasks_in(self.zone)),
            waiting_tasks=len(job_store.waiting),
        )

    def withhold(
        self,
        missing: Iterable[job.Task],
        reported: Iterable[announcements.TaskReport],
        now: float,
    ) -> list[changes.End]:
        """Withhold the start commands of tasks that a worker did not report.

        A command that was sent before the evacuation may still arrive.  The
        worker refuses it once its lease has ended, counted from an announcement
        received before the command was first withheld, so the attempt ends
        only then.

        Args:
            missing: Tasks with a lease for the worker that it did not report.
            reported: The tasks that it did report.
            now: Current time, trio clock.

        Returns:
            Ends of the attempts that can no longer start.
        """
        for report in reported:
            self.withheld.pop((report.task_id, report.attempt), None)
        ends = []
        for task in missing:
            key = (task.task_id, task.attempt)
            since = self.withheld.setdefault(key, now)
            if now > since + lease.task_ended_after_seconds():
                reason = f"start withheld: zone {self.zone} is evacuated"
                ends.append(
                    changes.End(*key, changes.Ending.REFUSED, reason=reason)
                )
        return ends

    def waits(self, now: float) -> tuple[decisions.WaitDecision, ...]:
        """Return and log which jobs wait because they can run only here.

        Each job is reported once in an evacuation, by one of its tasks.  If
        several zones of a job are evacuated, the scheduler of one reports it.

        Args:
            now: Current time, trio clock.
        """
        due_at = self._reported_at + REPORT_PERIOD_SECONDS
        if not self.is_active() or now < due_at:
            return ()
        self._reported_at = now
        # Ended attempts are dropped, so that `withheld` stays bounded.
        self.withheld = {
            key: since
            for key, since in self.withheld.items()
            if self._is_held(*key)
        }
        first_task = {
            job_stores.job_id_of(task_id): task_id
            for task_id in reversed(list(self.machine.job_store.waiting))
        }
        self.reported.intersection_update(first_task)
        verdicts: dict[tuple[object, ...], bool] = {}
        held = {
            job_id: task_id
            for job_id, task_id in first_task.items()
            if job_id not in self.reported
            and self._waits_for_this_zone(task_id, verdicts, now)
        }
        if not held:
            return ()
        self.reported.update(held)
        self.log.info(
            "jobs wait for an evacuated zone, as they can run in no other",
            zone=self.zone,
            count=len(held),
            jobs=sorted(held)[:MAX_LOGGED_JOBS],
        )
        detail = f"zone {self.zone} is evacuated, and no other can run it"
        reason = outcomes.RefusalReason.ZONE_EVACUATED
        return tuple(
            decisions.WaitDecision(task_id, reason, detail)
            for task_id in held.values()
        )

    def _is_held(self, task_id: str, attempt: int) -> bool:
        task = self.machine.job_store.tasks.get(task_id)
        held = task is not None and task.held is not None
        return held and task is not None and task.attempt == attempt

    def _waits_for_this_zone(
        self,
        task_id: str,
        verdicts: dict[tuple[object, ...], bool],
        now: float,
    ) -> bool:
        view = task_views.task_view(
            self.machine, self.machine.job_store.tasks[task_id]
        )
        if view is None or self.zone not in view.zones:
            return False
        serving = self.machine.configuration.serving_zones(view.zones)
        evacuated = tuple(zone for zone in view.zones if zone not in serving)
        if task_views.preferred_zone(task_id, evacuated) != self.zone:
            return False
        shape = (view.size, view.zones)
        if shape not in verdicts:
            verdicts[shape] = self._can_run_in(view, evacuated, now) and not (
                serving and self._can_run_in(view, serving, now)
            )
        return verdicts[shape]

    def _can_run_in(
        self, view: views.TaskView, zones: tuple[str, ...], now: float
    ) -> bool:
        """Return whether some zone can hold a task, or may be able to."""
        assessment = self.checker.assess(view._replace(zones=zones), now)
        return assessment.fit != cross_zone_feasibility.Verdict.NEVER
