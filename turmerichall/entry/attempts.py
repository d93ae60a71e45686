"""Attempts to have one call processed by a replica.

One call of a client may take several attempts, at several replicas.  A refusal
that one of them meets promises that the call has no effect, so it holds only
together with what the attempts before it met.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Attempt", "describe", "is_conclusive"]

NOT_LEADING = "not_leading"
UNREACHABLE = "unreachable"
# Results after which the call may have an effect, or may have one later.
_UNRESOLVED_STATUS = "504"


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
            return self.result == _UNRESOLVED_STATUS
        return self.result not in (NOT_LEADING, UNREACHABLE)


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
