"""How fast tasks that fill may run beside lasting tasks.

Answers interference that changes within seconds and is seen only in tails that
arrive late: a control loop on each worker halves the pace of those filling tasks
that raise a tail near its target, and gives it back in steps.  What raises no
tail keeps its pace.

References:
    Lo et al., "Heracles: Improving Resource Efficiency at Scale", 2015: a
    control loop on each machine grows and disables best-effort work by the
    slack of the latency-critical tasks.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Filling", "Tail", "next_percent", "worst_tail"]

# Of the target: above it filling tasks that matter are slowed.
HIGH_RATIO = 0.85
# Above it they are stopped from working.
OVER_RATIO = 1.0
# Below it they get speed back.
LOW_RATIO = 0.65
STEP_PERCENT = 20
LEAST_PERCENT = 10
# Of the target: a filling task that adds less does not matter.
HARMLESS_RATIO = 0.03


class Tail(NamedTuple):
    """The tail of one lasting task.

    Attributes:
        image: Its image.
        ratio: Its tail as a share of its target.
    """

    image: str
    ratio: float


class Filling(NamedTuple):
    """One filling task beside lasting tasks.

    Attributes:
        image: Its image.
        share: Share of the worker's processors that it uses at full pace.
    """

    image: str
    share: float


def worst_tail(
    filling: Filling,
    tails: Iterable[Tail],
    weights: dict[str, float],
) -> float:
    """Returns the worst tail that a filling task raises, 0 if it raises none.

    Args:
        filling: The filling task.
        tails: Tails of the lasting tasks beside it.
        weights: What a whole worker of its image adds, by lasting image.

    Examples:
        >>> tails = [Tail("desk", 0.9), Tail("mail", 1.2)]
        >>> worst_tail(Filling("sort", 0.1), tails, {"desk": 4.0, "mail": 0.0})
        0.9
    """
    worst = 0.0
    for tail in tails:
        if weights[tail.image] * filling.share > HARMLESS_RATIO:
            worst = max(worst, tail.ratio)
    return worst


def next_percent(percent: int, ratio: float) -> int:
    """Returns the pace of a filling task after a new figure of the tails.

    Args:
        percent: Its pace now.
        ratio: The worst tail that it raises, as a share of the target.

    Examples:
        >>> next_percent(100, 0.5), next_percent(100, 0.9)
        (100, 50)
        >>> next_percent(50, 1.2), next_percent(0, 0.3)
        (0, 20)
    """
    if ratio >= OVER_RATIO:
        return 0 if percent <= 50 else percent // 4
    if ratio >= HIGH_RATIO:
        return max(percent // 2, min(percent, LEAST_PERCENT))
    if ratio <= LOW_RATIO:
        return min(percent + STEP_PERCENT, 100)
    return percent
