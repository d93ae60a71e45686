"""Decision whether an instance may accept what it has just read.

Answers an instance that stood still for longer than the cancellation of an
unknown job is kept: what waits in its connections may be submissions of jobs
that were canceled meanwhile, and it can't tell how old they are.

`entry_daemon.EntryDaemon` asks before it forwards a submission.
"""

from turmerichall import outcomes

__all__ = ["STALLED", "StallDetector"]

# Time without a turn from which the age of received submissions is in doubt: a
# fifth of the time for which the cancellation of an unknown job is kept.
STALL_SECONDS = 60.0
# Time after which everything that was received during it has been read.
READ_SECONDS = 5.0
# Time between two turns of an instance that runs.
TURN_SECONDS = 1.0

STALLED = outcomes.Refusal(
    outcomes.RefusalReason.NO_QUORUM,
    "the instance stood still, so the age of the submission is unknown",
    READ_SECONDS,
)


class StallDetector:
    """Detects that a process did not run for long.

    Attributes:
        turn_at: Time of the latest turn, in seconds.
        resumed_at: Time at which it ran again after a stall, in seconds.
    """

    def __init__(self, now: float):
        self.turn_at = now
        self.resumed_at = -float("inf")

    def turn(self, now: float) -> bool:
        """Record that the process runs; return whether a stall has ended.

        Args:
            now: Time on a clock that goes on while the process, or the whole
                machine, stands still.

        Examples:
            >>> detector = StallDetector(0.0)
            >>> detector.turn(1.0), detector.turn(90.0), detector.turn(91.0)
            (False, True, False)
        """
        stalled = now - self.turn_at > STALL_SECONDS
        if stalled:
            self.resumed_at = now
        self.turn_at = now
        return stalled

    def find_refusal(self, now: float) -> outcomes.Refusal | None:
        """Return why a submission read now is not accepted, if it is not.

        Args:
            now: See `turn`.
        """
        self.turn(now)
        return STALLED if now - self.resumed_at < READ_SECONDS else None
