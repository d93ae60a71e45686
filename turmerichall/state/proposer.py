"""Submits changes to the replicated state."""

from typing import Protocol

from turmerichall import outcomes
from turmerichall.state import change as changes

__all__ = ["Proposer", "ReplicatedLog", "Submitter"]


class Submitter(Protocol):
    """Submits changes; `Proposer` is one."""

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Submits a change and awaits its result."""


class ReplicatedLog(Protocol):
    """The replicated log; `agreement.replica.Replica` is one."""

    async def propose(
        self, change: bytes, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """Has a change committed and applied, and returns its result."""


class Proposer:
    """Turns typed changes into proposals and results back.

    Attributes:
        log: The replicated log.
    """

    def __init__(self, log: ReplicatedLog):
        self.log = log

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Submits a change and awaits its result.

        Args:
            change: The change.

        Returns:
            The result of applying it, a refusal if it was provably not
            logged, or `Unknown` if it may still be.
        """
        answer = await self.log.propose(changes.encode(change))
        if isinstance(answer, bytes):
            return changes.decode_result(answer)
        return answer
