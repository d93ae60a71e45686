"""Fair shares of capacity between queues and zones of callers.

It addresses waves of callers of one zone, or bursts of one queue, that fill the
waiting line so that the jobs of all others become late too.  A group is one
queue and one zone of callers.  Each may have capacity in proportion to what it
has demanded over a long time; what a group leaves unused goes to the others
(max-min fairness), so a group that demands no more than usual does not pay for
one that surges.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

__all__ = ["Group", "GroupLoad", "Shares", "fair_rates"]

# Time constant of the demand to which capacity is given: the length of a burst.
RECENT_SECONDS = 5.0
# Time constant of the demand by which groups are weighted.  It spans many
# periods of the callers' waves, the longest known of which is 13 s; with 60 s,
# a surge of 10 s raised the share of its own group too much in replays.
USUAL_SECONDS = 180.0
# A group has too little if its share is this many times what it was given; it
# lies between the callers' waves of 15 %, which every line absorbs, and those
# of 55 %, which make the jobs of other zones late.
TOLERANCE = 1.25
# Maximum number of groups; the zones of callers come from other processes.
MAX_GROUPS = 256
# Groups that demand less than this, in core-seconds, are forgotten.
NEGLIGIBLE_WORK = 1e-3


class Group(NamedTuple):
    """Jobs that share capacity with those of other groups as one.

    Attributes:
        queue: Key of their queue.
        zone: Availability zone of their callers; empty if unknown.
    """

    queue: str
    zone: str


class GroupLoad(NamedTuple):
    """Demand of a group, in cores.

    Attributes:
        weight: What it usually demands.
        demand: What it demands now.
    """

    weight: float
    demand: float


def fair_rates(
    loads: Mapping[Group, GroupLoad], capacity: float
) -> dict[Group, float]:
    """Return the capacity that each group should have, in cores.

    No group gets more than it demands; the others share the rest by weight.

    Examples:
        >>> near, far = Group("q", "a"), Group("q", "b")
        >>> fair_rates({near: GroupLoad(1.0, 9.0), far: GroupLoad(1.0, 2.0)}, 8)
        {Group(queue='q', zone='b'): 2.0, Group(queue='q', zone='a'): 6.0}
    """
    rates = {}
    left = capacity
    weight_left = sum(load.weight for load in loads.values())
    # Groups with the least demand for their weight are satisfied first.
    ordered = sorted(
        loads.items(),
        key=lambda row: row[1].demand / max(row[1].weight, 1e-12),
    )
    for group, load in ordered:
        part = left * load.weight / weight_left if weight_left > 0 else left
        rates[group] = min(load.demand, part)
        left -= rates[group]
        weight_left -= load.weight
    return rates


class _DecayingSum:
    """Sum of work that decays exponentially, as a rate in cores."""

    __slots__ = ("at", "seconds", "total")

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.total = 0.0
        self.at = 0.0

    def add(self, work: float, now: float) -> None:
        """Add work in core-seconds at a time on the steady clock."""
        self.total = self.rate(now) * self.seconds + work
        self.at = now

    def rate(self, now: float) -> float:
        """Return the rate at a time on the steady clock, in cores."""
        decay = math.exp(-max(now - self.at, 0.0) / self.seconds)
        return self.total * decay / self.seconds


class _Usage:
    """Demanded and accepted work of a group."""

    __slots__ = ("accepted", "recent", "usual")

    def __init__(self) -> None:
        self.recent = _DecayingSum(RECENT_SECONDS)
        self.usual = _DecayingSum(USUAL_SECONDS)
        self.accepted = _DecayingSum(RECENT_SECONDS)


class Shares:
    """Demanded and accepted work of all groups that share one capacity.

    Attributes:
        usage: Work of each group.
    """

    def __init__(self) -> None:
        self.usage: dict[Group, _Usage] = {}

    def group(self, queue: str, zone: str) -> Group:
        """Return the group of a job, which has no zone if there are too many.

        Args:
            queue: Key of its queue.
            zone: Availability zone of its caller.
        """
        group = Group(queue, zone)
        if group in self.usage or len(self.usage) < MAX_GROUPS:
            return group
        return Group(queue, "")

    def record_demand(self, group: Group, work: float, now: float) -> None:
        """Record the first submission of a job.

        Args:
            group: Its group.
            work: Its work in core-seconds.
            now: Current time on the steady clock.
        """
        usage = self.usage.setdefault(group, _Usage())
        usage.recent.add(work, now)
        usage.usual.add(work, now)

    def record_accepted(self, group: Group, work: float, now: float) -> None:
        """Record that a job was accepted and can be on time.

        See `record_demand` for the arguments.
        """
        self.usage.setdefault(group, _Usage()).accepted.add(work, now)

    def is_over(self, group: Group, now: float) -> bool:
        """Return whether a group has too much and another too little.

        The work of the job that is decided upon does not count, so that large
        jobs are not treated worse than small ones.

        Args:
            group: The group.
            now: Current time on the steady clock.
        """
        accepted = {
            each: usage.accepted.rate(now) for each, usage in self.usage.items()
        }
        rates = fair_rates(self._loads(now), sum(accepted.values()))
        if accepted.get(group, 0.0) <= rates.get(group, 0.0):
            return False
        return any(
            accepted[other] * TOLERANCE < rate for other, rate in rates.items()
        )

    def lowest_acceptance(self, now: float) -> float:
        """Return the lowest ratio of accepted to demanded work of a group.

        It is 1 if there is no demand, and may exceed 1 while jobs that were
        refused before are accepted.

        Args:
            now: Current time on the steady clock.
        """
        return min(
            (
                usage.accepted.rate(now) / recent
                for usage in self.usage.values()
                if (recent := usage.recent.rate(now)) > NEGLIGIBLE_WORK
            ),
            default=1.0,
        )

    def forget_idle(self, now: float) -> None:
        """Forget the groups that have demanded nothing for long."""
        for group, usage in list(self.usage.items()):
            if usage.usual.rate(now) * USUAL_SECONDS < NEGLIGIBLE_WORK:
                del self.usage[group]

    def _loads(self, now: float) -> dict[Group, GroupLoad]:
        return {
            group: GroupLoad(usage.usual.rate(now), usage.recent.rate(now))
            for group, usage in self.usage.items()
        }
