"""Detection rules for stragglers, runs that would finish sooner elsewhere.

On a faulty worker, tasks may stall or run many times slower although the worker
answers requests normally.  A step is done only when its last task is, so one
such worker delays every job that has a task there.  Best-effort tasks are also
moved away from workers whose long-running tasks leave them no processors.
"""

from collections.abc import Sequence
import math
import statistics
from typing import NamedTuple

__all__ = [
    "Progress",
    "SLOW",
    "STALLED",
    "STALL_SECONDS",
    "may_be_slow",
    "reason_to_move",
]

# Time without progress at full pace, after start-up, after which a run has
# stalled.
STALL_SECONDS = 1.2
# Time at a low pace, for the sake of long-running tasks on the same worker,
# after which a run is moved.
MAX_THROTTLED_SECONDS = 1.0
# A run is slow if its expected time is this many times the median of the other
# tasks of its step.
SLOW_FACTOR = 2.5
# Progress in percent from which on the speed of a run is extrapolated.
MIN_GAINED_PERCENT = 5
# Time that a move costs in addition to the run itself.
MOVE_COST_SECONDS = 0.8
# A slow run is moved if what is left here takes more than this many times as
# long as elsewhere.
MOVE_FACTOR = 1.5
# Number of other tasks of a step whose actual or expected times a comparison
# needs.
MIN_SIBLINGS = 2

THROTTLED = "held back for lasting tasks"
STALLED = "stands still"
SLOW = "slow beside others of its step"


class Progress(NamedTuple):
    """Progress of a run.

    Attributes:
        seconds: Time since the worker first listed or confirmed the run.
        percent: Progress in percent.
        initial_percent: Progress when the worker first listed the run.
        still_seconds: Time since the progress last grew.
        full_pace_seconds: Time since the run last had less than its full pace;
            infinite if it never had less.
        throttled_seconds: Time since the run last had more than a low pace.
        checkpoints: Whether the run keeps its progress when it is stopped.
    """

    seconds: float
    percent: int
    initial_percent: int
    still_seconds: float
    full_pace_seconds: float
    throttled_seconds: float
    checkpoints: bool

    def expected_seconds(self) -> float | None:
        """Return the time that the whole run takes at its average speed so far.

        Returns:
            The time in seconds, or None after too little progress.
        """
        gained = self.percent - self.initial_percent
        if gained < MIN_GAINED_PERCENT:
            return None
        return self.seconds * 100 / gained


def may_be_slow(run: Progress) -> bool:
    """Return whether other tasks of its step can show that a run is slow.

    It is cheaper than looking up these tasks: none of them is so fast that a
    run which is nearly done would be moved.

    Examples:
        >>> run = Progress(3.0, 10, 0, 0.1, math.inf, 0.0, True)
        >>> may_be_slow(run), may_be_slow(run._replace(percent=80))
        (True, False)
    """
    expected = run.expected_seconds()
    if run.full_pace_seconds < math.inf or expected is None:
        return False
    return (
        expected * (100 - run.percent) / 100 > MOVE_FACTOR * MOVE_COST_SECONDS
    )


def reason_to_move(
    run: Progress,
    siblings: Sequence[float],
    startup_seconds: float,
) -> str:
    """Return why a run should be moved, or an empty text if it should not.

    Args:
        run: Progress of the run.
        siblings: Actual or expected times of other tasks of its step, in
            seconds.
        startup_seconds: Time that a run may take to start.

    Examples:
        >>> stalled = Progress(3.0, 40, 0, 1.5, math.inf, 0.0, True)
        >>> reason_to_move(stalled, [], 0.5)
        'stands still'
        >>> slow = Progress(3.0, 10, 0, 0.1, math.inf, 0.0, True)
        >>> reason_to_move(slow, [2.0, 2.2, 1.9], 0.5)
        'slow beside others of its step'
        >>> reason_to_move(slow, [25.0, 28.0], 0.5)
        ''
    """
    if run.percent >= 100:
        return ""
    if run.throttled_seconds > MAX_THROTTLED_SECONDS and run.checkpoints:
        return THROTTLED
    full_speed_seconds = min(
        run.seconds - startup_seconds, run.full_pace_seconds
    )
    if min(run.still_seconds, full_speed_seconds) > STALL_SECONDS:
        return STALLED
    expected = run.expected_seconds()
    if run.full_pace_seconds < math.inf or expected is None:
        return ""
    if len(siblings) < MIN_SIBLINGS:
        return ""
    median_seconds = statistics.median(siblings)
    left_here = expected * (100 - run.percent) / 100
    kept = run.percent / 100 if run.checkpoints else 0.0
    left_there = median_seconds * (1 - kept) + MOVE_COST_SECONDS
    if (
        expected > SLOW_FACTOR * median_seconds
        and left_here > MOVE_FACTOR * left_there
    ):
        return SLOW
    return ""
