"""Rank of a group of waiting batch tasks by what is left to do of its job."""

import math
from typing import NamedTuple

from turmerichall.dispatch import ranking
from turmerichall.dispatch.waiting_order import order

__all__ = ["BatchFactors", "rank_batch"]

# Classes of `ranking.rank`, of which batch tasks have these; the first is not
# used there.
STARVED_CLASS = 0
ON_TIME_CLASS = 2
LATE_CLASS = 5
WORTHLESS_CLASS = 6

# Fractions of remaining work are compared in steps of 1 / FRACTION_STEPS, so
# that among jobs that are about as far, the second criterion decides.
FRACTION_STEPS = 20
# Limit of the second criterion in seconds; more than the life of any job.
MAX_SECONDS = 1e6


class BatchFactors(NamedTuple):
    """Factors that determine the rank of a group of waiting batch tasks.

    Attributes:
        priority: Priority of its queue; 0 is the highest.
        age_seconds: Age of the job.
        objective_seconds: Time within which the job should be done.
        remaining_seconds: Forecast time of all that is left to do of the job.
        fraction: Share of the job's work that is not done.
        starved: Whether the job goes first because it has waited for too long.
    """

    priority: int
    age_seconds: float
    objective_seconds: float
    remaining_seconds: float
    fraction: float
    starved: bool = False


def rank_batch(factors: BatchFactors) -> order.Rank:
    """Return a sort key; the group with the lowest key is placed first.

    Examples:
        >>> new = BatchFactors(2, 0.0, 8.0, 4.0, 1.0)
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
    priority, age, objective, remaining, fraction, starved = factors
    if starved:
        return priority, STARVED_CLASS, -age
    slack = objective - age - remaining
    steps = math.ceil(fraction * FRACTION_STEPS) * 2 * MAX_SECONDS
    if slack >= 0:
        return priority, ON_TIME_CLASS, steps + min(slack, MAX_SECONDS)
    has_value = slack + (ranking.LATE_FACTOR - 1.0) * objective >= 0
    late_class = LATE_CLASS if has_value else WORTHLESS_CLASS
    return priority, late_class, steps - min(age, MAX_SECONDS)
