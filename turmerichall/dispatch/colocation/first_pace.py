"""First pace of best-effort tasks beside images that they were not seen with.

Load addressed: a new best-effort image arrives beside many long-running tasks
at once, one in five pairs does harm (9 of 45 recorded pairs, by 2 to 5 for a
whole worker), and a task that starts at full pace raises the tail latency
above its target before the first poll shows it.

Until a pair was observed enough, it is taken for a harmful one as far as
evidence allows: the assumed weight falls from that of a heavy pair to the
learned one as samples accumulate, and paces follow from it.  A small share of
the processors is granted in spite of it, since a pair that never runs is never
learned.
"""

from collections.abc import Callable, Collection, Sequence
import math
from typing import NamedTuple

__all__ = [
    "KNOWN_STRENGTH",
    "MAX_UNKNOWN_PAIRS",
    "NewTask",
    "Pair",
    "assumed_weight",
    "is_one_too_many",
    "pace_limits",
]

# Strength of the evidence from which on a pair is known, in squared shares of a
# worker's processors: about 15 samples of a task that uses a tenth of them.  A
# weight stored without strength counts as much.
KNOWN_STRENGTH = 0.15
# Strength without any evidence, the prior of the interference model.
PRIOR_STRENGTH = 0.015
# Slowdown by an unknown pair for a whole worker that is added to the learned
# one.  With the prior it is 5, that of the most harmful recorded pair.  In
# replays, 2 takes a quarter more time over the target at first encounters.
UNKNOWN_SLOWDOWN = 4.0
# Share of a worker's processors that all unknown best-effort tasks beside one
# long-running task may use in any case.  The most harmful recorded pair then
# slows it by 0.12.
PROBE_SHARE = 0.025
# Growth of that share per second since the first encounter of a pair.  A pair
# that can't be compared with undisturbed tasks would stay unknown otherwise.
# Pacing by tail latencies still limits it.
PROBE_GROWTH_PER_SECOND = 0.04
# Levels of the limits; the lowest is never gone below, so that each pair is
# learned.
LEVELS_PERCENT = (25, 50, 100)
# Maximum number of best-effort images that are observed beside one long-running
# task at a time.  With more, evidence can't be attributed to one of them.
MAX_UNKNOWN_PAIRS = 2


class NewTask(NamedTuple):
    """A best-effort task that may be unknown to a long-running one.

    Attributes:
        image: Its image.
        share: Share of the worker's processors that it uses at full pace.
        seconds: Time since the first encounter of the two images anywhere.
    """

    image: str
    share: float
    seconds: float


class Pair(NamedTuple):
    """What was learned about a best-effort image beside a long-running one.

    Attributes:
        weight: Learned slowdown by a task that uses the whole worker.
        strength: Evidence for it, in squared shares of a worker's processors.
    """

    weight: float
    strength: float

    @property
    def is_unknown(self) -> bool:
        """Whether the pair was not observed enough."""
        return self.strength < KNOWN_STRENGTH


def assumed_weight(pair: Pair) -> float:
    """Return the slowdown to assume for a pair.

    Examples:
        >>> assumed_weight(Pair(1.0, 0.015)), assumed_weight(Pair(0.1, 0.15))
        (5.0, 0.1)
        >>> round(assumed_weight(Pair(0.2, 0.06)), 2)
        1.28
    """
    if not pair.is_unknown:
        return pair.weight
    known = math.sqrt(PRIOR_STRENGTH / KNOWN_STRENGTH)
    doubt = math.sqrt(PRIOR_STRENGTH / max(pair.strength, PRIOR_STRENGTH))
    return pair.weight + UNKNOWN_SLOWDOWN * (doubt - known) / (1.0 - known)


def pace_limits(
    tasks: Sequence[NewTask],
    pair_of: Callable[[str], Pair],
    tolerable_slowdown: float,
) -> list[int]:
    """Return the highest pace of each task beside a long-running one.

    Tasks of known pairs have no limit here.  Limits go in steps, since each
    change is an order and interrupts the observation.

    Args:
        tasks: The best-effort tasks beside the long-running one.
        pair_of: Returns what was learned about an image beside it.
        tolerable_slowdown: Slowdown that it tolerates at its present load.

    Examples:
        >>> known, unknown = Pair(5.0, 1.0), Pair(1.0, 0.015)
        >>> pairs = {"known": known, "a": unknown, "b": unknown, "c": unknown}
        >>> tasks = [NewTask(image, 0.1, 0.0) for image in pairs]
        >>> pace_limits(tasks[:2], pairs.__getitem__, 0.3)
        [100, 50]
        >>> pace_limits(tasks[:2], pairs.__getitem__, -0.1)
        [100, 25]
        >>> pace_limits(tasks, pairs.__getitem__, 0.3)
        [100, 25, 25, 0]
    """
    pairs = {task.image: pair_of(task.image) for task in tasks}
    observed: dict[str, float] = {}
    for task in sorted(tasks, key=lambda task: task.seconds, reverse=True):
        if pairs[task.image].is_unknown and (
            task.image in observed or len(observed) < MAX_UNKNOWN_PAIRS
        ):
            observed[task.image] = observed.get(task.image, 0.0) + task.share
    slowdown = sum(
        assumed_weight(pairs[image]) * share
        for image, share in observed.items()
    )
    bearable = tolerable_slowdown / max(slowdown, 1e-6)
    share = max(sum(observed.values()), 1e-6)
    limits = []
    for task in tasks:
        if not pairs[task.image].is_unknown:
            limits.append(100)
        elif task.image not in observed:
            limits.append(0)
        else:
            probe = PROBE_SHARE + PROBE_GROWTH_PER_SECOND * task.seconds
            limits.append(_floor_level(max(bearable, probe / share)))
    return limits


def _floor_level(pace: float) -> int:
    """Return the highest level up to a pace, or the lowest, in percent."""
    return max(
        (level for level in LEVELS_PERCENT if level <= 100 * pace + 0.5),
        default=LEVELS_PERCENT[0],
    )


def is_one_too_many(
    image: str, others: Collection[str], is_unknown: Callable[[str], bool]
) -> bool:
    """Return whether an unknown image has to wait for others to become known.

    Args:
        image: Image of the task to place.
        others: Images of the best-effort tasks that run there.
        is_unknown: Whether an image was not observed enough beside the
            long-running task.

    Examples:
        >>> is_one_too_many("c", ["a", "b"], lambda image: True)
        True
        >>> is_one_too_many("a", ["a", "b"], lambda image: True)
        False
        >>> is_one_too_many("c", ["a", "b"], lambda image: image != "b")
        False
    """
    return (
        is_unknown(image)
        and image not in others
        and sum(is_unknown(other) for other in others) >= MAX_UNKNOWN_PAIRS
    )
