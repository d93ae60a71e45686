"""Leases of workers, as granted and tracked by the leader.

A lease is measured on the worker's own steady clock, which may run slow.  The
leader knows the latest reading of that clock and when the reading arrived, and
from these computes when the lease has certainly expired.
"""

import time

__all__ = ["LEASE_SECONDS", "Lease", "steady_seconds"]

# Length of a lease: outlasts an election and a short partition; the workers'
# protocol limits leases to 10 s.
LEASE_SECONDS = 8.0
# Factor by which a lease may last longer than granted, because a worker's clock
# may be up to 2 % slow.
MAX_DRIFT = 1.0 / 0.98
# Time after the end of a lease until it counts as expired: the worker ends its
# runs, and its clock is rounded to ms.
EXPIRY_MARGIN_SECONDS = 0.1
# Maximum length of a lease: workers shorten longer ones.
MAX_LEASE_SECONDS = 10.0
# A leader renews leases for at most this time after a quorum's answer.
QUORUM_SECONDS = 1.0
# How much faster a worker's clock may run than the leader's, and by how much
# its readings are rounded at most.
MAX_FAST_RATE = 1.05
READING_ERROR_MS = 100


def steady_seconds() -> float:
    """Return the steady clock in seconds.

    It never jumps, and goes on while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """The lease of one incarnation of a worker, as known to the leader.

    Attributes:
        clock_ms: Latest reading of the worker's clock; -1 before the first.
        read_at: Time on the steady clock at which that reading arrived.
        asked_at: Time on the steady clock at which that reading was asked for.
        deadline_ms: Latest end of all leases granted in this term, in ms on the
            worker's clock.
        earlier_lease_until: Time on the steady clock until which a lease that
            an earlier leader granted may last; 0 once the worker has accepted
            the current term and so refuses earlier leaders.
        misdirected_until: Time on the steady clock until which a lease may last
            that was meant for an earlier incarnation of the same name, by whose
            clock it was granted; 0 if there was none.
    """

    def __init__(self, term_began_at: float):
        self.clock_ms = -1
        self.read_at = 0.0
        self.asked_at = 0.0
        self.deadline_ms = 0
        self.earlier_lease_until = (
            term_began_at
            + QUORUM_SECONDS
            + LEASE_SECONDS * MAX_DRIFT
            + EXPIRY_MARGIN_SECONDS
        )
        self.misdirected_until = 0.0

    @property
    def known(self) -> bool:
        """Whether there is a reading of the worker's clock."""
        return self.clock_ms >= 0

    def record_clock(
        self, clock_ms: int, now: float, asked_at: float | None = None
    ) -> bool:
        """Record a reading of the worker's clock that has just arrived.

        After a reading that the clock can't have reached since the one before,
        or that is behind it, no earlier reading is relied on: the lease counts
        as one of the maximum length that was granted now.

        Args:
            clock_ms: The reading.
            now: Current time on the steady clock.
            asked_at: Time on the steady clock at which the reading was asked
                for; `now` if not given.

        Returns:
            Whether the reading is consistent with the one before.

        Examples:
            >>> lease = Lease(0.0)
            >>> lease.record_clock(5000, 10.0)
            True
            >>> lease.estimate_ms(10.5)
            5500
            >>> lease.record_clock(1_000_000, 10.5)
            False
        """
        asked_at = now if asked_at is None else asked_at
        most_ms = (now - self.asked_at) * 1000 * MAX_FAST_RATE
        consistent = not self.known or (
            0 <= clock_ms - self.clock_ms <= most_ms + READING_ERROR_MS
        )
        if not consistent:
            self.deadline_ms = clock_ms + int(MAX_LEASE_SECONDS * 1000)
        self.clock_ms = clock_ms
        self.read_at = now
        self.asked_at = asked_at
        return consistent

    def record_namesake(self, now: float) -> None:
        """Record that orders to another incarnation may have reached this one.

        Args:
            now: Time on the steady clock after which no more are sent.
        """
        self.misdirected_until = (
            now + MAX_LEASE_SECONDS * MAX_DRIFT + EXPIRY_MARGIN_SECONDS
        )

    def record_term_accepted(self) -> None:
        """Record that the worker has accepted the current term."""
        self.earlier_lease_until = 0.0

    def estimate_ms(self, now: float) -> int:
        """Return an estimate of the worker's clock at a time, in ms."""
        return self.clock_ms + int((now - self.read_at) * 1000)

    def grant(self, now: float, seconds: float = LEASE_SECONDS) -> int:
        """Record a lease just before it is granted.

        Args:
            now: Current time on the steady clock.
            seconds: Length of the lease.

        Returns:
            End of the lease in ms on the worker's clock.
        """
        deadline_ms = self.estimate_ms(now) + int(seconds * 1000)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def has_expired(self, now: float) -> bool:
        """Return whether the lease has certainly expired on the worker.

        From then on, no run can be active under it.

        Examples:
            >>> lease = Lease(0.0)
            >>> _ = lease.record_clock(5000, 10.0)
            >>> _ = lease.grant(10.0, 1.0)
            >>> lease.record_term_accepted()
            >>> lease.has_expired(11.0), lease.has_expired(11.2)
            (False, True)
        """
        if now < max(self.earlier_lease_until, self.misdirected_until):
            return False
        if not self.known:
            return True
        left = (self.deadline_ms - self.clock_ms) / 1000
        return now >= self.read_at + left * MAX_DRIFT + EXPIRY_MARGIN_SECONDS
