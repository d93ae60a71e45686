"""Takes, renews and gives up the grant of one availability zone."""

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
    """One instance's part in the grant of one zone.

    Attributes:
        zone: The availability zone.
        name: Name of this instance.
        machine: The replicated state.
        proposer: Submits changes.
        held_epoch: Epoch that this run of the daemon holds; 0 if none.
        took_at: When that epoch was taken, trio time.
        renewed_at: When the last renewal that was applied had been sent.
        confirmed: Earlier holders that have stopped, to be recorded.
        seen: The grant as last observed.
        seen_at: When that was first observed, trio time.
        leaving: Whether this instance takes no grant any more.
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
        """Tells whether no later epoch than the held one is known here."""
        current = self.machine.grant(self.zone).epoch
        return self.held_epoch > 0 and self.held_epoch == current

    def may_start(self, now: float) -> bool:
        """Tells whether the term allows new starts."""
        return self.holds() and now < self.renewed_at + grants.GRANT_SECONDS

    def may_renew_batch(self, now: float) -> bool:
        """Tells whether leases of batch tasks may be renewed."""
        until = self.renewed_at + grants.QUORUM_LOSS_GRACE_SECONDS
        return self.holds() and now < until

    async def run(self) -> None:
        """Observes the grant, and takes or renews it, for ever."""
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
        """Notes when the grant last changed, as seen here."""
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
        """Tries to take the grant over as it was last seen.

        Returns:
            Whether this instance holds it now.
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
        self.log.info("took the grant", zone=self.zone, epoch=self.held_epoch)
        return True

    def step_down(self, epoch: int) -> None:
        """Stops acting for any epoch below `epoch`, which another holds."""
        if self.held_epoch < epoch:
            self.held_epoch = 0

    async def release(self) -> None:
        """Gives the grant back, so that another instance takes it at once."""
        self.draining = True
        if not self.holds():
            return
        epoch = self.held_epoch
        self.held_epoch = 0
        await self.proposer.submit(
            changes.ReleaseGrant(self.zone, self.name, epoch)
        )
        self.log.info("released the grant", zone=self.zone, epoch=epoch)

    def unconfirmed_holders(self) -> list[str]:
        """Returns the earlier holders that may still renew leases."""
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
            self.log.warning(
                "lost the grant", zone=self.zone, holder=result.holder
            )
            self.held_epoch = 0


def is_applied(
    result: changes.Result | outcomes.Refusal | outcomes.Unknown,
) -> bool:
    """Tells whether a submitted change was applied."""
    if not isinstance(result, changes.Result):
        return False
    return result.status == changes.Status.APPLIED
