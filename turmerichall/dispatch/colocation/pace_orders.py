"""Hysteresis of pace orders.

Load addressed: the load of long-running tasks rises and falls within 10 s, so
the pace that keeps a tail latency below its target is a different one at each
poll.  Sending each of them took 22,000 to 24,000 orders in a day of 34 s on 176
workers, each a call of the leader, which has 0.86 of a core.

A reduction is sent at once, and somewhat lower than necessary, so that the next
poll of a rising load needs no other.  An increase is sent only if it gains
enough work to pay for the order and for the reduction that follows at the next
peak.
"""

from typing import NamedTuple

__all__ = ["PaceOrder", "PacedRun", "next_order"]

UNKNOWN_PERCENT = -1
# Reductions by less are not sent, except those to 0.
MIN_CUT_PERCENT = 8
# Amount by which a reduction goes below the pace that is tolerable now.  In
# replays, 10 takes a tenth fewer orders than 0, and a third less time over the
# target for an eighth more work that is lost.
CUT_RESERVE_PERCENT = 10
# Increases by less are not sent, except those to the full pace, which end the
# throttling.
MIN_RISE_PERCENT = 20
MIN_RISE_TO_FULL_PERCENT = 10
# Share of an increase that is kept back, unless it is to the full pace, so that
# the next poll doesn't take it back.
RISE_RESERVE = 0.2
# Time between two orders for a run of which the second is an increase: the
# platform applies a pace after 0.1 s, and tail latencies, measured over half a
# second, show it at the second poll.
MIN_SECONDS_BEFORE_RISE = 0.8
# Time for which an increase is expected to last, a fifth of a wave of load.
RISE_LASTS_SECONDS = 2.0
# Work that an increase must gain, in core seconds; chosen, not measured: twice
# as much made no difference in replays.
MIN_GAIN_CORE_SECONDS = 0.3


class PacedRun(NamedTuple):
    """What decides whether the pace of a run is changed.

    Attributes:
        percent: Pace that was last set; negative if unknown.
        cores: Processors that it uses at full pace.
        seconds_since_order: Time since the last order was answered.
        remaining_seconds: Expected time to its end at full pace.
    """

    percent: int
    cores: float
    seconds_since_order: float
    remaining_seconds: float


class PaceOrder(NamedTuple):
    """An order to change a pace.

    Attributes:
        percent: The new pace.
        reason: `unknown`, `cut` or `rise`, for the counter of orders.
    """

    percent: int
    reason: str


def next_order(run: PacedRun, tolerable_percent: int) -> PaceOrder | None:
    """Return the order to send for a run, or None to leave its pace.

    Args:
        run: The run.
        tolerable_percent: Highest pace at which tail latencies stay below their
            targets.

    Examples:
        >>> run = PacedRun(60, 1.8, 0.2, 1.5)
        >>> next_order(run, 57), next_order(run, 90)
        (None, None)
        >>> next_order(run, 40)
        PaceOrder(percent=30, reason='cut')
        >>> next_order(run._replace(seconds_since_order=1.2), 90)
        PaceOrder(percent=84, reason='rise')
        >>> next_order(run, 0)
        PaceOrder(percent=0, reason='cut')
    """
    if run.percent < 0:
        return PaceOrder(tolerable_percent, "unknown")
    difference = tolerable_percent - run.percent
    if difference < 0:
        if tolerable_percent > 0 and -difference < MIN_CUT_PERCENT:
            return None
        return PaceOrder(max(tolerable_percent - CUT_RESERVE_PERCENT, 0), "cut")
    if run.seconds_since_order < MIN_SECONDS_BEFORE_RISE:
        return None
    if tolerable_percent < 100:
        difference = int(difference * (1.0 - RISE_RESERVE))
        minimum = MIN_RISE_PERCENT
    else:
        minimum = MIN_RISE_TO_FULL_PERCENT
    gained = (
        difference
        / 100
        * run.cores
        * min(run.remaining_seconds, RISE_LASTS_SECONDS)
    )
    if difference < minimum or gained < MIN_GAIN_CORE_SECONDS:
        return None
    return PaceOrder(run.percent + difference, "rise")
