"""Pressure of the jobs on a replica's memory, and what is done about it.

Answers more accepted jobs than a replica can hold: all replicas have the same
state, so they would all be ended by their limits of memory, at each start too.
The estimate counts the state alone and falls when jobs leave; the memory of the
process may stay at its peak.
"""

import enum

from turmerichall import outcomes

__all__ = ["Level", "REFUSAL", "level"]

# Shares of the memory that the jobs may take.  Encoding and loading a snapshot
# holds the state about once more, beside the log and the program.
HIGH_SHARE = 0.2
CRITICAL_SHARE = 0.35
# Time after which a caller may try again: jobs leave in minutes.
RETRY_SECONDS = 30.0
REFUSAL = outcomes.Refusal(
    outcomes.RefusalReason.NO_ROOM,
    "the memory for jobs is almost full",
    RETRY_SECONDS,
)


class Level(enum.IntEnum):
    """How near the jobs are to the memory that they may take."""

    NORMAL = 0
    # Jobs that have ended are kept for a shorter time.
    HIGH = 1
    # New jobs are refused.
    CRITICAL = 2


def level(jobs_bytes: int, memory_bytes: int) -> Level:
    """Return the pressure.

    Args:
        jobs_bytes: Estimated memory of all jobs.
        memory_bytes: Memory that the process may use; 0 if unknown.

    Examples:
        >>> level(10, 100).name, level(20, 100).name, level(20, 0).name
        ('NORMAL', 'HIGH', 'NORMAL')
    """
    if not memory_bytes or jobs_bytes < HIGH_SHARE * memory_bytes:
        return Level.NORMAL
    if jobs_bytes < CRITICAL_SHARE * memory_bytes:
        return Level.HIGH
    return Level.CRITICAL
