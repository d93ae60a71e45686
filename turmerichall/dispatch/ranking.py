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
        overdue: Whether the tasks are long-running, and urgent tasks have kept
            them waiting for too long.
        waiting_seconds: Time for which a task of the group has waited.
        age_seconds: Age of the job.
        objective_seconds: Time within which the job should be done.
        remaining_seconds: Minimum time that the rest of the job takes.
    """

    priority: int
    lasting: bool
    restart: bool
    overdue: bool
    waiting_seconds: float
    age_seconds: float
    objective_seconds: float
    remaining_seconds: float


def rank(factors: Factors) -> tuple[int, int, float]:
    """Return a sort key; the group with the lowest key is placed first.

    Long-running tasks come after urgent ones that can still be on time: an
    urgent task needs its room for a second, and soon has no value, while a
    long-running task that waits loses only that second.  Among themselves,
    those that have waited longest come first, and where urgent work has kept
    some away for too long, they come before it.

    Examples:
        >>> urgent = Factors(0, False, False, False, 0.0, 0.0, 2.0, 1.0)
        >>> batch = Factors(2, False, False, False, 9.0, 9.0, 11.0, 5.0)
        >>> restart = Factors(0, True, True, False, 1.0, 0.0, 2.0, 1.0)
        >>> overdue = restart._replace(overdue=True)
        >>> sorted([batch, urgent, restart, overdue], key=rank) == [
        ...     overdue, urgent, restart, batch]
        True
    """
    if factors.lasting:
        if factors.overdue:
            order = 1
        else:
            order = 3 if factors.restart else 4
        return factors.priority, order, -factors.waiting_seconds
    slack = (
        factors.objective_seconds
        - factors.age_seconds
        - factors.remaining_seconds
    )
    late_slack = slack + (LATE_FACTOR - 1.0) * factors.objective_seconds
    if slack >= 0:
        return factors.priority, 2, slack
    if late_slack >= 0:
        return factors.priority, 5, late_slack
    return factors.priority, 6, factors.age_seconds


def is_on_time(group_rank: tuple[int, int, float]) -> bool:
    """Return whether a rank is that of a job that can meet its objective."""
    return group_rank[1] == 2
