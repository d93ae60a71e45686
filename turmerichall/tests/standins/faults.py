"""Faults that a stand-in worker can be told to inject."""

from typing import NamedTuple

from turmerichall.tests.standins import behaviours

__all__ = ["Faults"]


class Faults(NamedTuple):
    """The faults that are active.

    Attributes:
        slow_seconds: Delay added to each request.
        error: Whether requests are answered with status 500 after they ran.
        fail_starts: Whether every attempt that starts fails.
        wrong_request_id: Whether answers carry the id of another request.
        truncate: Whether answers end before their last byte.
        silent: Whether requests run but are never answered.
        report_late_seconds: Minimum age of the measurements in reports.
        templates: Behaviour of the tasks of some templates; all other tasks
            behave as declared.
    """

    slow_seconds: float = 0.0
    error: bool = False
    fail_starts: bool = False
    wrong_request_id: bool = False
    truncate: bool = False
    silent: bool = False
    report_late_seconds: float = 0.0
    templates: tuple[behaviours.Behaviour, ...] = ()
