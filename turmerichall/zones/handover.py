"""Asks earlier holders of a zone's grant to stop, and notes who confirms it."""

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import dissemination
from turmerichall.zones import scheduler as schedulers

__all__ = ["Handover"]

STOP_CALL = "zones/stop"
REQUEST_PERIOD_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 2.0


class Handover:
    """Handover of a zone's grant between two instances that can communicate.

    The new holder asks the earlier ones to stop renewing leases.  Without
    their confirmation, it has to wait until they can no longer do so.

    Attributes:
        scheduler: The scheduler of this instance's zone.
        links: Connections to the other instances.
    """

    def __init__(
        self, scheduler: schedulers.ZoneScheduler, links: dissemination.Links
    ):
        self.scheduler = scheduler
        self.links = links
        links.handle(STOP_CALL, self._on_stop)

    async def run(self) -> None:
        """Ask unconfirmed earlier holders to stop, until cancelled."""
        while True:
            holder = self.scheduler.holder
            if holder.holds():
                for name in holder.unconfirmed_holders():
                    await self._request_stop(name, holder.held_epoch)
            await trio.sleep(REQUEST_PERIOD_SECONDS)

    async def _request_stop(self, name: str, epoch: int) -> None:
        body = msgspec.msgpack.encode((self.scheduler.zone, epoch))
        answer = await self.links.call(
            name, STOP_CALL, body, REQUEST_TIMEOUT_SECONDS
        )
        if isinstance(answer, outcomes.Refusal):
            return
        if self.scheduler.holder.held_epoch == epoch:
            self.scheduler.confirm_holder_stopped(name)

    async def _on_stop(self, _: str, body: bytes) -> bytes:
        zone, epoch = msgspec.msgpack.decode(body, type=tuple[str, int])
        if zone == self.scheduler.zone:
            self.scheduler.holder.step_down(epoch)
        return b"stopped"
