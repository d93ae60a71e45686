"""Commits of one leader's term."""

from typing import Protocol

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import link
from turmerichall.queues import acceptance
from turmerichall.queues import change as changes
from turmerichall.supervision import failure as failures
from turmerichall.telemetry import lightweight_metrics

__all__ = ["CALLER_COMMIT_SECONDS", "OWN_COMMIT_SECONDS", "Commits", "Log"]

# Timeout of the leader's own commits; it ends its term if one of them fails.
OWN_COMMIT_SECONDS = 20.0
# Timeout of a commit that a caller waits for; its outcome is then unknown.
CALLER_COMMIT_SECONDS = 2.5


class Log(Protocol):
    """The replicated log; `agreement.replica.Replica` implements it."""

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """Commit and apply a change only if this replica leads in a term."""


class Commits:
    """Commits changes in one term.

    Attributes:
        replica: The replica that leads in the term.
        term: The term.
    """

    def __init__(
        self,
        replica: Log,
        term: int,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
    ):
        self.replica = replica
        self.term = term
        self._log = log
        self._metrics_registry = metrics_registry

    async def commit(
        self, change: changes.Change, timeout_seconds: float
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Commit and apply a change.

        Returns:
            None, or why the commit failed or is uncertain.  A change that the
            log can't hold is refused before it is appended.
        """
        began_at = trio.current_time()
        data = acceptance.encode(change)
        if isinstance(data, errors.Finding):
            self._metrics_registry.count(
                "changes_unstorable", change=data.place, reason=data.reason
            )
            self._log.error(
                "change can't be stored", change=data.place, reason=data.reason
            )
            return outcomes.Refusal(
                outcomes.RefusalReason.TOO_LARGE
                if data.reason == acceptance.TOO_LARGE
                else outcomes.RefusalReason.MALFORMED,
                str(data),
            )
        with failures.context(f"commit of {type(change).__name__}"):
            answer = await self.replica.propose_in_term(
                data, self.term, timeout_seconds
            )
        self._metrics_registry.record_latency(
            "commit", trio.current_time() - began_at
        )
        return None if isinstance(answer, bytes) else answer
