"""The decision whether a job is accepted, and when its caller should return.

It addresses bursts above capacity.  A caller measures a job's time from its
first attempt, so waiting outside costs as much as waiting in line, and a
refusal only helps if the job would otherwise be done in vain or keep others
from being on time.
"""

import enum
import math
from typing import NamedTuple

import xxhash

from turmerichall.dispatch import ranking

__all__ = ["Cause", "Decision", "Inputs", "decide"]

# A job is taken for worthless only if its predicted wait is more than this many
# times the longest wait after which it has value; as in `admission`.
WAIT_MARGIN = 1.25
# Share of the wait up to which a new job is on time that a group over its share
# may use; the rest of the line is left to others.  In replays of a zone beside
# one that surges, 0.65 gained the zone little more than half as much.
RESERVED_WINDOW = 0.5
# Share of its objective up to which a job that can't be on time may wait; jobs
# that are new can still be on time behind it.
LATE_WINDOW = 0.15
# Callers retry up to four times, so that a job that was refused this often is
# refused again only if it would be worthless.
MAX_REFUSALS = 3
# HTTP allows only whole seconds, and at most `MAX_RETRY_SECONDS` are sent.
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 30
# Return times that can't follow the line are spread over the time in which the
# job still has value, from this share of it on.
EARLIEST_RETURN = 0.5
LATEST_RETURN = 0.9


class Cause(enum.StrEnum):
    """Why a job was accepted or refused."""

    # Accepted.
    SPARE = "spare"
    ON_TIME = "on_time"
    LATE = "late"
    # Refused.
    OVER_SHARE = "over_share"
    DISPLACING = "displacing"
    WORTHLESS = "worthless"


class Inputs(NamedTuple):
    """What is known of a submitted job.

    Attributes:
        job: Id of the job, by which return times are spread.
        objective_seconds: Time from its first submission within which it should
            be done.
        age_seconds: Time since its first submission, as far as known.
        service_seconds: Time that it takes once it is served.
        wait_seconds: Wait behind jobs that can be on time, and behind places of
            such jobs.
        long_wait_seconds: Wait behind all waiting jobs and places.
        on_time_return_seconds: As `wait_seconds`, with all jobs that were
            refused, are not back yet and can be on time.
        return_seconds: As `long_wait_seconds`, with all jobs that were refused
            and are not back yet.
        has_spare: Whether processors are free that no waiting task can use.
        is_over_share: Whether its group has had more than its share.
        refusals: Number of times that it was refused before.
    """

    job: str
    objective_seconds: float
    age_seconds: float
    service_seconds: float
    wait_seconds: float
    long_wait_seconds: float
    on_time_return_seconds: float
    return_seconds: float
    has_spare: bool
    is_over_share: bool
    refusals: int = 0

    @property
    def on_time_wait(self) -> float:
        """Longest wait after which the job is on time; may be negative."""
        return self.objective_seconds - self.age_seconds - self.service_seconds

    @property
    def useful_wait(self) -> float:
        """Longest wait after which the job has value; may be negative."""
        useful_seconds = ranking.LATE_FACTOR * self.objective_seconds
        return useful_seconds - self.age_seconds - self.service_seconds


class Decision(NamedTuple):
    """A decision.

    Attributes:
        cause: Why it was made.
        retry_seconds: Whole seconds after which the caller should return; None
            if the job is accepted.
        can_succeed: Whether the job can have value if the caller does.
    """

    cause: Cause
    retry_seconds: int | None = None
    can_succeed: bool = True


def decide(inputs: Inputs) -> Decision:
    """Return whether to accept a job.

    Examples:
        >>> calm = Inputs(
        ...     "a7", 6.6, 0.0, 2.8, 1.0, 1.0, 1.0, 1.0, False, True)
        >>> decide(calm).cause
        <Cause.ON_TIME: 'on_time'>
        >>> busy = calm._replace(
        ...     wait_seconds=3.0, on_time_return_seconds=3.0)
        >>> decide(busy)
        Decision(cause=<Cause.OVER_SHARE: 'over_share'>, retry_seconds=2, \
can_succeed=True)
        >>> decide(busy._replace(is_over_share=False)).cause
        <Cause.ON_TIME: 'on_time'>
        >>> decide(busy._replace(has_spare=True)).cause
        <Cause.SPARE: 'spare'>
    """
    if inputs.refusals and inputs.useful_wait <= 0:
        return Decision(Cause.WORTHLESS, MAX_RETRY_SECONDS, False)
    if inputs.has_spare:
        return Decision(Cause.SPARE)
    if inputs.wait_seconds <= inputs.on_time_wait:
        return _decide_on_time(inputs)
    if inputs.long_wait_seconds > WAIT_MARGIN * max(inputs.useful_wait, 0.0):
        return _refuse_worthless(inputs)
    # A late job displaces none that are on time if those still find a short
    # line.
    if (
        inputs.refusals >= MAX_REFUSALS
        or inputs.wait_seconds <= LATE_WINDOW * inputs.objective_seconds
    ):
        return Decision(Cause.LATE)
    retry_seconds = math.ceil(max(inputs.return_seconds, MIN_RETRY_SECONDS))
    if retry_seconds > min(inputs.useful_wait, MAX_RETRY_SECONDS):
        # The line of those to return is longer than the job has value.
        retry_seconds = _spread_return(inputs)
    if retry_seconds > inputs.useful_wait:
        return Decision(Cause.LATE)
    cause = Cause.OVER_SHARE if inputs.is_over_share else Cause.DISPLACING
    return Decision(cause, retry_seconds)


def _decide_on_time(inputs: Inputs) -> Decision:
    """Decide on a job that can be on time."""
    limit = RESERVED_WINDOW * inputs.on_time_wait
    if (
        inputs.is_over_share
        and not inputs.refusals
        and inputs.wait_seconds > limit
    ):
        retry_seconds = math.ceil(
            max(inputs.on_time_return_seconds - limit, MIN_RETRY_SECONDS)
        )
        if retry_seconds <= min(inputs.on_time_wait, MAX_RETRY_SECONDS):
            return Decision(Cause.OVER_SHARE, retry_seconds)
    return Decision(Cause.ON_TIME)


def _refuse_worthless(inputs: Inputs) -> Decision:
    """Refuse a job that would have no value when done.

    If it has value left, its caller should return while it has: the prediction
    may be off.  If not, the caller should stay away until the line is gone.
    """
    retry_seconds = _spread_return(inputs)
    if retry_seconds <= inputs.useful_wait:
        return Decision(Cause.WORTHLESS, retry_seconds)
    seconds = inputs.long_wait_seconds * (1.0 + _fraction(inputs.job) / 2)
    retry_seconds = max(math.ceil(seconds), MIN_RETRY_SECONDS)
    return Decision(
        Cause.WORTHLESS, min(retry_seconds, MAX_RETRY_SECONDS), False
    )


def _spread_return(inputs: Inputs) -> int:
    """Return a time at which the job still has value, if it has any left."""
    share = EARLIEST_RETURN + _fraction(inputs.job) * (
        LATEST_RETURN - EARLIEST_RETURN
    )
    seconds = max(share * inputs.useful_wait, MIN_RETRY_SECONDS)
    return min(math.floor(seconds), MAX_RETRY_SECONDS)


def _fraction(job: str) -> float:
    """Return a number from 0 to 1 that depends on the id of a job only."""
    return xxhash.xxh3_64_intdigest(job.encode()) / 2**64
