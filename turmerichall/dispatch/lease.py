"""Leases of workers: how long one surely lasts, and when it surely is over.

Lease time runs on the worker's own steady clock, which may be slow.  What is
known of it is one reading and when that reading arrived here.
"""

import time

__all__ = ["LEASE_SECONDS", "Lease", "steady_seconds"]

# Outlasts an election and a short partition; PROTOCOL bounds it to 10 s.
LEASE_SECONDS = 8.0
# A worker's clock is at most 2 % slow.
MAX_DRIFT = 1.0 / 0.98
# For the worker to end what runs, and for rounding of its clock to ms.
EXPIRY_MARGIN_SECONDS = 0.1
# A leader renews leases only this long after a quorum's answer.
QUORUM_SECONDS = 1.0


def steady_seconds() -> float:
    """Returns a clock that never jumps and counts suspension of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """The lease of one life of a worker, as its leader knows it.

    Attributes:
        clock_ms: Last reading of the worker's clock; -1 without one.
        read_at: When that reading arrived, steady seconds.
        deadline_ms: Latest time on the worker's clock that was granted.
        doubt_until: Until when a lease of an earlier leader may last, steady
            seconds; 0 once the worker refuses earlier leaders.
    """

    def __init__(self, term_began_at: float):
        self.clock_ms = -1
        self.read_at = 0.0
        self.deadline_ms = 0
        self.earlier_lease_until = (
            term_began_at
            + QUORUM_SECONDS
            + LEASE_SECONDS * MAX_DRIFT
            + EXPIRY_MARGIN_SECONDS
        )

    @property
    def known(self) -> bool:
        """Whether the worker's clock was ever read."""
        return self.clock_ms >= 0

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Takes a reading that arrived now.

        Examples:
            >>> lease = Lease(0.0)
            >>> lease.record_clock(5000, 10.0)
            >>> lease.estimate_ms(10.5)
            5500
        """
        if clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.read_at = now

    def record_term_accepted(self) -> None:
        """Notes that the worker has seen the current term."""
        self.earlier_lease_until = 0.0

    def estimate_ms(self, now: float) -> int:
        """Returns about what the worker's clock shows now."""
        return self.clock_ms + int((now - self.read_at) * 1000)

    def grant(self, now: float, seconds: float = LEASE_SECONDS) -> int:
        """Notes that a lease is about to be granted.

        Returns:
            Its end, on the worker's clock.
        """
        deadline_ms = self.estimate_ms(now) + int(seconds * 1000)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def has_expired(self, now: float) -> bool:
        """Tells whether nothing can run under it any more.

        Examples:
            >>> lease = Lease(0.0)
            >>> lease.record_clock(5000, 10.0)
            >>> _ = lease.grant(10.0, 1.0)
            >>> lease.record_term_accepted()
            >>> lease.has_expired(11.0), lease.has_expired(11.2)
            (False, True)
        """
        if now < self.earlier_lease_until:
            return False
        if not self.known:
            return True
        left = (self.deadline_ms - self.clock_ms) / 1000
        return now >= self.read_at + left * MAX_DRIFT + EXPIRY_MARGIN_SECONDS
