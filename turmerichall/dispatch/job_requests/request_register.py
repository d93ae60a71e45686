"""Callers' requests of one term: those being committed, and refused calls.

Answers calls that are tried again, by the same instance or another one, before
their first attempt has ended: a leader without processor time, or one whose
commits are slow, holds several attempts of a call at once.  A refusal promises
that the job does not run, so it must hold for each of these attempts.

`job_requests.JobRequests` commits through it; `leader_api.LeaderApi` records
the refusals.
"""

import trio

from turmerichall import outcomes

__all__ = ["Failure", "PendingChange", "RequestRegister", "unknown_outcome"]

Failure = outcomes.Refusal | outcomes.Unknown

# How long the refusal of a call is kept for attempts of it that are still under
# way.  Longer than any attempt stays in a connection, which an instance closes
# when nothing has arrived on it for 2 s.
REFUSED_CALL_SECONDS = 30.0


def unknown_outcome(detail: str) -> outcomes.Unknown:
    """Return the failure of a request that may have been carried out."""
    return outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST, detail)


class PendingChange:
    """A change that is being committed for callers.

    Attributes:
        done: Set once `failure` is known.
        failure: Why it was not committed, or may not have been; None if it
            was committed.
    """

    def __init__(self) -> None:
        self.done = trio.Event()
        self.failure: Failure | None = unknown_outcome(
            "the change is being committed"
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


class RequestRegister:
    """Register of the callers' requests that a leader got in its term.

    Attributes:
        submissions: Jobs that are being accepted, by id.
        cancellations: Jobs that are being canceled, by id.
        refused_calls: Time in seconds and refusal, by id of the call; the
            oldest first.
    """

    def __init__(self) -> None:
        self.submissions: dict[str, PendingChange] = {}
        self.cancellations: dict[str, PendingChange] = {}
        self.refused_calls: dict[str, tuple[float, outcomes.Refusal]] = {}

    def record_refusal(
        self, call_id: str, refusal: outcomes.Refusal, now: float
    ) -> None:
        """Record that a call was refused.

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

    def refusal(self, call_id: str) -> outcomes.Refusal | None:
        """Return the refusal of an earlier attempt of a call, if any."""
        refused = self.refused_calls.get(call_id)
        return None if refused is None else refused[1]
