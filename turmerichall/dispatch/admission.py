"""Admission control: which jobs are refused, and when callers may retry.

In a burst above capacity, every accepted job would otherwise finish too late to
have any value.  A job is refused only if its expected wait exceeds, by a
margin, the longest wait after which its result still has value, because a
refusal while there is room costs the caller more than a late answer.  Jobs that
no worker could ever run are refused at once.
"""

import math
from typing import NamedTuple

import xxhash

from turmerichall import outcomes
from turmerichall.dispatch import ranking

__all__ = ["JobEstimate", "admit"]

# A job is refused only if its expected wait is more than this many times the
# longest wait after which its result still has value, because the prediction
# may be off.
WAIT_MARGIN = 1.25
# Maximum jitter of retry times, as a share of the time until a retry can
# succeed.
RETRY_SPREAD = 0.5
MAX_RETRY_SECONDS = 30.0


class JobEstimate(NamedTuple):
    """Estimates for a submitted job, on which admission is decided.

    Attributes:
        job: Id of the job, from which the jitter of retry times is derived.
        lasting: Whether any task is long-running, or the job is recurring.
        unschedulable: Why a task of the job could never run on any worker;
            empty if all tasks could.
        objective_seconds: Time within which the job should be done.
        critical_path_seconds: Minimum time that the job takes.
        work_ahead: Waiting work that is served before the job, in core-seconds.
        rate: Processors, in cores, that tasks of the job's kind (best-effort or
            other batch tasks) use or could use.
        age_seconds: Age of the measurements by workers from which the rate is
            computed.
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
    """Return None to accept a job, or a refusal with its reason.

    A refusal for overload says after how many seconds to retry.

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
