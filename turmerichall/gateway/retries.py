"""When a request is tried again, and how much of that there may be."""

import random

from turmerichall import outcomes
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import request as requests

__all__ = ["Budget", "backoff_seconds", "reason_to_retry"]

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


class Budget:
    """Bounds retries to a ratio of first attempts.

    Attributes:
        ratio: Retries allowed for each first attempt.
        left: Retries allowed now.

    Examples:
        >>> budget = Budget(0.5)
        >>> budget.left = 0.0
        >>> budget.note_first_attempt()
        >>> budget.note_first_attempt()
        >>> budget.take(), budget.take()
        (True, False)
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.left = BURST_RETRIES

    def note_first_attempt(self) -> None:
        """Adds what a first attempt allows."""
        self.left = min(BURST_RETRIES, self.left + self.ratio)

    def take(self) -> bool:
        """Takes a retry, if one is left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


def reason_to_retry(
    request: requests.Request, ended: exchanges.Ended
) -> outcomes.RetryReason | None:
    """Returns why a request may be tried again, or None if it may not.

    Args:
        request: The request.
        ended: What came of the last attempt.

    Returns:
        A reason if the attempt provably ran nothing, or if the request is
        idempotent and the attempt failed.
    """
    if isinstance(ended, outcomes.Refusal):
        return _AFTER_REFUSAL.get(ended.reason)
    if not request.idempotent:
        return None
    if isinstance(ended, outcomes.Unknown):
        return _AFTER_UNKNOWN.get(ended.reason)
    if ended.status >= SERVER_ERROR:
        return outcomes.RetryReason.SERVER_ERROR
    return None


def backoff_seconds(retry: int, generator: random.Random) -> float:
    """Returns a jittered pause before a retry, in seconds.

    Args:
        retry: 1 for the first retry of a request.
        generator: Source of random numbers.

    Examples:
        >>> 0.0 <= backoff_seconds(1, random.Random(1)) <= 0.02
        True
    """
    most = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** (retry - 1))
    return generator.uniform(0.0, most)
