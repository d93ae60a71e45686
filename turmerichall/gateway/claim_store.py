"""The memory of one entry instance of the request ids that were claimed."""

import enum
from collections import OrderedDict
from typing import NamedTuple

from turmerichall.gateway import request_id

__all__ = ["Grant", "Keeper", "SKEW_SECONDS", "State", "WINDOW_SECONDS"]

# A request id is accepted until this long after its birth.
WINDOW_SECONDS = 60.0
# A request id may be this far in the future of the keeper's clock.
SKEW_SECONDS = 2.0
REMEMBER_SECONDS = WINDOW_SECONDS + 2 * SKEW_SECONDS
MAX_CLAIMS = 200_000
BIRTH_RESOLUTION_SECONDS = 0.001


class State(enum.StrEnum):
    """What a keeper knows of a request id."""

    GRANTED = "granted"
    ABSTAINED = "abstained"
    IN_PROGRESS = "in progress"
    RAN = "ran"
    UNKNOWN = "unknown"


class Grant(NamedTuple):
    """A keeper's answer to a claim.

    Attributes:
        state: `GRANTED` if the id is claimed now, `ABSTAINED` if the keeper
            can't vouch for it; otherwise what is known of the earlier claim.
        detail: Why the keeper abstained, or empty.
    """

    state: State
    detail: str = ""


class Claimed(NamedTuple):
    """A claimed id.

    Attributes:
        token: The claim that was granted.
        state: What is known of the request.
        until: When it may be forgotten, in seconds of the keeper's clock.
    """

    token: str
    state: State
    until: float


class Keeper:
    """Grants the first claim of each id, and no other.

    Every comparison is made on the keeper's own wall clock: it accepts an id
    only between `SKEW_SECONDS` before its birth and `WINDOW_SECONDS` after,
    and remembers a claim for longer than that.  What it may have granted
    before it started it tells by the birth of the id.

    Attributes:
        vouches_from: Births before this may have been claimed before the
            keeper started or its list of entry instances changed, or are
            forgotten; a clock that is set back doesn't revive those.
        claims: Claims by id, the oldest first.
        abstains: Why the keeper grants nothing new now; empty if it does.
    """

    def __init__(self, wall_now: float):
        self.abstains = ""
        self.vouches_from = wall_now + SKEW_SECONDS
        self.claims: OrderedDict[str, Claimed] = OrderedDict()

    def claim(self, text: str, token: str, wall_now: float) -> Grant:
        """Takes a claim.

        Args:
            text: The request id.
            token: Names the claim; the same claim may be sent twice.
            wall_now: Unix time of the keeper's clock, in seconds.

        Returns:
            Whether the claim is granted.
        """
        self._forget(wall_now)
        known = self.claims.get(text)
        if known is not None:
            if known.token == token:
                return Grant(State.GRANTED)
            return Grant(known.state)
        detail = self._why_not_vouching(text, wall_now)
        if detail:
            return Grant(State.ABSTAINED, detail)
        until = wall_now + REMEMBER_SECONDS
        self.claims[text] = Claimed(token, State.IN_PROGRESS, until)
        return Grant(State.GRANTED)

    def settle(self, text: str, token: str, state: State) -> None:
        """Notes what came of a claimed request."""
        known = self.claims.get(text)
        if known is not None and known.token == token:
            self.claims[text] = known._replace(state=state)

    def release(self, text: str, token: str) -> None:
        """Forgets a claim whose request was provably not run."""
        known = self.claims.get(text)
        if known is not None and known.token == token:
            del self.claims[text]

    def _why_not_vouching(self, text: str, wall_now: float) -> str:
        if self.abstains:
            return self.abstains
        read = request_id.parse(text)
        if read is None:
            return "the request id is not a UUID of version 7"
        age = wall_now - read.created_at
        if age > WINDOW_SECONDS:
            return f"the request id is {age:.0f} s old"
        if age < -SKEW_SECONDS:
            return f"the request id is {-age:.0f} s in the future"
        if read.created_at < self.vouches_from:
            return "the request id is from before what this keeper remembers"
        if len(self.claims) >= MAX_CLAIMS:
            return "the keeper's memory is full"
        return ""

    def _forget(self, wall_now: float) -> None:
        while self.claims:
            oldest = next(iter(self.claims))
            if self.claims[oldest].until > wall_now:
                return
            del self.claims[oldest]
            read = request_id.parse(oldest)
            if read is not None:
                after = read.created_at + BIRTH_RESOLUTION_SECONDS
                self.vouches_from = max(self.vouches_from, after)
