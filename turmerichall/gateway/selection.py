"""Which backend server gets a request."""

import random
from collections.abc import Sequence
from typing import Protocol

from turmerichall.gateway import pool as pools

__all__ = [
    "LeastLoaded",
    "RandomChoice",
    "RoundRobin",
    "Selector",
    "from_name",
]

CHOICES = 3
# A server of another zone is taken when its score is lower by this factor.
OTHER_ZONE_PENALTY = 2.0


class Selector(Protocol):
    """Chooses among the servers that have a free slot."""

    def choose(
        self, pools_with_room: Sequence[pools.Pool], now: float
    ) -> pools.Pool:
        """Returns one of at least one pool."""


class RandomChoice:
    """Chooses any server, as a baseline."""

    def __init__(self, generator: random.Random):
        self.random = generator

    def choose(
        self, pools_with_room: Sequence[pools.Pool], now: float
    ) -> pools.Pool:
        """Returns one at random."""
        del now
        return self.random.choice(pools_with_room)


class RoundRobin:
    """Chooses each server in turn, as a baseline."""

    def __init__(self) -> None:
        self.turn = 0

    def choose(
        self, pools_with_room: Sequence[pools.Pool], now: float
    ) -> pools.Pool:
        """Returns the next in order."""
        del now
        self.turn += 1
        return pools_with_room[self.turn % len(pools_with_room)]


class LeastLoaded:
    """Chooses the least loaded of a few, weighted by what was learnt.

    The few are drawn from the own zone.  Those of other zones are compared
    only when the best of the own zone is loaded or weak.

    References:
        The power of two choices: M. Mitzenmacher, IEEE TPDS 12(10), 2001.
    """

    def __init__(self, zone: str, generator: random.Random):
        self.zone = zone
        self.random = generator

    def choose(
        self, pools_with_room: Sequence[pools.Pool], now: float
    ) -> pools.Pool:
        """Returns the one with the lowest score."""
        own = [pool for pool in pools_with_room if pool.told.zone == self.zone]
        others = [
            pool for pool in pools_with_room if pool.told.zone != self.zone
        ]
        if not own:
            return self._best(others, now)[1]
        score, best = self._best(own, now)
        if not others:
            return best
        other_score, other = self._best(others, now)
        return other if other_score * OTHER_ZONE_PENALTY < score else best

    def _best(
        self, candidates: Sequence[pools.Pool], now: float
    ) -> tuple[float, pools.Pool]:
        if len(candidates) > CHOICES:
            candidates = self.random.sample(candidates, CHOICES)
        scored = [(pool.score(now), pool) for pool in candidates]
        return min(scored, key=lambda item: item[0])


def from_name(
    name: str, zone: str, generator: random.Random | None = None
) -> Selector:
    """Makes a selector.

    Args:
        name: `least_loaded`, `round_robin` or `random`.
        zone: Own availability zone.
        generator: Source of random numbers.

    Returns:
        The selector.

    Raises:
        ValueError: There is no selector of that name.
    """
    source = generator or random.Random()
    if name == "least_loaded":
        return LeastLoaded(zone, source)
    if name == "round_robin":
        return RoundRobin()
    if name == "random":
        return RandomChoice(source)
    raise ValueError(f"{name!r} is not least_loaded, round_robin or random")
