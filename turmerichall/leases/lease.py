"""A lease: the right of one worker to run one attempt of one task.

A lease is anchored at the moment at which the worker sent an announcement:
the worker counts the lease from that moment on its own clock.  The authority
received the announcement later, so a duration counted from its receipt ends
no earlier than the worker's.  Clocks are compared as durations only.
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
# A worker has stopped a task at most this long after its lease ran out.
STOP_SECONDS = 2.0
# Two clocks that measure the same duration differ by at most this ratio.
DRIFT_RATIO = 0.01


class Lease(NamedTuple):
    """What a worker needs to run a task.

    Attributes:
        worker: Name of the worker.
        incarnation: Incarnation of the worker that the start was sent to.
        zone: Availability zone of the worker.
        epoch: Epoch of the placing authority that granted the lease.
    """

    worker: str
    incarnation: int
    zone: str
    epoch: int


def ended_after_seconds(lease_seconds: float) -> float:
    """Returns how long after its last anchor a lease has provably ended.

    Args:
        lease_seconds: Term of the lease on the worker's clock, in seconds.

    Returns:
        The duration to wait on the authority's clock, in seconds.

    Examples:
        >>> ended_after_seconds(100.0) > 101.0
        True
    """
    return lease_seconds * (1 + DRIFT_RATIO) / (1 - DRIFT_RATIO)


def task_ended_after_seconds() -> float:
    """Returns how long after the last anchor a task has provably stopped.

    Examples:
        >>> task_ended_after_seconds() > LEASE_SECONDS + STOP_SECONDS
        True
    """
    return ended_after_seconds(LEASE_SECONDS + STOP_SECONDS)
