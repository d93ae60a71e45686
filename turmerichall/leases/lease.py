"""A lease: the right of one worker to run one attempt of one task.

A lease is anchored, that is, its duration starts, at the moment at which the
worker sent an announcement; the worker counts the duration on its own clock.
The placement authority received the announcement later, so the same duration,
counted from its receipt, ends no earlier than on the worker.  Only durations
are ever compared between the two clocks.
"""

from typing import NamedTuple

__all__ = [
    "DRIFT_RATIO",
    "LEASE_SECONDS",
    "STOP_SECONDS",
    "Lease",
    "ended_after_seconds",
    "task_ended_after_seconds",
]

LEASE_SECONDS = 15.0
# A worker stops a task within this time after the task's lease has run out.
STOP_SECONDS = 2.0
# Maximum relative clock drift: a clock that measures a duration is wrong by at
# most this share of it.
DRIFT_RATIO = 0.01


class Lease(NamedTuple):
    """The lease of one attempt of a task, as granted to a worker.

    Attributes:
        worker: Name of the worker.
        incarnation: Incarnation of the worker that the command to start the
            task was sent to.
        zone: Availability zone of the worker.
        epoch: Epoch of the placement authority that granted the lease.
    """

    worker: str
    incarnation: int
    zone: str
    epoch: int


def ended_after_seconds(lease_seconds: float) -> float:
    """Return the time after which a lease has certainly expired.

    The time is counted from the moment at which the lease was last anchored.
    The clocks of the worker and of the placement authority may drift in
    opposite directions.

    Args:
        lease_seconds: Duration of the lease on the worker's clock, in seconds.

    Returns:
        The time to wait, in seconds on the placement authority's clock.

    Examples:
        >>> ended_after_seconds(100.0) > 101.0
        True
    """
    return lease_seconds * (1 + DRIFT_RATIO) / (1 - DRIFT_RATIO)


def task_ended_after_seconds() -> float:
    """Return the time after which a leased task has certainly stopped.

    The time is counted from the moment at which the lease was last anchored.
    It is the duration of the lease plus the time that the worker takes to
    stop the task, in seconds on the placement authority's clock, and allows for
    drift.

    Examples:
        >>> task_ended_after_seconds() > LEASE_SECONDS + STOP_SECONDS
        True
    """
    return ended_after_seconds(LEASE_SECONDS + STOP_SECONDS)
