"""What a leader does when its work fails by an exception.

The work begins anew from the replicated state, so that nothing that was half
done in memory stays.  If that fails again and again, another replica leads.
"""

import trio

from turmerichall import errors
from turmerichall.agreement import replica as replicas
from turmerichall.supervision import failure as failures
from turmerichall.supervision import pause as pauses
from turmerichall.supervision import reporter as reporters

__all__ = ["TermFailures", "should_resign"]

FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 5.0
# Failures in a row after which another replica is to lead.
FAILURES_BEFORE_RESIGNATION = 3
# Time without a failure after which the next one counts as the first.
CALM_SECONDS = 60.0


def should_resign(failed: int) -> bool:
    """Return whether another replica is to lead after failures in a row.

    Examples:
        >>> [should_resign(failed) for failed in range(1, 7)]
        [False, False, True, False, False, True]
    """
    return failed % FAILURES_BEFORE_RESIGNATION == 0


class TermFailures:
    """Failures of the leader's work on one replica, over all its terms.

    Attributes:
        replica: The replica.
        failed: Number of failures in a row.
    """

    def __init__(
        self, replica: replicas.Replica, reporter: reporters.FailureReporter
    ):
        self.replica = replica
        self.failed = 0
        self._reporter = reporter
        self._failed_at = -float("inf")
        self._pause = pauses.GrowingPause(
            FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS
        )

    async def handle(self, term: int, error: Exception) -> None:
        """Report a failure, and wait before the work begins anew.

        Args:
            term: The term in which the work failed.
            error: What it raised.

        Raises:
            StorageError: The log failed, which the work can't go on without.
        """
        if any(
            isinstance(each, errors.StorageError)
            for each in failures.leaves(error)
        ):
            raise error
        now = trio.current_time()
        if now - self._failed_at > CALM_SECONDS:
            self.failed = 0
            self._pause.reset()
        self.failed += 1
        self._failed_at = now
        self._reporter.report("work of a term", error, term=term)
        await trio.sleep(self._pause.next_seconds())
        if should_resign(self.failed):
            self.replica.resign(term)
