"""Members of the cluster, and membership changes.

Each membership change adds, removes or promotes one member, so any majority
before the change and any majority after it have a member in common.

References:
    Diego Ongaro, "Consensus: Bridging Theory and Practice", chapter 4.
"""

from typing import NamedTuple, Protocol

__all__ = [
    "Member",
    "Members",
    "find",
    "learners",
    "majority_value",
    "next_change",
    "update_addresses",
    "voters",
    "with_name",
]


class Member(NamedTuple):
    """A replica that is a voter or a learner.

    Attributes:
        name: Name of the instance.
        identity: Id of its data folder; changes when the disk is lost.
        address: Where the instance accepts connections, host:port.
        voter: Whether it votes and counts towards a majority; a learner does
            not.
    """

    name: str
    identity: str
    address: str
    voter: bool = True


Members = tuple[Member, ...]


class AddressBook(Protocol):
    """Addresses of the other instances; see `peers.network`."""

    name: str
    addresses: dict[str, str]

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of the other instances."""


def voters(members: Members) -> Members:
    """Return the members that vote."""
    return tuple(member for member in members if member.voter)


def learners(members: Members) -> Members:
    """Return the members that do not vote yet."""
    return tuple(member for member in members if not member.voter)


def find(members: Members, identity: str) -> Member | None:
    """Return the member with an identity; None if there is no such member."""
    for member in members:
        if member.identity == identity:
            return member
    return None


def with_name(members: Members, name: str) -> Members:
    """Return the members of an instance.

    There are two while a lost disk is being replaced.
    """
    return tuple(member for member in members if member.name == name)


def majority_value(values: list[float]) -> float:
    """Return the greatest value that a majority of the voters has reached.

    Args:
        values: Values that only grow, such as log indexes, one per voter.

    Returns:
        The value; -inf without voters.

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
    departing: tuple[str, ...] = (),
    unresponsive: tuple[str, ...] = (),
    leader: str = "",
    lapsed: frozenset[str] = frozenset(),
) -> Members | None:
    """Return the next membership change, if one is due.

    A voter whose disk is lost, or that does not answer, is removed or demoted
    before a learner is promoted in its place: otherwise the loss of that
    learner in the next moment would leave half of an even number of voters.  A
    voter that still answers and is about to stop is demoted last, so that the
    loss of another voter leaves a majority at each step.

    Args:
        members: The current members.
        caught_up: Identities of the learners that have caught up.
        max_voters: Number of voters at which further learners wait until a
            voter can be replaced; 0 for no limit.
        departing: Identities of the voters that answer and are about to stop.
        unresponsive: Identities of the voters that do not answer.
        leader: Identity of the leader, which stays a voter.
        lapsed: Identities of the learners to remove.

    Returns:
        The members after the change; None if no change is due.

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
        >>> both = next_change((old, other), frozenset(["2"]), 1, ("1",))
        >>> [each.voter for each in both]
        [True, True]
        >>> after = next_change(both, frozenset(), 1, ("1",))
        >>> [each.voter for each in after]
        [False, True]
        >>> after = next_change((old, other), frozenset(["2"]), 1, (), ("1",))
        >>> [each.voter for each in after]
        [False, False]
    """
    count = len(voters(members))
    # An even number of voters bears no more losses than one voter less.
    if 0 < max_voters < count and count % 2 == 0:
        wanted = departing + unresponsive
        return _demote(members, _surplus_voter(members, wanted, leader))
    full = 0 < max_voters <= count
    for learner in learners(members):
        if learner.identity not in caught_up:
            continue
        for other in with_name(members, learner.name):
            if other.identity != learner.identity:
                return without(members, other.identity)
        if full and not departing:
            replaced = [find(members, each) for each in unresponsive[:1]]
            if replaced and replaced[0] is not None:
                return _demote(members, replaced[0])
            continue
        promoted = learner._replace(voter=True)
        return without(members, learner.identity) + (promoted,)
    for learner in learners(members):
        if max_voters and learner.identity in lapsed:
            return without(members, learner.identity)
    return None


def _surplus_voter(
    members: Members, wanted: tuple[str, ...], leader: str
) -> Member:
    """Return the voter to demote: the first wanted one, or the newest."""
    for identity in wanted:
        found = find(members, identity)
        if found is not None and found.voter:
            return found
    others = [each for each in voters(members) if each.identity != leader]
    lost = [each for each in others if len(with_name(members, each.name)) > 1]
    return (lost or others)[-1]


def _demote(members: Members, voter: Member) -> Members:
    return tuple(
        each._replace(voter=False) if each == voter else each
        for each in members
    )


def without(members: Members, identity: str) -> Members:
    """Return the members except the one with an identity."""
    return tuple(member for member in members if member.identity != identity)


def update_addresses(network: AddressBook, members: Members) -> None:
    """Add the addresses of all members but this one to those of a network."""
    known = dict(network.addresses)
    for each in members:
        if each.address and each.name != network.name:
            known[each.name] = each.address
    if known != network.addresses:
        network.set_addresses(known)
