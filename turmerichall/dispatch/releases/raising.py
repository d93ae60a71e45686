"""Decision whether the level in force may be raised.

Answers replicas of two releases in one cluster, and a replica that comes back
with an earlier release: a change of a later level ends its process at each
start, for good.

`release_watch.ReleaseWatch` asks for it, on the leader.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["Member", "MemberLevels", "find_holds", "highest_common"]

# How long a replica counts that is a member no more.
FORMER_MEMBER_SECONDS = 3600.0


class Member(NamedTuple):
    """What is known of a replica.

    Attributes:
        level: Highest level that it reads; -1 if it has not told in this term.
        member_at: When it was last seen as a voter or learner, in seconds.
        connected: Whether it is connected now.
    """

    level: int
    member_at: float
    connected: bool


class MemberLevels:
    """Levels that the replicas of the last hour read.

    Attributes:
        own_name: Name of this replica.
        own_level: Level that it reads.
        members: Replicas by name.
    """

    def __init__(self, own_name: str, own_level: int):
        self.own_name = own_name
        self.own_level = own_level
        self.members: dict[str, Member] = {}

    def observe(
        self, names: Iterable[str], connected: Mapping[str, int], now: float
    ) -> None:
        """Record who is a member, and which levels the connected ones read.

        Args:
            names: Names of all voters and learners.
            connected: Levels of the connected replicas, by name.
            now: Current time on a steady clock.
        """
        for name in names:
            known = self.members.get(name, Member(-1, now, False))
            self.members[name] = known._replace(member_at=now)
        for name, member in list(self.members.items()):
            if now - member.member_at > FORMER_MEMBER_SECONDS:
                del self.members[name]
                continue
            level = connected.get(name, member.level)
            if name == self.own_name:
                level = self.own_level
            self.members[name] = member._replace(
                level=level,
                connected=name in connected or name == self.own_name,
            )


def find_holds(members: Mapping[str, Member], level: int) -> list[str]:
    """Return why a level may not be put in force, a reason for each replica.

    Args:
        members: Replicas of the last hour, by name.
        level: The level.

    Examples:
        >>> find_holds({"b": Member(1, 0.0, True)}, 2)
        ['b: reads levels up to 1']
        >>> find_holds({"c": Member(-1, 0.0, False)}, 2)
        ['c: has not been connected to this leader']
    """
    holds = []
    for name, member in sorted(members.items()):
        if member.level < 0:
            holds.append(f"{name}: has not been connected to this leader")
        elif member.level < level:
            holds.append(f"{name}: reads levels up to {member.level}")
    return holds


def highest_common(members: Mapping[str, Member], latest: int) -> int:
    """Return the highest level that all replicas of the last hour read.

    Args:
        members: Replicas of the last hour, by name.
        latest: Highest level that this release reads.
    """
    return min([latest, *(member.level for member in members.values())])
