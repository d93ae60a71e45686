"""Pace at which a leader polls the workers that are silent.

Answers thousands of registered workers at which nothing answers: the polls in
sum are limited, so that they take no processor time from those that do answer.
"""

from collections.abc import Mapping

from turmerichall.dispatch import worker_state

__all__ = ["PollPacing"]

# Time between two polls of a silent worker while there are few.
RETRY_SECONDS = 0.25
# Number of silent workers above which each is polled less often; more than the
# workers of one availability zone of the largest deployment.
FULL_PACE_WORKERS = 128
COUNT_SECONDS = 1.0


class PollPacing:
    """Pace of the polls of silent workers.

    Attributes:
        workers: Registered workers by id.
    """

    def __init__(self, workers: Mapping[str, worker_state.Worker]):
        self.workers = workers
        self._silent = 0
        self._counted_at = -float("inf")

    def retry_seconds(self, now: float) -> float:
        """Return the time until a silent worker is polled again.

        Args:
            now: Current time on the steady clock.

        Examples:
            >>> PollPacing({}).retry_seconds(5.0)
            0.25
        """
        if now - self._counted_at >= COUNT_SECONDS:
            self._counted_at = now
            self._silent = sum(
                not worker.in_touch for worker in self.workers.values()
            )
        return RETRY_SECONDS * max(1.0, self._silent / FULL_PACE_WORKERS)
