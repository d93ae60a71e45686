"""Decides whether the load balancer may send requests to this instance."""

import math
from typing import Protocol

import trio

from turmerichall import outcomes

__all__ = [
    "RECOVERY_TIMEOUT_SECONDS",
    "Readiness",
    "ReplicaStatus",
    "StatusSource",
]

# How long a restarted instance stays "not ready" at most while its state may be
# older than before the restart.
RECOVERY_TIMEOUT_SECONDS = 10.0


class ReplicaStatus(Protocol):
    """The part of a replica's status that readiness depends on."""

    @property
    def applied(self) -> int:
        """Index in the log of the last applied change; 0 if there is none."""

    @property
    def stopped(self) -> str:
        """Why the replica stopped; empty while it works."""

    @property
    def recovered(self) -> bool:
        """Whether the state is at least as recent as before a restart."""


class StatusSource(Protocol):
    """Provides the replica's status."""

    def status(self) -> ReplicaStatus:
        """Return the current status."""


class Readiness:
    """Determines the response to `/readyz`.

    An instance without a quorum stays ready and serves with the last
    configuration that it accepted.  An instance whose disk failed stays ready
    too: it follows the others without a vote, and full disks on all instances
    must not take all of them out of service.  An instance that has never
    received a configuration, or that is draining, is not ready.  A restarted
    instance is not ready until its configuration is as recent as before, but
    waits at most `RECOVERY_TIMEOUT_SECONDS`, since it may be partitioned.

    Attributes:
        replica: Provides the replica's status.
        draining: Whether the daemon is about to stop.
    """

    def __init__(self, replica: StatusSource):
        self.replica = replica
        self.draining = False
        self._recovery_deadline = math.inf

    def __call__(self) -> outcomes.Refusal | None:
        """Return None if the instance is ready, otherwise why it is not."""
        if self.draining:
            return _refusal(outcomes.RefusalReason.DRAINING, "stopping")
        status = self.replica.status()
        if status.stopped and not status.recovered:
            return _refusal(outcomes.RefusalReason.STOPPED, status.stopped)
        if status.applied == 0:
            detail = "no configuration was received yet"
            return _refusal(outcomes.RefusalReason.NO_QUORUM, detail)
        if not status.recovered and self._is_recovering():
            detail = "the configuration may be older than before the restart"
            return _refusal(outcomes.RefusalReason.NO_QUORUM, detail)
        return None

    def _is_recovering(self) -> bool:
        now = trio.current_time()
        self._recovery_deadline = min(
            self._recovery_deadline, now + RECOVERY_TIMEOUT_SECONDS
        )
        return now < self._recovery_deadline


def _refusal(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(reason, detail, retry_after_seconds=1.0)
