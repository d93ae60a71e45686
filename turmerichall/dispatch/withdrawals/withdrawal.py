"""Decisions on cancellations of unknown jobs, and on their late submissions.

Answers submissions that arrive after the cancellation of their job was
acknowledged, from an instance that was frozen or on a slow link: the answer 410
said that there is no such job, and the job ran.  The cancellation is therefore
committed before it is answered, and refuses the job for `KEPT_SECONDS`.

`job_requests.JobRequests` asks for both decisions, `retention.Retention` for
the time.
"""

from turmerichall import outcomes

__all__ = ["KEPT_SECONDS", "UNKNOWN_JOB", "WITHDRAWN", "find_refusal"]

# How long a withdrawn job is refused after its latest cancellation.  No attempt
# is under way for longer: an instance that stood still for a fifth of this time
# accepts no submission that it may have received before.
KEPT_SECONDS = 300.0
# Maximum number of withdrawn jobs.  Their ids have 128 characters at most, so
# they take up to 4 MB of memory and 2.6 MB of a snapshot.
MAX_WITHDRAWN = 20_000
# Time after which a cancellation that found no room may be tried again.
RETRY_SECONDS = 5.0

UNKNOWN_JOB = outcomes.Refusal(
    outcomes.RefusalReason.UNKNOWN_NAME, "no such job"
)
WITHDRAWN = outcomes.Refusal(
    outcomes.RefusalReason.UNKNOWN_NAME, "the job was canceled before"
)
NO_ROOM = outcomes.Refusal(
    outcomes.RefusalReason.NO_ROOM,
    "too many unknown jobs were canceled lately",
    RETRY_SECONDS,
)


def find_refusal(withdrawn: int) -> outcomes.Refusal | None:
    """Return why the cancellation of an unknown job can't be promised now.

    Cancellations of known jobs are never refused.

    Args:
        withdrawn: Number of withdrawn jobs, and of those that are being
            committed.

    Examples:
        >>> find_refusal(0) is None
        True
        >>> find_refusal(MAX_WITHDRAWN).reason
        <RefusalReason.NO_ROOM: 'no_room'>
    """
    return None if withdrawn < MAX_WITHDRAWN else NO_ROOM
