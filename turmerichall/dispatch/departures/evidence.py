"""Decision whether a worker that announced its end has ended.

Answers a leaving worker that was cut off while its runs went on: its notice and
one unanswered poll were taken for its end, and its tasks ran twice.

A notice says that the end is planned, and silence or a refused connection that
nothing can be asked at present; a worker without an acknowledgement goes on for
seconds.  Only three observations prove that no run of it is left: it reports
the ends of its runs, another incarnation answers in its place, or its lease has
expired.  The session observes the first and the last, and commits the ends.
"""

import enum

from turmerichall.dispatch import worker_client

__all__ = ["Evidence", "find_evidence"]

Verdict = worker_client.Verdict

# Failures of a poll in which nothing answers.  The others are answers.
_NO_ANSWER = (Verdict.UNANSWERED, Verdict.UNSENT)


class Evidence(enum.Enum):
    """Why a leaving worker may be removed and its tasks started elsewhere."""

    # Another incarnation answers at its address.
    REPLACED = "replaced"
    # It does not answer, and the ends of all of its runs are committed.
    NO_RUNS = "no_runs"


def find_evidence(poll: Verdict | None, runs: int) -> Evidence | None:
    """Return the evidence for the end of a worker that is leaving, if any.

    Args:
        poll: Verdict of the latest poll; None if the worker answered it.
        runs: Number of its runs whose end is not committed.

    Examples:
        >>> find_evidence(Verdict.UNANSWERED, 0)
        <Evidence.NO_RUNS: 'no_runs'>
        >>> find_evidence(Verdict.UNSENT, 1) is None
        True
        >>> find_evidence(Verdict.REPLACED, 1)
        <Evidence.REPLACED: 'replaced'>
    """
    if poll == Verdict.REPLACED:
        return Evidence.REPLACED
    if poll in _NO_ANSWER and not runs:
        return Evidence.NO_RUNS
    return None
