"""Submission of changes of the replicated state to the replicated log."""

from typing import Protocol

from turmerichall import outcomes
from turmerichall.state import change as changes

__all__ = ["Proposer", "ReplicatedLog", "Submitter"]


class Submitter(Protocol):
    """Submitter of changes; implemented by `Proposer`."""

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Submit a change and wait for its result."""


class ReplicatedLog(Protocol):
    """Replicated log; implemented by `agreement.replica.Replica`."""

    async def propose(
        self, change: bytes, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """Commit a change and return the encoded result of applying it."""


class Proposer:
    """Submitter that encodes changes for the log and decodes their results.

    Attributes:
        log: The replicated log.
    """

    def __init__(self, log: ReplicatedLog):
        self.log = log

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Submit a change and wait for its result.

        Args:
            change: The change.

        Returns:
            The result of applying the change; a refusal if the change was
            provably not logged; `Unknown` if it may be committed, now or later.
        """
        answer = await self.log.propose(changes.encode(change))
        if isinstance(answer, bytes):
            return changes.decode_result(answer)
        return answer
