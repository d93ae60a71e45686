"""Choice of the backend server for a request."""

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

SAMPLE_SIZE = 3
# A server of another zone is chosen only if its score (see `pool.Pool.score`),
# multiplied by this, is lower than that of the best server of the own zone.
OTHER_ZONE_PENALTY = 2.0


class Selector(Protocol):
    """A policy that chooses among the servers that have a free slot."""

    def choose(self, available: Sequence[pools.Pool], now: float) -> pools.Pool:
        """Return one of the pools, of which there is at least one."""


class RandomChoice:
    """A baseline policy that chooses a server at random."""

    def __init__(self, generator: random.Random):
        self.random = generator

    def choose(self, available: Sequence[pools.Pool], now: float) -> pools.Pool:
        """Return a random pool."""
        del now
        return self.random.choice(available)


class RoundRobin:
    """A baseline policy that chooses the servers in turn."""

    def __init__(self) -> None:
        self.next_index = 0

    def choose(self, available: Sequence[pools.Pool], now: float) -> pools.Pool:
        """Return the next pool in order."""
        del now
        self.next_index += 1
        return available[self.next_index % len(available)]


class LeastLoaded:
    """A policy that chooses the least loaded of a few random servers.

    Load is weighted by the health of each server.  Servers of the own zone are
    preferred; those of other zones are chosen only if their load is much lower.

    References:
        The power of two choices: M. Mitzenmacher, IEEE TPDS 12(10), 2001.
    """

    def __init__(self, zone: str, generator: random.Random):
        self.zone = zone
        self.random = generator

    def choose(self, available: Sequence[pools.Pool], now: float) -> pools.Pool:
        """Return the least loaded pool, preferring the own zone."""
        own = [
            pool for pool in available if pool.announcement.zone == self.zone
        ]
        others = [
            pool for pool in available if pool.announcement.zone != self.zone
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
        if len(candidates) > SAMPLE_SIZE:
            candidates = self.random.sample(candidates, SAMPLE_SIZE)
        scored = [(pool.score(now), pool) for pool in candidates]
        return min(scored, key=lambda item: item[0])


def from_name(
    name: str, zone: str, generator: random.Random | None = None
) -> Selector:
    """Create a selector.

    Args:
        name: `least_loaded`, `round_robin` or `random`.
        zone: Availability zone of this instance.
        generator: Source of random numbers; a new one by default.

    Returns:
        The selector.

    Raises:
        ValueError: There is no selector of that name.
    """
    generator_or_new = generator or random.Random()
    if name == "least_loaded":
        return LeastLoaded(zone, generator_or_new)
    if name == "round_robin":
        return RoundRobin()
    if name == "random":
        return RandomChoice(generator_or_new)
    raise ValueError(f"{name!r} is not least_loaded, round_robin or random")
