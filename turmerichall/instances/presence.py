"""Whether an entry instance is there, as the replicated state has it."""

import enum
from typing import Protocol

from turmerichall.instances import instance

__all__ = ["Instances", "Presence", "is_valid_transition"]


class Presence(enum.StrEnum):
    """What the others may take an instance for.

    An instance that is absent uses little of its parts of the workers' limits,
    and others use the rest.  Before it uses them again it is returning for a
    while, in which the others stop.
    """

    PRESENT = "present"
    ABSENT = "absent"
    RETURNING = "returning"


class Instances(Protocol):
    """The list of instances; `state.machine.StateMachine` holds it."""

    instances: dict[str, instance.Instance]

    def presence(self, name: str) -> Presence:
        """Returns what an entry instance is taken for."""


_FROM = {
    Presence.ABSENT: (Presence.PRESENT, Presence.RETURNING),
    Presence.RETURNING: (Presence.ABSENT,),
    Presence.PRESENT: (Presence.RETURNING,),
}


def is_valid_transition(before: Presence, after: Presence) -> bool:
    """Tells whether one presence may be followed by another.

    Examples:
        >>> is_valid_transition(Presence.ABSENT, Presence.PRESENT)
        False
        >>> is_valid_transition(Presence.ABSENT, Presence.RETURNING)
        True
    """
    return before in _FROM[after]
