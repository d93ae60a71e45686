"""Which runs are stopped because they would finish sooner elsewhere.

Answers workers on which tasks stand still or run many times slower while they
answer well: a step is done only with its last task, so one such worker holds up
every job that has a task there.  It also frees workers of filling tasks that
can't run beside the lasting ones there.
"""

from collections.abc import Sequence
import math
import statistics
from typing import NamedTuple

__all__ = ["Progress", "SLOW", "STALLED", "STALL_SECONDS", "reason_to_move"]

# Without any progress at full pace, beyond the time to begin.
STALL_SECONDS = 1.2
# At a small pace, for the sake of lasting tasks beside it.
MAX_THROTTLED_SECONDS = 1.0
# A run is slow if it is expected to take this many times as long as others.
SLOW_FACTOR = 2.5
# Progress in percent before a run's own speed is trusted.
MIN_GAINED_PERCENT = 5
# What it costs to begin elsewhere, beside the run itself.
MOVE_COST_SECONDS = 0.8
# Siblings that must be known before a run is compared with them.
MIN_SIBLINGS = 2

THROTTLED = "held back for lasting tasks"
STALLED = "stands still"
SLOW = "slow beside others of its step"


class Progress(NamedTuple):
    """How far a run is.

    Attributes:
        seconds: Since the worker was known to run it.
        percent: Its progress.
        begun_percent: Its progress when it was first listed.
        still_seconds: Since its progress last grew.
        unslowed_seconds: Since it was last not allowed its full pace; infinite
            if it always was.
        held_seconds: Since it was last allowed more than a small pace.
        saves: Whether it keeps its progress when it is stopped.
    """

    seconds: float
    percent: int
    initial_percent: int
    still_seconds: float
    full_pace_seconds: float
    throttled_seconds: float
    checkpoints: bool

    def expected_seconds(self) -> float | None:
        """Returns the time of a whole run at its speed, None if not known."""
        gained = self.percent - self.initial_percent
        if gained < MIN_GAINED_PERCENT:
            return None
        return self.seconds * 100 / gained


def reason_to_move(
    run: Progress,
    siblings: Sequence[float],
    startup_seconds: float,
) -> str:
    """Tells why a run should be moved, or returns an empty text.

    Args:
        run: The run.
        siblings: Times that other tasks of its step took or are expected to.
        begin_seconds: Time that a run may take to begin.

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
    if expected > SLOW_FACTOR * median_seconds and left_here > 1.5 * left_there:
        return SLOW
    return ""
