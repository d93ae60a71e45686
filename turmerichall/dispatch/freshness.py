"""Whether this leader still is the one: how old a quorum's answer is."""

from collections.abc import Callable
import time
from typing import Protocol

from turmerichall.dispatch import lease

__all__ = ["QuorumFreshness", "QuorumSource"]

# A jump of the clock that counts suspension against the one that doesn't.
SUSPENSION_SECONDS = 0.1
# Shorter than any voter waits before it votes for another leader.
READ_SECONDS = 0.7


class QuorumSource(Protocol):
    """Gives the age of a quorum's last answer; `agreement.replica.Replica`."""

    def seconds_since_quorum(self) -> float:
        """Returns how long ago a quorum was last known to be in contact."""


class QuorumFreshness:
    """Tells how long ago a quorum answered, counting suspension.

    Attributes:
        quorum: Gives the age on a clock that stands still in suspension.
    """

    def __init__(
        self,
        quorum: QuorumSource,
        steady: Callable[[], float] = lease.steady_seconds,
        standing: Callable[[], float] = time.monotonic,
    ):
        self.quorum = quorum
        self._steady = steady
        self._standing = standing
        self._offset = steady() - standing()
        self._resumed_at = -float("inf")

    def age(self) -> float:
        """Returns the age in seconds; infinite until a new answer arrives."""
        now = self._standing()
        offset = self._steady() - now
        if offset > self._offset + SUSPENSION_SECONDS:
            self._resumed_at = now
        self._offset = offset
        age = self.quorum.seconds_since_quorum()
        return float("inf") if now - age < self._resumed_at else age

    def may_read(self) -> bool:
        """Tells whether the state here is that of the only leader."""
        return self.age() < READ_SECONDS

    def may_renew(self) -> bool:
        """Tells whether leases may be renewed."""
        return self.age() < lease.QUORUM_SECONDS
