"""Quotas of teams, their current use and how far they may be exceeded.

A team borrows when it uses more than its quota.  Its dominant share is the
largest, over all kinds of resource, of the share of the quota that it uses.
"""

from turmerichall import outcomes
from turmerichall import resources

__all__ = ["Quotas"]

# While capacity is free, a team may use up to this multiple of its quota.
BORROWING_RATIO = 2.0


class Quotas:
    """Quotas of all teams, with the resources that their batch tasks use.

    Attributes:
        limits: Quota by team; a team without one is not limited.
        used: Total declared size of the batch tasks placed, by team.
        total: Capacity of all workers, which replaces the quota in the dominant
            share of a team without one.
        shares: Cached dominant shares by team.
    """

    def __init__(self) -> None:
        self.limits: dict[str, resources.Resources] = {}
        self.used: dict[str, resources.Resources] = {}
        self.total = resources.ZERO
        self.shares: dict[str, float] = {}

    def set_limit(self, team: str, limit: resources.Resources | None) -> None:
        """Set the quota of a team; None removes the limit."""
        self.shares.pop(team, None)
        if limit is None:
            self.limits.pop(team, None)
        else:
            self.limits[team] = limit

    def add(self, team: str, size: resources.Resources) -> None:
        """Add the size of a started batch task to the use of its team."""
        self.shares.pop(team, None)
        self.used[team] = self.used.get(team, resources.ZERO).plus(size)

    def subtract(self, team: str, size: resources.Resources) -> None:
        """Subtract the size of an ended batch task from the use of its team."""
        self.shares.pop(team, None)
        self.used[team] = self.used.get(team, resources.ZERO).minus(size)

    def share(self, team: str) -> float:
        """Return the dominant share of its quota that a team uses.

        References:
            Ghodsi et al., "Dominant Resource Fairness", NSDI 2011, section 4.
        """
        found = self.shares.get(team)
        if found is None:
            found = self.share_with(team, resources.ZERO)
            self.shares[team] = found
        return found

    def share_with(self, team: str, more: resources.Resources) -> float:
        """Return the dominant share of a team if it also used `more`."""
        used = self.used.get(team, resources.ZERO).plus(more)
        limit = self.limits.get(team, self.total)
        return max(
            amount / limited if limited > 0 else (2.0 if amount > 0 else 0.0)
            for amount, limited in zip(used, limit, strict=True)
        )

    def borrows(self, team: str, more: resources.Resources) -> bool:
        """Return whether using `more` as well would exceed a team's quota."""
        return team in self.limits and self.share_with(team, more) > 1.0 + 1e-9

    def refuse(
        self, team: str, more: resources.Resources
    ) -> outcomes.Refusal | None:
        """Return a refusal if a team must not also use `more`, or None.

        It must not if it would exceed `BORROWING_RATIO` times its quota.
        """
        if team not in self.limits:
            return None
        if self.share_with(team, more) <= BORROWING_RATIO + 1e-9:
            return None
        held = self.used.get(team, resources.ZERO)
        limit = self.limits[team]
        detail = (
            f"team {team} holds {held.processors:g} of"
            f" {limit.processors:g} processors of its quota"
            f" and may borrow up to {BORROWING_RATIO:g} times the quota"
        )
        return outcomes.Refusal(outcomes.RefusalReason.OVER_QUOTA, detail)
