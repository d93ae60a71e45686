"""How tasks differ from what was declared of them, and late measurements."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from turmerichall import resources
from turmerichall.backend_servers import announcement

__all__ = ["AS_DECLARED", "Behaviour", "Measurements", "slowdown", "usage"]

Reports = tuple[announcement.TaskReport, ...]


class Behaviour(NamedTuple):
    """What tasks of one template do.

    Attributes:
        template: Name of the template.
        processors_ratio: Processors in use over the declared ones.
        memory_ratio: Memory in use over the declared one.
        run_ratio: Run time over the declared one.
        noise: What each task adds to the slowdown of services beside it,
            throttled or not.
    """

    template: str
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0
    run_ratio: float = 1.0
    noise: float = 0.0


AS_DECLARED = Behaviour("")


def usage(
    declared: resources.Resources, throttle: float, shown: Behaviour
) -> resources.Resources:
    """Returns what a task uses.

    Examples:
        >>> usage(resources.Resources(2, 100), 0.5, Behaviour("a", 10.0, 3.0))
        Resources(processors=10.0, memory_mb=300, accelerators=0)
    """
    return resources.Resources(
        declared.processors * shown.processors_ratio * throttle,
        round(declared.memory_mb * shown.memory_ratio),
        declared.accelerators,
    )


def slowdown(neighbours: Iterable[Behaviour]) -> float:
    """Returns the slowdown of a service beside tasks.

    Examples:
        >>> slowdown([Behaviour("a", noise=0.5), AS_DECLARED])
        1.5
    """
    return 1.0 + sum(beside.noise for beside in neighbours)


class Measurements:
    """Tells what was measured some time later.

    Attributes:
        kept: Reports with the time at which they were measured, oldest first.
    """

    def __init__(self) -> None:
        self.kept: collections.deque[tuple[float, Reports]] = (
            collections.deque()
        )

    def late(self, reports: Reports, seconds: float, now: float) -> Reports:
        """Returns reports with the newest measurements of that age or more.

        Args:
            reports: The reports of this moment.
            seconds: Least age of the measurements.
            now: Current time.

        Returns:
            The reports; what was not measured yet is left out of them.
        """
        self.kept.append((now, reports))
        while len(self.kept) > 1 and self.kept[1][0] <= now - seconds:
            self.kept.popleft()
        at, measured = self.kept[0]
        if at > now - seconds:
            measured = ()
        known = {(told.task_id, told.attempt): told for told in measured}
        return tuple(
            _with(report, known.get((report.task_id, report.attempt)), now - at)
            for report in reports
        )


def _with(
    report: announcement.TaskReport,
    measured: announcement.TaskReport | None,
    age: float,
) -> announcement.TaskReport:
    if measured is None:
        return report._replace(usage=resources.ZERO, slowdown=0.0)
    return report._replace(
        usage=measured.usage,
        slowdown=measured.slowdown,
        measured_seconds_ago=age,
    )
