"""Rank of a group of waiting batch tasks by what is left to do of its job."""

import math
from typing import NamedTuple

from turmerichall.dispatch import ranking
from turmerichall.dispatch.waiting_order import order

__all__ = ["BatchFactors", "class_ends_at", "rank_batch"]

# Classes of `ranking.rank`, of which batch tasks have these; the first is not
# used there.
STARVED_CLASS = 0
ON_TIME_CLASS = 2
LATE_CLASS = 5
WORTHLESS_CLASS = 6

# Fractions of remaining work are compared in steps of 1 / FRACTION_STEPS, so
# that among jobs that are about as far, the second criterion decides.
FRACTION_STEPS = 20
# Weight of a step of the fraction against the second criterion, which is a time
# on the steady clock: more than such a time is, and small enough for it to keep
# its milliseconds in a float.
STEP_WEIGHT = 1e9


class BatchFactors(NamedTuple):
    """Factors that determine the rank of a group of waiting batch tasks.

    Attributes:
        now: Current time on the steady clock.
        priority: Priority of its queue; 0 is the highest.
        age_seconds: Age of the job.
        objective_seconds: Time within which the job should be done.
        remaining_seconds: Forecast time of all that is left to do of the job.
        fraction: Share of the job's work that is not done.
        starved: Whether the job goes first because it has waited for too long.
    """

    now: float
    priority: int
    age_seconds: float
    objective_seconds: float
    remaining_seconds: float
    fraction: float
    starved: bool = False


def rank_batch(factors: BatchFactors) -> order.Rank:
    """Return a sort key; the group with the lowest key is placed first.

    The key of a job of which no task is running doesn't change until
    `class_ends_at`, so that it can be kept.

    Examples:
        >>> new = BatchFactors(50.0, 2, 0.0, 8.0, 4.0, 1.0)
        >>> nearly_done = new._replace(age_seconds=3.0, fraction=0.1)
        >>> tight = new._replace(age_seconds=3.0)
        >>> late = new._replace(age_seconds=5.0, fraction=0.1)
        >>> late_new = new._replace(age_seconds=9.0)
        >>> worthless = new._replace(age_seconds=21.0, fraction=0.1)
        >>> starved = worthless._replace(starved=True)
        >>> groups = [late_new, new, worthless, nearly_done, starved, late,
        ...     tight]
        >>> sorted(groups, key=rank_batch) == [
        ...     starved, nearly_done, tight, new, late, late_new, worthless]
        True
    """
    now, priority, age, objective, remaining, fraction, starved = factors
    if starved:
        return priority, STARVED_CLASS, -age
    steps = math.ceil(fraction * FRACTION_STEPS) * STEP_WEIGHT
    slack = objective - age - remaining
    if slack >= 0:
        return priority, ON_TIME_CLASS, steps + now + slack
    has_value = slack + (ranking.LATE_FACTOR - 1.0) * objective >= 0
    late_class = LATE_CLASS if has_value else WORTHLESS_CLASS
    return priority, late_class, steps + now - age


def class_ends_at(factors: BatchFactors, waiting_seconds: float) -> float:
    """Return the time at which a job that waits falls into the next class.

    Args:
        factors: Factors of the job.
        waiting_seconds: The part of its remaining time that doesn't pass while
            it waits; see `remainder.Remainder`.

    Examples:
        >>> new = BatchFactors(50.0, 2, 0.0, 8.0, 4.0, 1.0)
        >>> class_ends_at(new, 3.0), class_ends_at(
        ...     new._replace(age_seconds=9.0), 3.0)
        (55.0, 62.0)
    """
    for limit in (1.0, ranking.LATE_FACTOR):
        left = limit * factors.objective_seconds - factors.age_seconds
        if left >= factors.remaining_seconds:
            return factors.now + left - waiting_seconds
    return math.inf
