"""Interface of the orders in which groups of waiting tasks are placed."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from turmerichall.dispatch import backlog as backlogs

__all__ = ["Rank", "RankedGroup", "WaitingOrder"]

# Sort key of a group; see `ranking.rank`.
Rank = tuple[int, int, float]


class RankedGroup(NamedTuple):
    """A group of waiting tasks with its place in the order.

    Attributes:
        rank: Sort key; the group with the lowest is placed first.
        number: Position among groups of the same rank.
        group: The group.
    """

    rank: Rank
    number: int
    group: backlogs.TaskGroup


class WaitingOrder(Protocol):
    """An order of waiting groups."""

    def ranked(
        self, groups: Sequence[backlogs.TaskGroup], now: float, now_ms: int
    ) -> list[RankedGroup]:
        """Return the groups in the order in which they are placed.

        Args:
            groups: Groups with waiting tasks; their queue is brought up to
                date.
            now: Current time on the steady clock.
            now_ms: Current time in ms since 1970.
        """
