"""Handles the announcements that backend servers send to an instance."""

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import dissemination as disseminating
from turmerichall.backend_servers import updates
from turmerichall.state import machine as machines
from turmerichall.zones import scheduler as schedulers

__all__ = ["AnnouncementHandler"]


class AnnouncementHandler:
    """Handles announcements, whether or not this is the placement authority.

    Attributes:
        name: Name of this instance.
        machine: The replicated state.
        dissemination: Checks announcements and forwards them to the other
            instances.
        scheduler: The scheduler of this instance's zone.
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
        """Handle an announcement.

        Args:
            announcement: The announcement of a backend server, sent in full
                or completed from an update.
            measured: Those of the worker's task reports whose usage was
                measured anew; None if it was in all of them.

        Returns:
            The reply.  If this instance is the placement authority of the
            zone, it has renewed leases and commands, otherwise the address of
            the authority.  A refused announcement gets the reason.
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
        """Handle an update, which has only the changes of an announcement.

        Args:
            update: The changes since an earlier announcement or update.

        Returns:
            The reply, or the reason why the backend server has to send a full
            announcement at once.  In that case the update is not applied.
        """
        announcement = self._apply_update(update)
        if isinstance(announcement, outcomes.RetryReason):
            refused = announcements.Reply(
                False, detail="send a full announcement"
            )
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
            # The message in which the authority sends its address has not
            # arrived here yet, so takes the address from the replicated state.
            # Without one, the worker would keep announcing itself here.
            address = listed.operators
        return address
