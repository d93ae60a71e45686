"""How fast tasks that fill may run beside lasting tasks.

Answers interference that changes within seconds and is seen only in tails
that arrive late.  For each tail above its margin, the filling tasks that raise
it are slowed by as much as the learnt interference says is needed; below it
they get speed back for half of what is left.  What raises no tail keeps its
pace.

References:
    Lo et al., "Heracles: Improving Resource Efficiency at Scale", 2015: a
    control loop on each machine grows and disables best-effort work by the
    slack of the latency-critical tasks.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ["Filling", "HARMLESS_RATIO", "Tail", "percents"]

# Of the target: what tails are held below.
MARGIN_RATIO = 0.80
# Of the target: above it the filling tasks that matter stop working.
OVER_RATIO = 1.0
# Share of the slack below the margin that is given back at once.
GIVE_BACK = 0.5
# Of the target: a filling task that adds less at full pace does not matter.
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
        percent: Its pace.
    """

    image: str
    share: float
    percent: int


def percents(
    fillings: Sequence[Filling],
    tails: Sequence[Tail],
    weight: Callable[[str, str], float],
) -> list[int]:
    """Returns the pace of each filling task after new figures of the tails.

    Args:
        fillings: The filling tasks of one worker.
        tails: Tails of the lasting tasks beside them.
        weight: Gives what a whole worker of a filling image adds to the tail
            of a lasting image, as a share of the target.

    Examples:
        >>> def weight(lasting, filling):
        ...     return 4.0 if filling == "sort" else 0.0
        >>> fillings = [Filling("sort", 0.1, 100), Filling("scan", 0.3, 50)]
        >>> percents(fillings, [Tail("desk", 0.5)], weight)
        [100, 100]
        >>> percents(fillings, [Tail("desk", 0.95)], weight)
        [63, 100]
        >>> percents(fillings, [Tail("desk", 1.3)], weight)
        [0, 100]
    """
    worst: dict[str, float] = {}
    for tail in tails:
        worst[tail.image] = max(worst.get(tail.image, 0.0), tail.ratio)
    paces = [100] * len(fillings)
    for image, ratio in worst.items():
        full = [weight(image, each.image) * each.share for each in fillings]
        matter = [i for i, added in enumerate(full) if added > HARMLESS_RATIO]
        adds = sum(full[i] * fillings[i].percent / 100 for i in matter)
        slack = MARGIN_RATIO - ratio
        for i in matter:
            before = fillings[i].percent
            if ratio >= OVER_RATIO and before <= 50:
                after = 0.0
            elif slack < 0:
                after = before * max(0.0, 1.0 + slack / max(adds, 1e-9))
            else:
                given = GIVE_BACK * slack / len(matter) / full[i]
                after = before + 100 * given
            paces[i] = min(paces[i], max(0, min(100, round(after))))
    return paces
