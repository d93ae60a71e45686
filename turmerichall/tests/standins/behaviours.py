"""Simulated deviations of tasks from their declaration, and late measurements.

A stand-in worker runs no real tasks: it computes their usage and slowdown from
the behaviour that is configured for their template.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from turmerichall import resources
from turmerichall.backend_servers import announcement

__all__ = [
    "AS_DECLARED",
    "Behaviour",
    "DelayedMeasurements",
    "slowdown",
    "usage",
]

Reports = tuple[announcement.TaskReport, ...]


class Behaviour(NamedTuple):
    """Behaviour of the tasks of one template, relative to its declaration.

    Attributes:
        template: Name of the template.
        processors_ratio: Processors in use divided by the declared number.
        memory_ratio: Memory in use divided by the declared amount.
        run_ratio: Run time divided by the declared one.
        noise: Amount that each task adds to the slowdown of the services on
            the same worker, regardless of its throttle.
    """

    template: str
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0
    run_ratio: float = 1.0
    noise: float = 0.0


AS_DECLARED = Behaviour("")


def usage(
    declared: resources.Resources, throttle: float, behaviour: Behaviour
) -> resources.Resources:
    """Return the resources that a task uses.

    Args:
        declared: Declared size of the task.
        throttle: Fraction of its processors that the task may use.
        behaviour: Behaviour of its template.

    Examples:
        >>> usage(resources.Resources(2, 100), 0.5, Behaviour("a", 10.0, 3.0))
        Resources(processors=10.0, memory_mb=300, accelerators=0)
    """
    return resources.Resources(
        declared.processors * behaviour.processors_ratio * throttle,
        round(declared.memory_mb * behaviour.memory_ratio),
        declared.accelerators,
    )


def slowdown(neighbours: Iterable[Behaviour]) -> float:
    """Return the slowdown of a service on the same worker as other tasks.

    Examples:
        >>> slowdown([Behaviour("a", noise=0.5), AS_DECLARED])
        1.5
    """
    return 1.0 + sum(neighbour.noise for neighbour in neighbours)


class DelayedMeasurements:
    """Replaces the measurements in reports by older ones.

    Attributes:
        history: Reports with the time at which they were measured, oldest
            first.
    """

    def __init__(self) -> None:
        self.history: collections.deque[tuple[float, Reports]] = (
            collections.deque()
        )

    def delay(
        self, reports: Reports, min_age_seconds: float, now: float
    ) -> Reports:
        """Return reports with the newest measurements that are old enough.

        Args:
            reports: The current reports.
            min_age_seconds: Minimum age of the measurements.
            now: Current time.

        Returns:
            The reports; those of attempts without a measurement of this age
            contain none.
        """
        self.history.append((now, reports))
        while (
            len(self.history) > 1
            and self.history[1][0] <= now - min_age_seconds
        ):
            self.history.popleft()
        measured_at, measured = self.history[0]
        if measured_at > now - min_age_seconds:
            measured = ()
        by_attempt = {
            (report.task_id, report.attempt): report for report in measured
        }
        return tuple(
            _with_measurement(
                report,
                by_attempt.get((report.task_id, report.attempt)),
                now - measured_at,
            )
            for report in reports
        )


def _with_measurement(
    report: announcement.TaskReport,
    measured: announcement.TaskReport | None,
    age_seconds: float,
) -> announcement.TaskReport:
    if measured is None:
        return report._replace(usage=resources.ZERO, slowdown=0.0)
    return report._replace(
        usage=measured.usage,
        slowdown=measured.slowdown,
        measured_seconds_ago=age_seconds,
    )
