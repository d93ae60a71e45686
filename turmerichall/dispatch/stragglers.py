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

__all__ = ["Progress", "SLOW", "STILL", "STILL_SECONDS", "judge"]

# Without any progress at full pace, beyond the time to begin.
STILL_SECONDS = 1.2
# At a small pace, for the sake of lasting tasks beside it.
HELD_SECONDS = 1.0
# A run is slow if it is expected to take this many times as long as others.
SLOW_FACTOR = 2.5
# Progress in percent before a run's own speed is trusted.
TRUSTED_PERCENT = 5
# What it costs to begin elsewhere, beside the run itself.
MOVE_SECONDS = 0.8
# Siblings that must be known before a run is compared with them.
ENOUGH_SIBLINGS = 2

HELD = "held back for lasting tasks"
STILL = "stands still"
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
    begun_percent: int
    still_seconds: float
    unslowed_seconds: float
    held_seconds: float
    saves: bool

    def expected_seconds(self) -> float | None:
        """Returns the time of a whole run at its speed, None if not known."""
        gained = self.percent - self.begun_percent
        if gained < TRUSTED_PERCENT:
            return None
        return self.seconds * 100 / gained


def judge(
    run: Progress,
    siblings: Sequence[float],
    begin_seconds: float,
) -> str:
    """Tells why a run should be moved, or returns an empty text.

    Args:
        run: The run.
        siblings: Times that other tasks of its step took or are expected to.
        begin_seconds: Time that a run may take to begin.

    Examples:
        >>> still = Progress(3.0, 40, 0, 1.5, math.inf, 0.0, True)
        >>> judge(still, [], 0.5)
        'stands still'
        >>> slow = Progress(3.0, 10, 0, 0.1, math.inf, 0.0, True)
        >>> judge(slow, [2.0, 2.2, 1.9], 0.5)
        'slow beside others of its step'
        >>> judge(slow, [25.0, 28.0], 0.5)
        ''
    """
    if run.percent >= 100:
        return ""
    if run.held_seconds > HELD_SECONDS and run.saves:
        return HELD
    awake = min(run.seconds - begin_seconds, run.unslowed_seconds)
    if min(run.still_seconds, awake) > STILL_SECONDS:
        return STILL
    expected = run.expected_seconds()
    if run.unslowed_seconds < math.inf or expected is None:
        return ""
    if len(siblings) < ENOUGH_SIBLINGS:
        return ""
    usual = statistics.median(siblings)
    left_here = expected * (100 - run.percent) / 100
    kept = run.percent / 100 if run.saves else 0.0
    left_there = usual * (1 - kept) + MOVE_SECONDS
    if expected > SLOW_FACTOR * usual and left_here > 1.5 * left_there:
        return SLOW
    return ""
