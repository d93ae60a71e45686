"""Attempts to have one call processed by a replica, for the logs.

One call of a client may take several attempts, at several replicas.  A refusal
can be judged only together with what the attempts before it met.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Attempt", "describe"]


class Attempt(NamedTuple):
    """One attempt to have a replica process a call.

    Attributes:
        address: Address of the replica.
        began_after_seconds: Time from the arrival of the call at this instance
            to the attempt.
        seconds: Time from the attempt to its result.
        result: HTTP status of the answer, "not_leading", or the reason why
            there was none, from `outcomes.RefusalReason`.
        term: Term of the replica that answered; 0 if unknown.
    """

    address: str
    began_after_seconds: float
    seconds: float
    result: str = ""
    term: int = 0


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
