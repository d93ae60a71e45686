"""Takes announcements of backend servers on any instance."""

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import dissemination as disseminating
from turmerichall.backend_servers import updates
from turmerichall.state import machine as machines
from turmerichall.zones import scheduler as schedulers

__all__ = ["AnnouncementHandler"]


class AnnouncementHandler:
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
        machine: machines.StateMachine,
        dissemination: disseminating.Dissemination,
        scheduler: schedulers.ZoneScheduler,
    ):
        self.name = name
        self.machine = machine
        self.dissemination = dissemination
        self.scheduler = scheduler

    async def announce(
        self,
        announcement: announcements.Announcement,
        measured: tuple[announcements.TaskReport, ...] | None = None,
    ) -> announcements.Reply:
        """Takes in one announcement.

        Args:
            told: What a backend server tells about itself.
            measured: Its reports with a new measurement; all if None.

        Returns:
            The answer: renewals and commands if this instance is the placing
            authority of the zone, otherwise where that one is.
        """
        refusal = self.dissemination.accept(announcement)
        if refusal is not None:
            return announcements.Reply(False, detail=refusal.detail)
        reply = self.scheduler.announce(announcement, measured)
        if reply is not None:
            return reply
        address = self._authority_address(announcement.zone)
        return announcements.Reply(True, authority_address=address)

    async def update(self, update: updates.Update) -> updates.UpdateReply:
        """Takes in what changed since an announcement.

        Args:
            update: What a backend server tells in place of an announcement.

        Returns:
            The answer, or why a whole announcement is to be sent at once; the
            update has then changed nothing.
        """
        announcement = self._apply_update(update)
        if isinstance(announcement, outcomes.RetryReason):
            refused = announcements.Reply(False, detail="send it whole")
            return updates.UpdateReply(refused, whole=announcement.value)
        reply = await self.announce(
            announcement, updates.newly_measured(announcement, update)
        )
        return updates.compact_reply(announcement, update, reply)

    def _apply_update(
        self, update: updates.Update
    ) -> announcements.Announcement | outcomes.RetryReason:
        known = self.dissemination.directory.entries.get(update.name)
        if known is None or known.via:
            return outcomes.RetryReason.UNKNOWN_BASE
        if known.announcement.sequence != update.base:
            return outcomes.RetryReason.BASE_MISMATCH
        announcement = updates.apply_update(known.announcement, update)
        if announcement is None:
            return outcomes.RetryReason.DIGEST_MISMATCH
        if self.scheduler.needs_full_announcement(
            announcement.zone, announcement.name
        ):
            return outcomes.RetryReason.NEW_AUTHORITY
        return announcement

    def _authority_address(self, zone: str) -> str:
        holder = self.machine.grant(zone).holder
        if holder == self.name:
            return ""
        address = self.dissemination.operators_addresses.get(holder, "")
        listed = self.machine.instances.get(holder)
        if not address and listed is not None:
            # The holder was not heard yet, and the worker would stay here.
            address = listed.operators
        return address
