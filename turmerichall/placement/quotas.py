"""Quotas of teams: what each holds, what it may borrow, and its share."""

from turmerichall import outcomes
from turmerichall import resources

__all__ = ["Quotas"]

# A team may hold this many times its quota while others leave room.
BORROWING_RATIO = 2.0


class Quotas:
    """What the batch work of each team holds against its quota.

    Attributes:
        limits: Quota by team; a team without one is not limited.
        used: Resources held by running batch tasks, by team.
        total: Capacity of the fleet, for shares of teams without a quota.
        shares: Shares found since the team's use last changed.
    """

    def __init__(self) -> None:
        self.limits: dict[str, resources.Resources] = {}
        self.used: dict[str, resources.Resources] = {}
        self.total = resources.NOTHING
        self.shares: dict[str, float] = {}

    def set_limit(self, team: str, limit: resources.Resources | None) -> None:
        """Sets a team's quota; None for no limit."""
        self.shares.pop(team, None)
        if limit is None:
            self.limits.pop(team, None)
        else:
            self.limits[team] = limit

    def add(self, team: str, size: resources.Resources) -> None:
        """Counts a started task."""
        self.shares.pop(team, None)
        self.used[team] = self.used.get(team, resources.NOTHING).plus(size)

    def subtract(self, team: str, size: resources.Resources) -> None:
        """Counts an ended task."""
        self.shares.pop(team, None)
        self.used[team] = self.used.get(team, resources.NOTHING).minus(size)

    def share(self, team: str) -> float:
        """Returns the dominant share of its quota that a team holds.

        References:
            Ghodsi et al., "Dominant Resource Fairness", NSDI 2011, section 4.
        """
        found = self.shares.get(team)
        if found is None:
            found = self.share_with(team, resources.NOTHING)
            self.shares[team] = found
        return found

    def share_with(self, team: str, more: resources.Resources) -> float:
        """Returns the dominant share that a team would hold with `more`."""
        used = self.used.get(team, resources.NOTHING).plus(more)
        limit = self.limits.get(team, self.total)
        return max(
            amount / limited if limited > 0 else (2.0 if amount > 0 else 0.0)
            for amount, limited in zip(used, limit, strict=True)
        )

    def borrows(self, team: str, more: resources.Resources) -> bool:
        """Tells whether `more` would go beyond the team's quota."""
        return team in self.limits and self.share_with(team, more) > 1.0 + 1e-9

    def refuse(
        self, team: str, more: resources.Resources
    ) -> outcomes.Refusal | None:
        """Refuses `more` if the team may not even borrow it."""
        if team not in self.limits:
            return None
        if self.share_with(team, more) <= BORROWING_RATIO + 1e-9:
            return None
        held = self.used.get(team, resources.NOTHING)
        limit = self.limits[team]
        detail = (
            f"team {team} holds {held.processors:g} of"
            f" {limit.processors:g} processors of its quota"
            f" and may borrow up to {BORROWING_RATIO:g} times the quota"
        )
        return outcomes.Refusal(outcomes.RefusalReason.OVER_QUOTA, detail)
