"""Pace at which a leader polls workers that do not answer.

Answers hundreds of registered workers at which nothing answers: when a term
begins, and at each later try, their polls together would keep the event loop
busy for longer than an election takes, so that no term would last.
"""

from collections.abc import Mapping
import contextlib
import random

import trio

from turmerichall.dispatch import worker_state

__all__ = ["PollPacing"]

# Time between two polls of a silent worker while there are few.
RETRY_SECONDS = 0.25
# Number of silent workers above which each is polled less often; more than the
# workers of one availability zone of the largest deployment.
FULL_PACE_WORKERS = 128
COUNT_SECONDS = 1.0
# Share by which a pause is longer or shorter at random, so that polls spread.
JITTER = 0.5
# Most polls at a time of workers that may answer at once, and of those that
# have not answered several polls in a row.  A poll takes up to a millisecond
# of processor time, and the leader sends heartbeats each 300 ms.
FIRST_POLLS = 256
REPEATED_POLLS = 64
REPEATED_FAILURES = 4


class PollPacing:
    """Pace of the polls of workers that are not in touch.

    Attributes:
        workers: Registered workers by id.
    """

    def __init__(
        self,
        workers: Mapping[str, worker_state.Worker],
        rng: random.Random | None = None,
    ):
        self.workers = workers
        self._rng = rng or random.Random()
        self._silent = 0
        self._counted_at = -float("inf")
        self._first = trio.CapacityLimiter(FIRST_POLLS)
        self._repeated = trio.CapacityLimiter(REPEATED_POLLS)

    def turn(
        self, in_touch: bool, failures: int
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Return what to hold during a poll; it waits for the worker's turn.

        Args:
            in_touch: Whether the worker answered the latest poll.
            failures: Number of polls in a row that it has not answered.
        """
        if in_touch:
            return contextlib.nullcontext()
        is_repeated = failures >= REPEATED_FAILURES
        return self._repeated if is_repeated else self._first

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
        if self._silent <= FULL_PACE_WORKERS:
            return RETRY_SECONDS
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        return RETRY_SECONDS * self._silent / FULL_PACE_WORKERS * spread
