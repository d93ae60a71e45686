"""Attempts to have one call processed by a replica.

One call of a client may take several attempts, at several replicas.  A refusal
that one of them meets promises that the call has no effect, so it holds only
together with what the attempts before it met.
"""

from collections.abc import Iterable
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.entry import calls

__all__ = [
    "Attempt",
    "NOT_LEADING",
    "describe",
    "is_conclusive",
    "is_outcome",
]

NOT_LEADING = "not_leading"
# HTTP status of a leader that does not know the outcome itself.
UNKNOWN_OUTCOME = 504
# HTTP statuses that depend on the call alone, or say that there is no such job,
# which an earlier attempt can't have accepted then.
CERTAIN = (400, 405, 410, 413)
# Reasons why an attempt was not handled at all.
_UNHANDLED = (
    outcomes.RefusalReason.UNREACHABLE,
    outcomes.RefusalReason.OVERLOADED,
    outcomes.RefusalReason.TOO_LARGE,
    outcomes.RefusalReason.UNKNOWN_NAME,
)


class Attempt(NamedTuple):
    """One attempt to have a replica process a call.

    Attributes:
        address: Address of the replica.
        began_after_seconds: Time from the arrival of the call at this instance
            to the attempt.
        seconds: Time from the attempt to its result.
        result: HTTP status of the answer, `NOT_LEADING`, or the reason why
            there was none, from `outcomes.RefusalReason`.
        term: Term of the replica that answered; 0 if unknown.
        addressed_term: Term of the leader that may process this attempt; 0 for
            any leader.
    """

    address: str
    began_after_seconds: float
    seconds: float
    result: str = ""
    term: int = 0
    addressed_term: int = 0

    @property
    def may_have_effect(self) -> bool:
        """Whether a leader may have processed the attempt, or yet may."""
        if self.result.isdecimal():
            return int(self.result) == UNKNOWN_OUTCOME
        return self.result not in (NOT_LEADING, *_UNHANDLED)


def is_conclusive(earlier: Iterable[Attempt], term: int) -> bool:
    """Return whether a leader's refusal holds for the earlier attempts too.

    A leader knows all entries of earlier terms that can be committed, and gives
    all attempts that are addressed to its own term the same refusal.  It does
    not know what leaders of later terms do, nor whether an attempt that is
    addressed to no term is still to be processed by one of them.

    Args:
        earlier: The attempts before the one that was refused.
        term: Term of the leader that refused; 0 if unknown.

    Examples:
        >>> lost = Attempt("a", 0.0, 1.2, "timeout", addressed_term=4)
        >>> is_conclusive([lost], 4), is_conclusive([lost], 5)
        (True, True)
        >>> is_conclusive([lost], 3)
        False
        >>> is_conclusive([lost._replace(addressed_term=0)], 4)
        False
    """
    return not any(
        each.may_have_effect and not 0 < each.addressed_term <= term
        for each in earlier
    )


def is_outcome(
    method: str, status: int, term: int, earlier: Iterable[Attempt]
) -> bool:
    """Return whether a leader's answer to an attempt is that to the call.

    Args:
        method: HTTP method of the call.
        status: HTTP status of the answer.
        term: Term of the leader; 0 if unknown.
        earlier: The attempts before this one.

    Examples:
        >>> lost = Attempt("a", 0.0, 1.2, "timeout")
        >>> is_outcome("POST", 200, 4, [lost])
        True
        >>> is_outcome("POST", 429, 4, [lost]), is_outcome("POST", 429, 4, [])
        (False, True)
        >>> is_outcome("GET", 503, 4, [lost])
        True
        >>> is_outcome("DELETE", 410, 4, [lost])
        True
    """
    if method in calls.SAFE_METHODS or status < 300 or status in CERTAIN:
        return True
    return status != UNKNOWN_OUTCOME and is_conclusive(earlier, term)


def describe(attempts: Iterable[Attempt]) -> list[str]:
    """Return one short text for each attempt, for a log line.

    Examples:
        >>> describe([Attempt("10.0.0.1:7720", 0.0, 1.2, "timeout")])
        ['10.0.0.1:7720 timeout at 0.00+1.20 s']
        >>> describe([Attempt("10.0.0.1:7720", 1.25, 0.7, "503", 4)])
        ['10.0.0.1:7720 503 (term 4) at 1.25+0.70 s']
    """
    return [
        f"{each.address} {each.result}"
        + (f" (term {each.term})" if each.term else "")
        + f" at {each.began_after_seconds:.2f}+{each.seconds:.2f} s"
        for each in attempts
    ]
