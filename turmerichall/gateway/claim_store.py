"""The claims of request ids that one entry instance has granted."""

import enum
from collections import OrderedDict
from typing import NamedTuple

from turmerichall.gateway import request_id as request_ids

__all__ = [
    "ClaimState",
    "ClaimStore",
    "ID_VALIDITY_SECONDS",
    "MAX_CLOCK_SKEW_SECONDS",
    "Vote",
]

# Age up to which a request id is accepted.
ID_VALIDITY_SECONDS = 60.0
# How far a request id may lie in the future of this instance's clock.
MAX_CLOCK_SKEW_SECONDS = 2.0
RETENTION_SECONDS = ID_VALIDITY_SECONDS + 2 * MAX_CLOCK_SKEW_SECONDS
MAX_CLAIMS = 200_000
ID_RESOLUTION_SECONDS = 0.001


class ClaimState(enum.StrEnum):
    """State of a request id, as far as one instance knows it."""

    GRANTED = "granted"
    ABSTAINED = "abstained"
    IN_PROGRESS = "in progress"
    RAN = "ran"
    UNKNOWN = "unknown"


class Vote(NamedTuple):
    """An instance's vote on a claim.

    Attributes:
        state: `GRANTED` if the instance grants the claim; `ABSTAINED` if the
            instance can't rule out an earlier claim; otherwise the state of the
            earlier claim.
        detail: Why the instance abstained; empty otherwise.
    """

    state: ClaimState
    detail: str = ""


class ClaimRecord(NamedTuple):
    """A granted claim of a request id.

    Attributes:
        token: Identifies the claim.
        state: Whether the request is in progress, ran or has an unknown
            outcome.
        expires_at: When the record may be evicted, Unix time on this instance's
            clock in seconds.
    """

    token: str
    state: ClaimState
    expires_at: float


class ClaimStore:
    """A store that grants only the first claim of each request id.

    All times are compared on the instance's own wall clock.  An id is accepted
    only from `MAX_CLOCK_SKEW_SECONDS` before its creation time until
    `ID_VALIDITY_SECONDS` after it, and its claim is kept for longer than that.
    Claims granted before a restart are lost, so the store abstains from ids
    that were created before it started.

    Attributes:
        complete_since: Unix time on this instance's clock since which the
            store is complete: it holds every claim of ids created since then.
            Older ids may have been claimed before the instance started or the
            list of entry instances changed, or their claims were evicted.  An
            eviction only moves this time forward, so that evicted ids stay
            rejected when the clock is set back.
        claims: Claims by request id, the oldest first.
        abstain_reason: Why no new claim is granted at present; empty if claims
            are granted.
    """

    def __init__(self, wall_now: float):
        self.abstain_reason = ""
        self.complete_since = wall_now + MAX_CLOCK_SKEW_SECONDS
        self.claims: OrderedDict[str, ClaimRecord] = OrderedDict()

    def claim(self, request_id: str, token: str, wall_now: float) -> Vote:
        """Grant a claim unless its id was claimed before, and return the vote.

        Args:
            request_id: The request id.
            token: Identifies the claim; a repeated call with the same token is
                granted again.
            wall_now: Unix time on this instance's clock, in seconds.

        Returns:
            The vote.
        """
        self._evict_expired(wall_now)
        record = self.claims.get(request_id)
        if record is not None:
            if record.token == token:
                return Vote(ClaimState.GRANTED)
            return Vote(record.state)
        detail = self._reason_to_abstain(request_id, wall_now)
        if detail:
            return Vote(ClaimState.ABSTAINED, detail)
        expires_at = wall_now + RETENTION_SECONDS
        self.claims[request_id] = ClaimRecord(
            token, ClaimState.IN_PROGRESS, expires_at
        )
        return Vote(ClaimState.GRANTED)

    def settle(self, request_id: str, token: str, state: ClaimState) -> None:
        """Record the outcome of a claimed request."""
        record = self.claims.get(request_id)
        if record is not None and record.token == token:
            self.claims[request_id] = record._replace(state=state)

    def release(self, request_id: str, token: str) -> None:
        """Remove a claim whose request provably did not run."""
        record = self.claims.get(request_id)
        if record is not None and record.token == token:
            del self.claims[request_id]

    def _reason_to_abstain(self, request_id: str, wall_now: float) -> str:
        if self.abstain_reason:
            return self.abstain_reason
        parsed = request_ids.parse(request_id)
        if parsed is None:
            return "the request id is not a version 7 UUID"
        age = wall_now - parsed.created_at
        if age > ID_VALIDITY_SECONDS:
            return f"the request id is {age:.0f} s old"
        if age < -MAX_CLOCK_SKEW_SECONDS:
            return f"the request id is {-age:.0f} s in the future"
        if parsed.created_at < self.complete_since:
            return (
                "the request id is older than the claims that this instance"
                " knows"
            )
        if len(self.claims) >= MAX_CLAIMS:
            return "the claim store is full"
        return ""

    def _evict_expired(self, wall_now: float) -> None:
        while self.claims:
            oldest = next(iter(self.claims))
            if self.claims[oldest].expires_at > wall_now:
                return
            del self.claims[oldest]
            parsed = request_ids.parse(oldest)
            if parsed is not None:
                next_tick = parsed.created_at + ID_RESOLUTION_SECONDS
                self.complete_since = max(self.complete_since, next_tick)
