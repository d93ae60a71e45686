"""Joins what the authorities of several zones tell of one job."""

from collections.abc import Mapping
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.placement import inspection

__all__ = ["CompletionEstimate", "combine"]

NOT_PLANNED = "no zone has planned its waiting tasks"


class CompletionEstimate(NamedTuple):
    """When a job is expected to finish.

    Attributes:
        seconds: How long it still takes; None if that is not known.
        margin_seconds: How far off that may well be.
        unknown_because: Why it is not known, or empty.
    """

    seconds: float | None
    margin_seconds: float = 0.0
    unknown_because: str = ""


def combine(
    answers: Mapping[str, inspection.JobStatus | outcomes.Refusal],
    running_in: set[str],
    waits: bool,
) -> CompletionEstimate:
    """Joins the answers of the zones.

    The job finishes with the last of what runs anywhere. Each zone tells how
    long it would take for all that waits, so the earliest of them counts, and
    a zone that can't be asked changes nothing about it.

    Args:
        answers: What each zone tells, or why it can't be asked.
        running_in: Zones in which tasks of the job run.
        waits: Whether tasks of the job wait.

    Examples:
        >>> soon = inspection.RemainingTime(9, 1)
        >>> late = inspection.RemainingTime(30, 5)
        >>> runs = inspection.JobStatus(soon, late)
        >>> waits = inspection.JobStatus(None, inspection.RemainingTime(20, 8))
        >>> combine({"z1": runs, "z2": waits}, {"z1"}, True).seconds
        20
    """
    parts: list[inspection.RemainingTime] = []
    for zone in sorted(running_in):
        answer = answers[zone]
        if isinstance(answer, outcomes.Refusal):
            return CompletionEstimate(None, unknown_because=answer.detail)
        if answer.running is None:
            reason = f"zone {zone} has not taken up its running tasks yet"
            return CompletionEstimate(None, unknown_because=reason)
        parts.append(answer.running)
    if waits:
        waiting_estimates = _waiting_estimates(answers)
        if not waiting_estimates:
            return CompletionEstimate(
                None, unknown_because=_missing_reason(answers)
            )
        parts.append(min(waiting_estimates))
    seconds = max((part.seconds for part in parts), default=0.0)
    margin = max((part.margin_seconds for part in parts), default=0.0)
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
