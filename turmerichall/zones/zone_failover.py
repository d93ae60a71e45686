"""Failover of the batch tasks of a lost zone to other zones.

An authority without a quorum renews the leases of batch tasks for
`QUORUM_LOSS_GRACE_SECONDS`; workers stop the tasks when their leases expire
after that.  Only then does the authority of another zone acquire the lost
zone's grant, which fences its previous holder, and record the tasks as lost,
so that they wait to be started again.  Service tasks stay in their zone.
"""

import time

import trio

from turmerichall.leases import lease
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.state import proposer as proposing
from turmerichall.telemetry import logs
from turmerichall.zones import grant as grants
from turmerichall.zones import grant_holder

__all__ = ["ZoneFailover", "zone_lost_after_seconds"]

CHECK_PERIOD_SECONDS = 5.0
MAX_ENDS_PER_CHANGE = 256


def zone_lost_after_seconds() -> float:
    """Return after how many seconds without a renewal a zone is lost.

    The time covers the duration of the zone's grant, the time in which an
    authority without a quorum renews leases, and the last leases it renewed.

    Examples:
        >>> zone_lost_after_seconds() > grants.QUORUM_LOSS_GRACE_SECONDS
        True
    """
    hold = lease.ended_after_seconds(grants.QUORUM_LOSS_GRACE_SECONDS)
    stopped = lease.task_ended_after_seconds()
    return grants.takeover_after_seconds() + hold + stopped


class ZoneFailover:
    """Watches the grants of all zones and recovers the tasks of lost zones.

    Attributes:
        holder: Holds the grant of this instance's own zone.  Only an
            authority recovers the tasks of lost zones.
        machine: The replicated state.
        proposer: Submits changes.
        observed: The grant of each zone as last seen, and when it was first
            seen with these values, trio time.
    """

    def __init__(
        self,
        holder: grant_holder.GrantHolder,
        machine: machines.StateMachine,
        proposer: proposing.Submitter,
    ):
        self.holder = holder
        self.machine = machine
        self.proposer = proposer
        self.observed: dict[str, tuple[grants.Grant, float]] = {}
        self.log = logs.Log("placement")

    async def run(self) -> None:
        """Check all zones periodically, until cancelled."""
        while True:
            await self.check_zones()
            await trio.sleep(CHECK_PERIOD_SECONDS)

    async def check_zones(self) -> None:
        """Check each zone once, and recover the tasks of lost zones."""
        now = trio.current_time()
        for zone, grant in list(self.machine.grants.items()):
            known = self.observed.get(zone)
            if known is None or known[0] != grant:
                self.observed[zone] = (grant, now)
            elif now - known[1] > zone_lost_after_seconds():
                await self._recover(grant)

    async def _recover(self, grant: grants.Grant) -> None:
        now = trio.current_time()
        if grant.zone == self.holder.zone or not self.holder.may_start(now):
            return
        if not self._lost_batch_ends(grant.zone):
            return
        acquired = await self.proposer.submit(
            changes.TakeGrant(
                grant.zone, self.holder.name, grant.epoch, grant.renewal
            )
        )
        if not grant_holder.is_applied(acquired):
            return
        assert isinstance(acquired, changes.Result)
        await self.machine.wait_applied(acquired.position)
        ends = self._lost_batch_ends(grant.zone)
        self.log.warning("zone is lost", zone=grant.zone, tasks=len(ends))
        for first in range(0, len(ends), MAX_ENDS_PER_CHANGE):
            part = ends[first : first + MAX_ENDS_PER_CHANGE]
            await self.proposer.submit(
                changes.EndTasks(
                    grant.zone, acquired.version, time.time(), part
                )
            )

    def _lost_batch_ends(self, zone: str) -> list[changes.End]:
        reason = f"zone {zone} is lost; its leases have ended"
        return [
            changes.End(
                task.task_id, task.attempt, changes.Ending.LOST, reason=reason
            )
            for task in self.machine.job_store.live_tasks_in(zone)
            if self.machine.job_store.is_batch(task)
        ]
