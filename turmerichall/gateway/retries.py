"""Retries: which requests are retried, how often and after which pause."""

import random

from turmerichall import outcomes
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import request as requests

__all__ = ["RetryBudget", "backoff_seconds", "retry_reason"]

BURST_RETRIES = 10.0
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5
SERVER_ERROR = 500

_AFTER_REFUSAL = {
    outcomes.RefusalReason.CONNECT_FAILED: outcomes.RetryReason.CONNECT_FAILED,
    outcomes.RefusalReason.BACKEND_SERVER_REFUSED: (
        outcomes.RetryReason.BACKEND_SERVER_REFUSED
    ),
}
_AFTER_UNKNOWN = {
    outcomes.UnknownReason.CONNECTION_LOST: (
        outcomes.RetryReason.CONNECTION_LOST
    ),
    outcomes.UnknownReason.TRUNCATED: outcomes.RetryReason.CONNECTION_LOST,
    outcomes.UnknownReason.WRONG_REQUEST_ID: (
        outcomes.RetryReason.CONNECTION_LOST
    ),
    outcomes.UnknownReason.SILENT: outcomes.RetryReason.SILENT,
}


class RetryBudget:
    """A token bucket that limits retries to a ratio of first attempts.

    Attributes:
        ratio: Tokens added for each first attempt.
        tokens: Number of retries allowed now.

    Examples:
        >>> budget = RetryBudget(0.5)
        >>> budget.tokens = 0.0
        >>> budget.record_first_attempt()
        >>> budget.record_first_attempt()
        >>> budget.try_acquire(), budget.try_acquire()
        (True, False)
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.tokens = BURST_RETRIES

    def record_first_attempt(self) -> None:
        """Add the tokens for a first attempt."""
        self.tokens = min(BURST_RETRIES, self.tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take the token for a retry and return True, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_reason(
    request: requests.Request, result: exchanges.Result
) -> outcomes.RetryReason | None:
    """Return why a request may be retried, or None if it may not.

    Args:
        request: The request.
        result: Result of the last attempt.

    Returns:
        A reason if the request provably did not run, or if it is idempotent and
        the attempt failed.
    """
    if isinstance(result, outcomes.Refusal):
        return _AFTER_REFUSAL.get(result.reason)
    if not request.idempotent:
        return None
    if isinstance(result, outcomes.Unknown):
        return _AFTER_UNKNOWN.get(result.reason)
    if result.status >= SERVER_ERROR:
        return outcomes.RetryReason.SERVER_ERROR
    return None


def backoff_seconds(retry: int, generator: random.Random) -> float:
    """Return a random pause before a retry, in seconds.

    Args:
        retry: 1 for the first retry of a request.
        generator: Source of random numbers.

    Examples:
        >>> 0.0 <= backoff_seconds(1, random.Random(1)) <= 0.02
        True
    """
    max_seconds = min(
        MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** (retry - 1)
    )
    return generator.uniform(0.0, max_seconds)
