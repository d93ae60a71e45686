"""Combines the zones' estimates of when a job will be complete."""

from collections.abc import Mapping
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.placement import inspection

__all__ = ["CompletionEstimate", "combine"]

NOT_PLANNED = "no zone has planned its waiting tasks"


class CompletionEstimate(NamedTuple):
    """When a job is expected to be complete.

    Attributes:
        seconds: The remaining time; None if it is not known.
        margin_seconds: The margin of error of the remaining time.
        unknown_because: Why the remaining time is not known, or empty.
    """

    seconds: float | None
    margin_seconds: float = 0.0
    unknown_because: str = ""


def combine(
    answers: Mapping[str, inspection.JobStatus | outcomes.Refusal],
    running_in: set[str],
    waits: bool,
) -> CompletionEstimate:
    """Combine the estimates of several zones for one job.

    The job is complete when its last running task and its last waiting task
    have finished.  Each zone estimates the time it would need for all waiting
    tasks; the shortest of these estimates is used.  Zones without such an
    estimate are left out.

    Args:
        answers: Each zone's estimate, or why there is none.
        running_in: Zones in which tasks of the job run.
        waits: Whether tasks of the job wait.

    Returns:
        The estimate for the job.  The time is unknown if a zone with running
        tasks has no estimate for them, or if tasks wait and no zone has an
        estimate for them.

    Examples:
        >>> soon = inspection.RemainingTime(9, 1)
        >>> late = inspection.RemainingTime(30, 5)
        >>> runs = inspection.JobStatus(soon, late)
        >>> waits = inspection.JobStatus(None, inspection.RemainingTime(20, 8))
        >>> combine({"z1": runs, "z2": waits}, {"z1"}, True).seconds
        20
    """
    remaining: list[inspection.RemainingTime] = []
    for zone in sorted(running_in):
        answer = answers[zone]
        if isinstance(answer, outcomes.Refusal):
            return CompletionEstimate(None, unknown_because=answer.detail)
        if answer.running is None:
            reason = f"zone {zone} has not planned its running tasks yet"
            return CompletionEstimate(None, unknown_because=reason)
        remaining.append(answer.running)
    if waits:
        waiting_estimates = _waiting_estimates(answers)
        if not waiting_estimates:
            return CompletionEstimate(
                None, unknown_because=_missing_reason(answers)
            )
        remaining.append(min(waiting_estimates))
    seconds = max((time_left.seconds for time_left in remaining), default=0.0)
    margin = max(
        (time_left.margin_seconds for time_left in remaining), default=0.0
    )
    return CompletionEstimate(seconds, margin)


def _waiting_estimates(
    answers: Mapping[str, inspection.JobStatus | outcomes.Refusal],
) -> list[inspection.RemainingTime]:
    return [
        answer.waiting
        for answer in answers.values()
        if isinstance(answer, inspection.JobStatus)
        and answer.waiting is not None
    ]


def _missing_reason(
    answers: Mapping[str, inspection.JobStatus | outcomes.Refusal],
) -> str:
    refusals = [
        answer.detail
        for answer in answers.values()
        if isinstance(answer, outcomes.Refusal)
    ]
    return "; ".join([NOT_PLANNED, *refusals])
