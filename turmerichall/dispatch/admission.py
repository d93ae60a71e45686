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
from turmerichall.dispatch import ranking

__all__ = ["JobEstimate", "admit"]

# How far the prediction is trusted: jobs are refused only if the wait is
# expected to be this many times what would make them worthless.
WAIT_MARGIN = 1.25
# Returns are spread over this share of the time until they make sense.
RETRY_SPREAD = 0.5
MAX_RETRY_SECONDS = 30.0


class JobEstimate(NamedTuple):
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
    unschedulable: str
    objective_seconds: float
    critical_path_seconds: float
    work_ahead: float
    rate: float
    age_seconds: float = 0.0


def admit(estimate: JobEstimate) -> outcomes.Refusal | None:
    """Returns None to accept a job, or why not and when to come back.

    Examples:
        >>> calm = JobEstimate("a7", False, "", 6.0, 3.0, 100.0, 50.0)
        >>> admit(calm) is None
        True
        >>> burst = calm._replace(work_ahead=2000.0)
        >>> admit(burst).reason
        <RefusalReason.DEADLINE: 'deadline'>
    """
    if estimate.unschedulable:
        return outcomes.Refusal(
            outcomes.RefusalReason.NEVER_FITS, estimate.unschedulable
        )
    if estimate.lasting or estimate.rate <= 0:
        return None
    wait = estimate.work_ahead / estimate.rate
    worthless_after = ranking.LATE_FACTOR * estimate.objective_seconds
    max_wait = max(worthless_after - estimate.critical_path_seconds, 0.0)
    if wait <= WAIT_MARGIN * max_wait:
        return None
    excess = wait - max_wait
    spread = (
        RETRY_SPREAD
        * excess
        * xxhash.xxh3_64_intdigest(estimate.job.encode())
        / 2**64
    )
    return outcomes.Refusal(
        outcomes.RefusalReason.DEADLINE,
        f"about {wait:.0f} s of work wait, more than {max_wait:.0f} s",
        min(math.ceil(excess + spread), MAX_RETRY_SECONDS),
    )
