"""Limits on moves of best-effort runs that are throttled.

Load addressed: at each peak of the load, one best-effort run in ten was moved
because it was held back for a second.  A move discards the work since the last
checkpoint and takes time, and the next worker has the same peak, so runs went
from worker to worker without getting done.

Nobody knows for how long a run will be throttled.  It is moved once it has lost
as much work by staying as the move costs, which loses at most twice as much as
the better of both, and only a few times in the life of its task.

References:
    Karlin, Manasse, Rudolph, Sleator, "Competitive Snoopy Caching", 1988: the
    rule for renting or buying.
"""

from typing import NamedTuple

__all__ = ["MAX_MOVES", "ThrottledRun", "reason_to_stay"]

# Maximum number of moves of a task because its runs were throttled.
MAX_MOVES = 2
# Time that a move takes besides the work that it discards: to stop, place and
# start the run, and to load its checkpoint.
MOVE_SECONDS = 0.8


class ThrottledRun(NamedTuple):
    """A best-effort run that is held back for the sake of long-running ones.

    Attributes:
        moves: Number of moves of its task so far for the same reason.
        throttled_seconds: Time for which it has been throttled.
        pace_percent: Its pace; unknown paces count as full.
        remaining_seconds: Time that the rest of its work takes at full pace.
        discarded_seconds: Time at full pace that the work since the last
            checkpoint took.
    """

    moves: int
    throttled_seconds: float
    pace_percent: int
    remaining_seconds: float
    discarded_seconds: float


def reason_to_stay(run: ThrottledRun) -> str:
    """Return why a run is not moved, or an empty text if it is.

    Args:
        run: The run.

    Examples:
        >>> run = ThrottledRun(0, 1.2, 0, 1.0, 0.2)
        >>> reason_to_stay(run)
        ''
        >>> reason_to_stay(run._replace(discarded_seconds=0.9))
        'discards too much'
        >>> reason_to_stay(run._replace(moves=2))
        'moved too often'
        >>> reason_to_stay(run._replace(pace_percent=40, remaining_seconds=0.2))
        'nearly done'
    """
    if run.moves >= MAX_MOVES:
        return "moved too often"
    cost_seconds = MOVE_SECONDS + run.discarded_seconds
    pace = run.pace_percent / 100
    if run.remaining_seconds * (1 - pace) < cost_seconds * pace:
        return "nearly done"
    if run.throttled_seconds * (1 - pace) < cost_seconds:
        return "discards too much"
    return ""
