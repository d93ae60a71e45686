"""Promises to callers and workers, checked on what both have seen."""

from collections.abc import Iterable, Mapping
import itertools
from typing import NamedTuple

import trio

from turmerichall.dispatch.tests import fakes
from turmerichall.platform.tests import wire_worker
from turmerichall.queues import change as changes

__all__ = ["Call", "find_broken"]

# Time after an acknowledged cancellation in which a start may still arrive.
CANCEL_SECONDS = 3.0
REJECTED = (400, 404, 410, 429, 503)


class Call(NamedTuple):
    """What a caller has seen of one job.

    Attributes:
        statuses: Statuses of all submissions; 0 for one without an answer.
        canceled_at: When its cancellation was acknowledged, trio time; None if
            it was not.
        state: Latest state or status that it was told.
    """

    statuses: tuple[int, ...] = ()
    canceled_at: float | None = None
    state: str = ""

    @property
    def accepted(self) -> bool:
        """Whether a submission was acknowledged."""
        return 200 in self.statuses

    @property
    def rejected(self) -> bool:
        """Whether every submission was rejected."""
        return bool(self.statuses) and set(self.statuses) <= set(REJECTED)


def find_broken(
    calls: Mapping[str, Call], lives: Iterable[wire_worker.Life]
) -> list[str]:
    """Return the promises that were broken.

    Args:
        calls: Calls by id of the job.
        lives: All lives of all workers.
    """
    lives = list(lives)
    return (
        _find_overlaps(lives)
        + _find_repeated(lives)
        + _find_unasked(calls, lives)
        + [
            f"lost: job {job} is {call.state}"
            for job, call in calls.items()
            if call.accepted
            and call.canceled_at is None
            and call.state != "completed"
        ]
    )


def _spans(lives: Iterable[wire_worker.Life]) -> list[fakes.Span]:
    now = trio.current_time()
    spans = []
    for life in lives:
        spans += life.spans
        spans += [
            fakes.Span(task, run.order.run, run.began_at, now)
            for task, run in life.runs.items()
        ]
    return sorted(spans)


def _find_overlaps(lives: list[wire_worker.Life]) -> list[str]:
    return [
        f"two runs at once: {second.task}, {first.run} and {second.run}"
        for first, second in itertools.pairwise(_spans(lives))
        if first.task == second.task and second.began_at < first.ended_at
    ]


def _find_repeated(lives: list[wire_worker.Life]) -> list[str]:
    """Find starts after an end as done of which the worker was told."""
    done: dict[changes.TaskName, float] = {}
    for life in lives:
        for task in life.noted:
            at = life.done_at[task]
            done[task] = min(at, done.get(task, at))
    return [
        f"started after its end was noted: {task}, run {run}"
        for life in lives
        for task, run, at in life.history
        if task in done and at > done[task]
    ]


def _find_unasked(
    calls: Mapping[str, Call], lives: list[wire_worker.Life]
) -> list[str]:
    broken = []
    for life in lives:
        for task, run, at in life.history:
            call = calls.get(task.job, Call())
            if call.rejected:
                broken.append(f"ran though it was rejected: {task}")
            canceled_at = call.canceled_at
            if canceled_at is not None and at > canceled_at + CANCEL_SECONDS:
                broken.append(
                    f"started {at - canceled_at:.1f} s after its"
                    f" cancellation: {task}, run {run}"
                )
    return broken
