"""Groups of waiting tasks that have found no room for some time."""

from collections.abc import Iterable, Sequence

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch.backfill import claim as claim_types
from turmerichall.dispatch.waiting_order import order

__all__ = ["BLOCKED_SECONDS", "BlockedGroups", "urgency_of"]

# Time for which a group finds no room before it gets reservations.  The
# tightest objective leaves a job 0.25 s and half of its run time to wait.
BLOCKED_SECONDS = 0.25
# Maximum number of groups with reservations: as many of the first in rank as of
# those that have waited longest.  Three of each gained no more in mixed load,
# and cost 1.4 to 2.7 ms more a round at 100 and 176 workers.
MAX_GROUPS_PER_CHOICE = 1
# Time after which a group without a start gives its reservations up, so that a
# wrong forecast does not bind others for ever, and must be blocked again.
MAX_HOLD_SECONDS = 30.0
# Lowest class of rank of long-running tasks that go before others because
# urgent work kept them waiting; see `ranking.rank`.
MIN_LASTING_CLASS = 3
HIGHEST_PRIORITY = 0


def urgency_of(ranked: order.RankedGroup) -> claim_types.Urgency:
    """Return the urgency of a group, by which reservations bind it.

    Work of the highest priority waits only for work that has less time left, as
    its objectives leave it no time for more.  Other work is as urgent as the
    rest of its class.  Reservations of long-running tasks bind no urgent ones,
    which may preempt those.
    """
    priority, rank_class, order_in_class = ranked.rank
    if ranked.group.step.lasting:
        rank_class = max(rank_class, MIN_LASTING_CLASS)
    if priority > HIGHEST_PRIORITY:
        order_in_class = 0.0
    return priority, rank_class, order_in_class


class _Blocked:
    """What is known of a blocked group.

    Attributes:
        since: Time since which it is blocked.
        waits_since: Time since which none of its tasks has started.
        held_since: Time since which it holds reservations; infinite if it holds
            none.
        held: Ids of the workers of its latest reservations.
    """

    __slots__ = ("held", "held_since", "since", "waits_since")

    def __init__(self, since: float):
        self.since = since
        self.waits_since = since
        self.held_since = float("inf")
        self.held: frozenset[str] = frozenset()


class BlockedGroups:
    """The blocked groups of one term's leader."""

    def __init__(self) -> None:
        self._blocked: dict[backlogs.GroupName, _Blocked] = {}

    def since(self, name: backlogs.GroupName) -> float:
        """Return the time since which a group is blocked; infinite if not."""
        blocked = self._blocked.get(name)
        return blocked.since if blocked else float("inf")

    def choose(
        self, ranked: Sequence[order.RankedGroup], now: float
    ) -> list[order.RankedGroup]:
        """Return the groups that get reservations, in the order of the rank.

        Args:
            ranked: The waiting groups in the order in which they are placed.
            now: Current time on the steady clock.
        """
        if not self._blocked:
            return []
        eligible = [
            each
            for each in ranked
            if now - self.since(each.group.name) >= BLOCKED_SECONDS
            and _may_be_blocked(each.group, now)
        ]
        longest = sorted(
            eligible[MAX_GROUPS_PER_CHOICE:],
            key=lambda each: (each.group.waiting_since, each.number),
        )
        chosen = eligible[:MAX_GROUPS_PER_CHOICE]
        chosen += sorted(longest[:MAX_GROUPS_PER_CHOICE])
        return chosen

    def describe(self, ranked: order.RankedGroup) -> claim_types.BlockedGroup:
        """Return what reservations for a blocked group are made from."""
        group = ranked.group
        blocked = self._blocked[group.name]
        return claim_types.BlockedGroup(
            group.name,
            group.queue.service,
            group.step,
            len(group.waiting),
            group.siblings(),
            urgency_of(ranked),
            blocked.waits_since,
            blocked.held,
        )

    def record_claims(
        self, claims: Iterable[claim_types.Claim], now: float
    ) -> None:
        """Record the reservations of a round.

        Args:
            claims: The reservations.
            now: Current time on the steady clock.
        """
        by_group: dict[backlogs.GroupName, list[claim_types.Claim]] = {}
        for claim in claims:
            by_group.setdefault(claim.group, []).append(claim)
        for name, blocked in self._blocked.items():
            rows = by_group.get(name, [])
            blocked.held = frozenset(claim.worker_id for claim in rows)
            blocked.held_since = (
                min(blocked.held_since, now) if rows else float("inf")
            )
            if now - blocked.held_since > MAX_HOLD_SECONDS:
                blocked.since = now

    def record_placed(self, name: backlogs.GroupName, now: float) -> None:
        """Record that tasks of a group were placed.

        The rest of a group that holds reservations keeps them; another group is
        not blocked any more.

        Args:
            name: Name of the group.
            now: Current time on the steady clock.
        """
        blocked = self._blocked.get(name)
        if blocked is None:
            return
        if blocked.held:
            blocked.waits_since = blocked.held_since = now
        else:
            del self._blocked[name]

    def end_round(
        self, ranked: Sequence[order.RankedGroup], now: float
    ) -> None:
        """Record which groups are blocked after a placing round.

        Args:
            ranked: The groups of the round.
            now: Current time on the steady clock.
        """
        before = self._blocked
        self._blocked = {}
        for each in ranked:
            group = each.group
            if _may_be_blocked(group, now):
                blocked = before.get(group.name)
                self._blocked[group.name] = blocked or _Blocked(now)


def _may_be_blocked(group: backlogs.TaskGroup, now: float) -> bool:
    """Return whether a group waits for nothing but room.

    The policy of a queue grants workers for a short time only, so groups with a
    policy hold no reservations.
    """
    if not group.waiting or now < group.paused_until:
        return False
    if group.queue.advice is not None:
        return False
    return not group.step.gang or len(group.waiting) == group.step.count
