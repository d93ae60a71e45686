"""Members of the cluster and the steps by which their set changes.

One step changes one member, so any majority before the step and any majority
after it have a member in common.

References:
    Diego Ongaro, "Consensus: Bridging Theory and Practice", chapter 4.
"""

from typing import NamedTuple, Protocol

__all__ = [
    "Member",
    "Members",
    "find",
    "update_addresses",
    "learners",
    "majority_value",
    "with_name",
    "next_change",
    "voters",
]


class Member(NamedTuple):
    """One replica.

    Attributes:
        name: Name of the instance.
        identity: Id of its disk; a lost disk comes back under another one.
        address: Where the instance accepts connections, host:port.
        voter: Whether it votes and counts for a majority.
    """

    name: str
    identity: str
    address: str
    voter: bool = True


Members = tuple[Member, ...]


class AddressBook(Protocol):
    """What keeps the addresses of other instances."""

    name: str
    addresses: dict[str, str]

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replaces the addresses."""


def voters(members: Members) -> Members:
    """Returns the members that vote."""
    return tuple(member for member in members if member.voter)


def learners(members: Members) -> Members:
    """Returns the members that are not caught up yet."""
    return tuple(member for member in members if not member.voter)


def find(members: Members, identity: str) -> Member | None:
    """Returns the member with an identity; None if there is none."""
    for member in members:
        if member.identity == identity:
            return member
    return None


def with_name(members: Members, name: str) -> Members:
    """Returns the members of an instance; two while a disk is replaced."""
    return tuple(member for member in members if member.name == name)


def majority_value(values: list[float]) -> float:
    """Returns the greatest value that a majority has reached.

    Args:
        values: One value for each voter.

    Returns:
        The value; -inf if there is no voter.

    Examples:
        >>> majority_value([7, 3, 5])
        5
        >>> majority_value([7, 3, 5, 4])
        4
    """
    if not values:
        return -float("inf")
    return sorted(values)[(len(values) - 1) // 2]


def next_change(
    members: Members,
    caught_up: frozenset[str],
    max_voters: int = 0,
    unresponsive: frozenset[str] = frozenset(),
) -> Members | None:
    """Chooses the next step for learners that have caught up.

    The voter whose disk a learner replaces is removed first.

    Args:
        members: The current members.
        caught_up: Identities of learners that have caught up.
        max_voters: Voters to keep; further learners wait until a voter is
            unresponsive.  0 for any number.
        unresponsive: Identities of voters that have been unresponsive for long.

    Returns:
        The members after one step; None if there is no step to take.

    Examples:
        >>> old = Member("a", "1", "", True)
        >>> new = Member("a", "2", "", False)
        >>> next_change((old, new), frozenset()) is None
        True
        >>> next_change((old, new), frozenset(["2"])) == (new,)
        True
        >>> next_change((new,), frozenset(["2"]))[0].voter
        True
        >>> other = Member("b", "2", "", False)
        >>> next_change((old, other), frozenset(["2"]), 1) is None
        True
        >>> next_change((old, other), frozenset(["2"]), 1, frozenset(["1"]))
        (Member(name='b', identity='2', address='', voter=False),)
    """
    for learner in learners(members):
        if learner.identity not in caught_up:
            continue
        for other in with_name(members, learner.name):
            if other.identity != learner.identity:
                return without(members, other.identity)
        if max_voters and len(voters(members)) >= max_voters:
            gone = [
                each
                for each in voters(members)
                if each.identity in unresponsive
            ]
            return without(members, gone[0].identity) if gone else None
        promoted = learner._replace(voter=True)
        return without(members, learner.identity) + (promoted,)
    return None


def without(members: Members, identity: str) -> Members:
    """Returns the members but the one with an identity."""
    return tuple(member for member in members if member.identity != identity)


def update_addresses(network: AddressBook, members: Members) -> None:
    """Adds the members' addresses to those that settings named."""
    known = dict(network.addresses)
    for each in members:
        if each.address and each.name != network.name:
            known[each.name] = each.address
    if known != network.addresses:
        network.set_addresses(known)
