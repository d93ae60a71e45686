"""Accepted connections whose other end has not shown the cluster's key yet."""

import trio

from turmerichall import errors
from turmerichall.intake import budget as budgets
from turmerichall.intake import limits as intake_limits
from turmerichall.peers import envelope
from turmerichall.peers import handshake
from turmerichall.peers import link
from turmerichall.telemetry import repeat_limit

__all__ = ["MAX_STRANGERS", "Strangers"]

# A cluster of some hundred instances has at most one each, for a round trip.
MAX_STRANGERS = 256
DESCRIPTOR_SHARE = 1 / 8
LIMITS = intake_limits.Limits(
    2 * envelope.MAX_HELLO_BYTES * MAX_STRANGERS,
    MAX_STRANGERS,
    DESCRIPTOR_SHARE,
)


class Strangers:
    """Handshakes of accepted connections, the oldest of which gives way.

    Attributes:
        budget: Limits their number.
    """

    def __init__(self) -> None:
        self.budget = budgets.Budget(LIMITS)
        self._log_limit = repeat_limit.RepeatLimit()

    async def shake_hands(
        self,
        connection: envelope.Connection,
        key: bytes,
        name: str,
        address: str,
        timeout_seconds: float,
    ) -> handshake.Hello:
        """Perform the handshake on the accepting end; see `handshake.accept`.

        Returns:
            The hello of the other end, which has the key.

        Raises:
            PeerError: The other end does not have the key, or gave way to newer
                connections.
            trio.TooSlowError: The handshake took too long.
        """
        scope = trio.CancelScope()
        holding = self.budget.open(scope.cancel, trio.current_time())
        assert holding is not None, "none is being handled"
        try:
            with scope, trio.fail_after(timeout_seconds):
                hello = await handshake.accept(connection, key, name, address)
                connection.end_handshake()
                return hello
        finally:
            self.budget.close(holding)
        raise errors.PeerError("it gave way to newer connections")

    def report(self, log: link.Log | None, reason: str) -> None:
        """Log that a handshake failed, unless another one has just done."""
        times = self._log_limit.count(trio.current_time())
        if log is not None and times:
            log.info(
                "connection from unknown ended",
                peer="",
                reason=reason,
                times=times,
            )
