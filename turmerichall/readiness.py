"""Whether the balancer may send requests to this instance."""

import math
from typing import Protocol

import trio

from turmerichall import outcomes

__all__ = [
    "RECOVERY_TIMEOUT_SECONDS",
    "Readiness",
    "ReplicaState",
    "StatusSource",
]

# How long a restarted instance waits to be as new as before it was stopped.
RECOVERY_TIMEOUT_SECONDS = 10.0


class ReplicaState(Protocol):
    """What readiness reads of the replica's status."""

    @property
    def applied(self) -> int:
        """Position of the last applied change."""

    @property
    def stopped(self) -> str:
        """Why the replica stopped, or empty."""

    @property
    def recovered(self) -> bool:
        """Whether the state is at least as new as before a restart."""


class StatusSource(Protocol):
    """Gives the replica's status."""

    def status(self) -> ReplicaState:
        """Returns the status now."""


class Readiness:
    """Answers `/readyz`.

    An instance that is cut off from the quorum stays ready: it serves with
    the last accepted configuration.  So does one whose disk failed: it follows
    the others without a vote, and full disks on all instances must not take
    all of them out.  One that never had any configuration, or is draining, is
    not.  One that was restarted waits until its
    configuration is as new as what it showed before, but not for ever: it may
    be cut off.

    Attributes:
        replica: Gives the replica's status.
        draining: Whether the daemon is about to stop.
    """

    def __init__(self, replica: StatusSource):
        self.replica = replica
        self.draining = False
        self._wait_until = math.inf

    def __call__(self) -> outcomes.Refusal | None:
        """Returns None if requests may be sent here, or why not."""
        if self.draining:
            return _refusal(outcomes.RefusalReason.DRAINING, "stopping")
        status = self.replica.status()
        if status.stopped and not status.recovered:
            return _refusal(outcomes.RefusalReason.STOPPED, status.stopped)
        if status.applied == 0:
            detail = "no configuration was received yet"
            return _refusal(outcomes.RefusalReason.NO_QUORUM, detail)
        if not status.recovered and self._waits():
            detail = "the configuration may be older than before the restart"
            return _refusal(outcomes.RefusalReason.NO_QUORUM, detail)
        return None

    def _waits(self) -> bool:
        now = trio.current_time()
        self._wait_until = min(self._wait_until, now + RECOVERY_TIMEOUT_SECONDS)
        return now < self._wait_until


def _refusal(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(reason, detail, retry_after_seconds=1.0)
