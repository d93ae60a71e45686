"""In which order waiting tasks are offered room.

Answers load above capacity, in which what waits can't all finish in time:
small urgent work must not stand behind large batch work, a job that still can
meet its objective goes before one that can't, and what is worthless by now
goes last.
"""

from typing import NamedTuple

__all__ = ["Factors", "rank"]

# Of its objective: until then a job is worth something, late.
LATE_FACTOR = 3.0


class Factors(NamedTuple):
    """What decides when a group of waiting tasks is offered room.

    Attributes:
        priority: Of its queue; 0 comes first.
        lasting: Whether the tasks run until the job is cancelled.
        restart: Whether one of them has run before.
        age_seconds: Since the job's time began to count.
        objective_seconds: In which the job should be done.
        remaining_seconds: That the rest of the job takes at least.
    """

    priority: int
    lasting: bool
    restart: bool
    age_seconds: float
    objective_seconds: float
    remaining_seconds: float


def rank(factors: Factors) -> tuple[int, int, float]:
    """Returns a key by which the first one is offered room first.

    Examples:
        >>> urgent = Factors(0, False, False, 0.0, 2.0, 1.0)
        >>> batch = Factors(2, False, False, 9.0, 11.0, 5.0)
        >>> restart = Factors(0, True, True, 0.0, 2.0, 1.0)
        >>> sorted([batch, urgent, restart], key=rank) == [
        ...     restart, urgent, batch]
        True
    """
    if factors.lasting:
        return (
            factors.priority,
            0 if factors.restart else 1,
            -factors.age_seconds,
        )
    slack = (
        factors.objective_seconds
        - factors.age_seconds
        - factors.remaining_seconds
    )
    late_slack = slack + (LATE_FACTOR - 1.0) * factors.objective_seconds
    if slack >= 0:
        return factors.priority, 2, slack
    if late_slack >= 0:
        return factors.priority, 3, late_slack
    return factors.priority, 4, factors.age_seconds
