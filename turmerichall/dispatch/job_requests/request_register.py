"""Submissions of one term: those being committed, and the refused calls.

Answers calls that are tried again, by the same instance or another one, before
their first attempt has ended: a leader without processor time, or one whose
commits are slow, holds several attempts of a call at once.  A refusal promises
that the job does not run, so it must hold for each of these attempts.

`leadership.Leadership` submits through it; `leader_api.LeaderApi` records the
refusals.
"""

import trio

from turmerichall import outcomes

__all__ = ["Failure", "Submission", "SubmissionRegister", "may_have_accepted"]

Failure = outcomes.Refusal | outcomes.Unknown

# How long the refusal of a call is kept for attempts of it that are still under
# way.  Longer than any attempt stays in a connection, which an instance closes
# when nothing has arrived on it for 2 s.
REFUSED_CALL_SECONDS = 30.0


def may_have_accepted(detail: str) -> outcomes.Unknown:
    """Return the failure of a call whose job may run."""
    return outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST, detail)


class Submission:
    """A submission that is being committed.

    Attributes:
        done: Set once `failure` is known.
        failure: Why the job was not committed, or may not have been; None if
            it was committed.
    """

    def __init__(self) -> None:
        self.done = trio.Event()
        self.failure: Failure | None = may_have_accepted(
            "the job is being committed"
        )

    def resolve(self, failure: Failure | None) -> None:
        """Give all callers that wait the outcome."""
        self.failure = failure
        self.done.set()

    async def wait(self, timeout_seconds: float) -> Failure | None:
        """Return the failure or None; `Unknown` after the timeout."""
        with trio.move_on_after(timeout_seconds):
            await self.done.wait()
        return self.failure


class SubmissionRegister:
    """Register of the submissions that a leader got in its term.

    Attributes:
        in_progress: Submissions that are being committed, by job.
        refused_calls: Time in seconds and refusal, by id of the call; the
            oldest first.
    """

    def __init__(self) -> None:
        self.in_progress: dict[str, Submission] = {}
        self.refused_calls: dict[str, tuple[float, outcomes.Refusal]] = {}

    def begin(self, job_id: str) -> Submission:
        """Register a submission whose commit begins."""
        submission = self.in_progress[job_id] = Submission()
        return submission

    def end(self, job_id: str, failure: Failure | None) -> None:
        """Give the outcome of a submission to all callers that wait for it."""
        self.in_progress.pop(job_id).resolve(failure)

    def refuse(
        self, call_id: str, refusal: outcomes.Refusal, now: float
    ) -> outcomes.Refusal:
        """Record that a call was refused, and return the refusal.

        Args:
            call_id: Id of the call, the same for all its attempts; empty if
                unknown.
            refusal: The refusal.
            now: Current time on any steady clock.
        """
        while self.refused_calls:
            oldest = next(iter(self.refused_calls))
            if self.refused_calls[oldest][0] > now - REFUSED_CALL_SECONDS:
                break
            del self.refused_calls[oldest]
        if call_id:
            self.refused_calls.setdefault(call_id, (now, refusal))
        return refusal

    def refusal(self, call_id: str) -> outcomes.Refusal | None:
        """Return the refusal of an earlier attempt of a call, if any."""
        refused = self.refused_calls.get(call_id)
        return None if refused is None else refused[1]
