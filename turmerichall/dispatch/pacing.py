"""How fast tasks that fill may run beside lasting tasks.

Answers interference that depends on the pair of images, beside lasting tasks
whose own load rises and falls within seconds.  The filling tasks that slow a
lasting task together may add as much as keeps its tail below a margin at the
load that is expected next; what slows nothing keeps its pace.  Beside that, all
tasks of a worker slow each other once they use more processors than it has.

References:
    Lo et al., "Heracles: Improving Resource Efficiency at Scale", 2015: a
    control loop on each machine grows and disables best-effort work by the
    slack of the latency-critical tasks.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ["Filling", "HARMLESS", "Service", "bearable", "percents"]

# Of the target: what tails are held below.
MARGIN = 0.9
# Slowdown of a lasting task by one filling one that does not matter.
HARMLESS = 0.04
# Slowdown of lasting tasks by use beyond the worker's processors, as shares of
# them; measured on recorded looks at 0.9 to 1.1 of each.
CROWDING = 1.0
# Share of the processors up to which tasks don't crowd each other.
UNCROWDED = 0.95
# Rise of a pace in one look, percent: tails show it only after the next one.
RISE_PERCENT = 30
# Over its target for as long as this, everything that fills beside a task is
# stopped, seconds.
LONG_OVER_SECONDS = 1.5

Weight = Callable[[str, str], float]


class Service(NamedTuple):
    """One lasting task, or the worst placed of several.

    Attributes:
        image: Its image.
        idle: Its tail without load and neighbours, as a share of its target.
        load: Share of time in use that is expected next, without neighbours.
        over_seconds: For how long its tail has been over its target; 0 if it
            is not.
        is_unexplained: Whether its tail is well above what the load and the
            known neighbours explain.
    """

    image: str
    idle: float
    load: float
    over_seconds: float = 0.0
    is_unexplained: bool = False


class Filling(NamedTuple):
    """One filling task beside lasting tasks.

    Attributes:
        image: Its image.
        share: Share of the worker's processors that it uses at full pace.
        percent: Its pace, as it was last told.
    """

    image: str
    share: float
    percent: int = 100


def bearable(idle: float, load: float, margin: float = MARGIN) -> float:
    """Returns the slowdown by which a tail reaches a share of its target.

    Args:
        idle: Tail without load and neighbours, as a share of the target.
        load: Share of time in use without neighbours.
        margin: The share of the target.

    Examples:
        >>> round(bearable(0.2, 0.4), 2), round(bearable(0.2, 0.8), 2)
        (0.94, -0.03)
    """
    return (1.0 - idle / margin) / max(load, 0.01) - 1.0


def percents(
    fillings: Sequence[Filling],
    services: Sequence[Service],
    spare: float,
    weight: Weight,
    cautious: Weight,
) -> list[int]:
    """Returns the pace of each filling task.

    Those that slow a lasting task most are held back first, as that costs the
    least work.

    Args:
        fillings: The filling tasks of one worker.
        services: The lasting tasks beside them.
        spare: Share of the processors that all others leave soon.
        weight: Gives by how much a whole worker of a filling image slows a
            lasting image.
        cautious: The same, as much as may well be.

    Examples:
        >>> def weight(lasting, filling):
        ...     return 4.0 if filling == "sort" else 0.0
        >>> fillings = [Filling("sort", 0.1), Filling("scan", 0.3)]
        >>> def paces(load, spare=0.6):
        ...     service = Service("desk", 0.2, load)
        ...     return percents(fillings, [service], spare, weight, weight)
        >>> paces(0.4), paces(0.65), paces(0.77)
        ([100, 100], [49, 100], [3, 100])
        >>> paces(0.75, spare=0.25)
        [0, 74]
    """
    paces = [min(100, max(0, f.percent) + RISE_PERCENT) for f in fillings]
    crowd = sum(f.share for f in fillings) - max(spare, 0.0)
    for service in services:
        if service.over_seconds > LONG_OVER_SECONDS:
            return [0] * len(fillings)
        doubtful = service.over_seconds > 0 or service.is_unexplained
        guess = cautious if doubtful else weight
        slows = [guess(service.image, f.image) for f in fillings]
        cuts = _cuts(fillings, slows, service, max(crowd, 0.0))
        for i, cut in enumerate(cuts):
            paces[i] = min(paces[i], round(100 * (1 - cut)))
    return paces


def _cuts(
    fillings: Sequence[Filling],
    slows: Sequence[float],
    service: Service,
    crowd: float,
) -> list[float]:
    """Returns the share of its pace that each filling task gives up.

    Args:
        fillings: The filling tasks.
        slows: By how much a whole worker of each slows the lasting task.
        service: The lasting task.
        crowd: Share of the processors that is asked for beyond all of them.
    """
    cuts = [0.0] * len(fillings)
    # Where the load alone brings the tail over its target, holding back what
    # adds little would help nobody.
    if bearable(service.idle, service.load, 1.0) <= 0:
        crowd = 0.0
    added = [
        slow * f.share if slow * f.share > HARMLESS else 0.0
        for slow, f in zip(slows, fillings)
    ]
    room = max(bearable(service.idle, service.load), 0.0)
    excess = sum(added) + CROWDING * crowd - room
    order = sorted(range(len(fillings)), key=lambda i: slows[i], reverse=True)
    for i in order:
        if excess <= 0:
            break
        relief = added[i] + CROWDING * min(fillings[i].share, crowd)
        if relief <= 0:
            continue
        cuts[i] = min(1.0, excess / relief)
        excess -= cuts[i] * relief
        crowd = max(crowd - cuts[i] * fillings[i].share, 0.0)
    return cuts
