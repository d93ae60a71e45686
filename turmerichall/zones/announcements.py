"""Takes announcements of backend servers on any instance."""

from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import dissemination as disseminating
from turmerichall.state import machine as machines
from turmerichall.zones import placing as placings

__all__ = ["Announcements"]


class Announcements:
    """Answers announcements, as the zone's authority or for it.

    Attributes:
        name: Name of this instance.
        machine: The replicated state.
        dissemination: Passes announcements on to the other instances.
        placing: This instance's part in placing for its own zone.
    """

    def __init__(
        self,
        name: str,
        machine: machines.Machine,
        dissemination: disseminating.Dissemination,
        placing: placings.Placing,
    ):
        self.name = name
        self.machine = machine
        self.dissemination = dissemination
        self.placing = placing

    async def announce(
        self, told: announcement.Announcement
    ) -> announcement.Reply:
        """Takes in one announcement.

        Args:
            told: What a backend server tells about itself.

        Returns:
            The answer: renewals and commands if this instance is the placing
            authority of the zone, otherwise where that one is.
        """
        refusal = self.dissemination.hear(told)
        if refusal is not None:
            return announcement.Reply(False, detail=refusal.detail)
        reply = self.placing.announce(told)
        if reply is not None:
            return reply
        address = self._authority_address(told.zone)
        return announcement.Reply(True, authority_address=address)

    def _authority_address(self, zone: str) -> str:
        holder = self.machine.grant(zone).holder
        if holder == self.name:
            return ""
        return self.dissemination.operators_addresses.get(holder, "")
