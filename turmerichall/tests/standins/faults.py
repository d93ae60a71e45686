"""Faults that a stand-in worker can be told to show."""

from typing import NamedTuple

from turmerichall.tests.standins import behaviours

__all__ = ["Faults"]


class Faults(NamedTuple):
    """Which faults are on.

    Attributes:
        slow_seconds: How long each request takes longer.
        error: Whether requests are answered with status 500 after they ran.
        fail_starts: Whether every attempt that starts fails.
        wrong_request_id: Whether answers carry another request's id.
        truncate: Whether answers end before their last byte.
        silent: Whether requests run and are never answered.
        report_late_seconds: Age of usage in reports.
        templates: What tasks of some templates do; the others do as declared.
    """

    slow_seconds: float = 0.0
    error: bool = False
    fail_starts: bool = False
    wrong_request_id: bool = False
    truncate: bool = False
    silent: bool = False
    report_late_seconds: float = 0.0
    templates: tuple[behaviours.Behaviour, ...] = ()
