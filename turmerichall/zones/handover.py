"""Tells earlier holders of a grant to stop, and learns that they did."""

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import dissemination
from turmerichall.zones import scheduler as schedulers

__all__ = ["Handover"]

STOP = "zones/stop"
ASK_SECONDS = 1.0
ASK_TIMEOUT_SECONDS = 2.0


class Handover:
    """Shortens the wait for leases that an earlier holder may renew.

    Attributes:
        placing: This instance's part in placing.
        links: Connections to the other instances.
    """

    def __init__(
        self, placing: schedulers.ZoneScheduler, links: dissemination.Links
    ):
        self.placing = placing
        self.links = links
        links.handle(STOP, self._on_stop)

    async def run(self) -> None:
        """Asks the earlier holders that may still act, for ever."""
        while True:
            holder = self.placing.holder
            if holder.holds():
                for name in holder.earlier_holders():
                    await self._ask(name, holder.held_epoch)
            await trio.sleep(ASK_SECONDS)

    async def _ask(self, name: str, epoch: int) -> None:
        body = msgspec.msgpack.encode((self.placing.zone, epoch))
        answer = await self.links.call(name, STOP, body, ASK_TIMEOUT_SECONDS)
        if isinstance(answer, outcomes.Refusal):
            return
        if self.placing.holder.held_epoch == epoch:
            self.placing.note_stopped(name)

    async def _on_stop(self, _: str, body: bytes) -> bytes:
        zone, epoch = msgspec.msgpack.decode(body, type=tuple[str, int])
        if zone == self.placing.zone:
            self.placing.holder.give_up(epoch)
        return b"stopped"
