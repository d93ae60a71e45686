"""Time since a leader was last in contact with a quorum of the replicas.

The leader answers reads and renews leases only while this time is short.
"""

from collections.abc import Callable
import time
from typing import Protocol

from turmerichall.dispatch import lease

__all__ = ["QuorumFreshness", "QuorumSource"]

# The machine is taken to have been suspended if the clock that counts
# suspension gains this much on the clock that does not.
SUSPENSION_SECONDS = 0.1
# Age of the latest quorum contact below which the leader answers reads.  Must
# be shorter than the time that any voter waits before it votes for another
# leader.
READ_SECONDS = 0.7


class QuorumSource(Protocol):
    """Source of the time since the latest contact with a quorum.

    Implemented by `agreement.replica.Replica`.
    """

    def seconds_since_quorum(self) -> float:
        """Return the time since a quorum was last in contact, in seconds."""


class QuorumFreshness:
    """Age of the latest quorum contact, also after the machine was suspended.

    Attributes:
        quorum: Source of the age, measured by a clock that stops while the
            machine is suspended.
    """

    def __init__(
        self,
        quorum: QuorumSource,
        steady: Callable[[], float] = lease.steady_seconds,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        self.quorum = quorum
        self._steady = steady
        self._monotonic = monotonic
        self._offset = steady() - monotonic()
        self._resumed_at = -float("inf")

    def age(self) -> float:
        """Return the age of the latest quorum contact in seconds.

        It is infinite after a suspension, until a quorum answers again.
        """
        now = self._monotonic()
        offset = self._steady() - now
        if offset > self._offset + SUSPENSION_SECONDS:
            self._resumed_at = now
        self._offset = offset
        age = self.quorum.seconds_since_quorum()
        return float("inf") if now - age < self._resumed_at else age

    def may_read(self) -> bool:
        """Return whether reads may be answered.

        They may while no other leader can have been elected yet.
        """
        return self.age() < READ_SECONDS

    def may_renew(self) -> bool:
        """Return whether the leases of workers may be renewed."""
        return self.age() < lease.QUORUM_SECONDS
