"""Which jobs are turned away at the door, and when they should come back.

Answers bursts above capacity, in which every accepted job would otherwise
finish too late to be worth anything, and jobs that no worker can hold.  A job
is turned away only if it would be worthless by a margin: a refusal while there
is room costs the caller more than a late answer.
"""

import math
from typing import NamedTuple

import xxhash

from turmerichall import outcomes
from turmerichall.dispatch import ordering

__all__ = ["Outlook", "admit"]

# How far the prediction is trusted: jobs are refused only if the wait is
# expected to be this many times what would make them worthless.
MARGIN = 1.25
# Returns are spread over this share of the time until they make sense.
SPREAD = 0.5
LONGEST_RETRY_SECONDS = 30.0


class Outlook(NamedTuple):
    """What the decision is made from.

    Attributes:
        job: Id of the job, by which returns are spread.
        lasting: Whether its tasks run until it is canceled.
        misfit: Why no worker could ever hold some task, or empty.
        objective_seconds: In which it should be done.
        chain_seconds: That it takes at least.
        work_ahead: Work that waits and goes first, core-seconds.
        rate: Processors that work like it gets, cores.
        age_seconds: Age of the workers' figures behind the rate.
    """

    job: str
    lasting: bool
    misfit: str
    objective_seconds: float
    chain_seconds: float
    work_ahead: float
    rate: float
    age_seconds: float = 0.0


def admit(outlook: Outlook) -> outcomes.Refusal | None:
    """Returns None to accept a job, or why not and when to come back.

    Examples:
        >>> calm = Outlook("a7", False, "", 6.0, 3.0, 100.0, 50.0)
        >>> admit(calm) is None
        True
        >>> burst = calm._replace(work_ahead=2000.0)
        >>> admit(burst).reason
        <RefusalReason.DEADLINE: 'deadline'>
    """
    if outlook.misfit:
        return outcomes.Refusal(
            outcomes.RefusalReason.NEVER_FITS, outlook.misfit
        )
    if outlook.lasting or outlook.rate <= 0:
        return None
    wait = outlook.work_ahead / outlook.rate
    worthless_after = ordering.LATE_FACTOR * outlook.objective_seconds
    bearable = max(worthless_after - outlook.chain_seconds, 0.0)
    if wait <= MARGIN * bearable:
        return None
    back = wait - bearable
    spread = (
        SPREAD * back * xxhash.xxh3_64_intdigest(outlook.job.encode()) / 2**64
    )
    return outcomes.Refusal(
        outcomes.RefusalReason.DEADLINE,
        f"about {wait:.0f} s of work wait, more than {bearable:.0f} s",
        min(math.ceil(back + spread), LONGEST_RETRY_SECONDS),
    )
