"""Acquires, renews and releases the grant of one availability zone."""

import math

import trio

from turmerichall import outcomes
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.state import proposer as proposing
from turmerichall.telemetry import logs
from turmerichall.zones import grant as grants

__all__ = ["GrantHolder", "is_applied"]

OBSERVE_PERIOD_SECONDS = 0.5


class GrantHolder:
    """Acquires the grant of one zone for this instance, and keeps it.

    Attributes:
        zone: The availability zone.
        name: Name of this instance.
        machine: The replicated state.
        proposer: Submits changes.
        held_epoch: Epoch of the grant that this instance has acquired since it
            was started; 0 if it holds none.
        acquired_at: When it acquired the grant in that epoch, trio time.
        renewed_at: When the last successful renewal was sent, trio time.
        stopped_holders: Earlier holders that have confirmed that they no
            longer renew leases; the next renewal records them.
        observed: The zone's grant as this instance last saw it.
        observed_at: When it was first seen with these values, trio time.
        draining: Whether this instance no longer acquires the grant.
    """

    def __init__(
        self,
        zone: str,
        name: str,
        machine: machines.StateMachine,
        proposer: proposing.Submitter,
    ):
        self.zone = zone
        self.name = name
        self.machine = machine
        self.proposer = proposer
        self.held_epoch = 0
        self.acquired_at = -math.inf
        self.renewed_at = -math.inf
        self.stopped_holders: set[str] = set()
        self.observed = grants.no_grant(zone)
        self.observed_at = -math.inf
        self.draining = False
        self.log = logs.Log("placement")

    def holds(self) -> bool:
        """Return whether this instance holds the grant, as far as it knows."""
        current = self.machine.grant(self.zone).epoch
        return self.held_epoch > 0 and self.held_epoch == current

    def may_start(self, now: float) -> bool:
        """Return whether this instance may start tasks.

        It may while it holds the grant and the grant has not expired.
        """
        return self.holds() and now < self.renewed_at + grants.GRANT_SECONDS

    def may_renew_batch(self, now: float) -> bool:
        """Return whether this instance may renew leases of batch tasks.

        It may while it holds the grant, but no longer than
        `QUORUM_LOSS_GRACE_SECONDS` after its last successful renewal.
        """
        until = self.renewed_at + grants.QUORUM_LOSS_GRACE_SECONDS
        return self.holds() and now < until

    async def run(self) -> None:
        """Acquire the grant when possible and renew it, until cancelled."""
        while True:
            self.observe()
            if self.holds():
                await self._renew()
                await trio.sleep(grants.RENEWAL_PERIOD_SECONDS)
            elif self._is_available(grants.takeover_after_seconds()):
                await self.acquire()
                await trio.sleep(OBSERVE_PERIOD_SECONDS)
            else:
                await trio.sleep(OBSERVE_PERIOD_SECONDS)

    def observe(self) -> None:
        """Note the zone's current grant and, if it has changed, the time."""
        current = self.machine.grant(self.zone)
        if current != self.observed or self.observed_at == -math.inf:
            self.observed = current
            self.observed_at = trio.current_time()

    def _is_available(self, after_seconds: float) -> bool:
        if self.draining:
            return False
        if self.observed.holder in ("", self.name):
            return True
        return trio.current_time() - self.observed_at > after_seconds

    async def acquire(self) -> bool:
        """Try to acquire the grant; fails if it has changed since last seen.

        Returns:
            Whether the grant was acquired.
        """
        observed = self.observed
        sent_at = trio.current_time()
        result = await self.proposer.submit(
            changes.TakeGrant(
                self.zone, self.name, observed.epoch, observed.renewal
            )
        )
        if not is_applied(result):
            return False
        assert isinstance(result, changes.Result)
        self.held_epoch = result.version
        self.renewed_at = sent_at
        self.acquired_at = trio.current_time()
        self.stopped_holders = set()
        self.log.info("grant acquired", zone=self.zone, epoch=self.held_epoch)
        return True

    def step_down(self, epoch: int) -> None:
        """Stop acting as the holder, if the held epoch is below `epoch`."""
        if self.held_epoch < epoch:
            self.held_epoch = 0

    async def release(self) -> None:
        """Release the grant, so that another instance can acquire it at once.

        This instance does not acquire it again.
        """
        self.draining = True
        if not self.holds():
            return
        epoch = self.held_epoch
        self.held_epoch = 0
        await self.proposer.submit(
            changes.ReleaseGrant(self.zone, self.name, epoch)
        )
        self.log.info("grant released", zone=self.zone, epoch=epoch)

    def unconfirmed_holders(self) -> list[str]:
        """Return earlier holders of the grant that may still renew leases."""
        unconfirmed = self.machine.grant(self.zone).unconfirmed
        return [
            name for name in unconfirmed if name not in self.stopped_holders
        ]

    async def _renew(self) -> None:
        sent_at = trio.current_time()
        renewal = changes.RenewGrant(
            self.zone, self.name, self.held_epoch, tuple(self.stopped_holders)
        )
        result = await self.proposer.submit(renewal)
        if is_applied(result):
            self.renewed_at = sent_at
        elif isinstance(result, changes.Result):
            self.log.warning("grant lost", zone=self.zone, holder=result.holder)
            self.held_epoch = 0


def is_applied(
    result: changes.Result | outcomes.Refusal | outcomes.Unknown,
) -> bool:
    """Return whether a submitted change was applied."""
    if not isinstance(result, changes.Result):
        return False
    return result.status == changes.Status.APPLIED
