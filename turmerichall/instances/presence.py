"""Presence of entry instances in the replicated state."""

import enum
from typing import Protocol

from turmerichall.instances import instance

__all__ = ["Instances", "Presence", "is_valid_transition"]


class Presence(enum.StrEnum):
    """Presence of an entry instance, which limits its use of its shares.

    A present instance uses its full shares of the workers' limits.  An absent
    instance uses only a reserved fraction of its shares, and others use the
    rest.  Before an absent instance is present again, it is returning for some
    time, during which the others stop using its shares.
    """

    PRESENT = "present"
    ABSENT = "absent"
    RETURNING = "returning"


class Instances(Protocol):
    """Registered entry instances and their presence.

    `state.machine.StateMachine` implements it.
    """

    instances: dict[str, instance.Instance]

    def presence(self, name: str) -> Presence:
        """Return the presence of an entry instance."""


_PREDECESSORS = {
    Presence.ABSENT: (Presence.PRESENT, Presence.RETURNING),
    Presence.RETURNING: (Presence.ABSENT,),
    Presence.PRESENT: (Presence.RETURNING,),
}


def is_valid_transition(before: Presence, after: Presence) -> bool:
    """Return whether an instance may change from one presence to another.

    Examples:
        >>> is_valid_transition(Presence.ABSENT, Presence.PRESENT)
        False
        >>> is_valid_transition(Presence.ABSENT, Presence.RETURNING)
        True
    """
    return before in _PREDECESSORS[after]
