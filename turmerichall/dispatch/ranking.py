"""Order in which waiting tasks are placed.

It matters under load above capacity, when not all waiting work can finish in
time: small urgent work must not queue behind large batch work, jobs that can
still meet their objective go before those that can't, and jobs that are too
late to have any value go last.
"""

from typing import NamedTuple

__all__ = ["Factors", "rank"]

# A late job has value until its age is this many times its objective.
LATE_FACTOR = 3.0


class Factors(NamedTuple):
    """Factors that determine the rank of a group of waiting tasks.

    Attributes:
        priority: Priority of its queue; 0 is the highest.
        lasting: Whether the tasks are long-running.
        restart: Whether the tasks are long-running and a task of the job has
            run before.
        age_seconds: Age of the job.
        objective_seconds: Time within which the job should be done.
        remaining_seconds: Minimum time that the rest of the job takes.
    """

    priority: int
    lasting: bool
    restart: bool
    age_seconds: float
    objective_seconds: float
    remaining_seconds: float


def rank(factors: Factors) -> tuple[int, int, float]:
    """Return a sort key; the group with the lowest key is placed first.

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
