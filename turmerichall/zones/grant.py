"""The grant that makes an instance the placement authority of a zone."""

from typing import NamedTuple

from turmerichall.leases import lease

__all__ = ["GRANT_SECONDS", "Grant", "no_grant", "takeover_after_seconds"]

GRANT_SECONDS = 9.0
RENEWAL_PERIOD_SECONDS = 3.0
# How long an authority without a quorum keeps renewing the leases of batch
# tasks.  It renews the leases of service tasks without this limit, because
# they never move to another zone.
QUORUM_LOSS_GRACE_SECONDS = 300.0


class Grant(NamedTuple):
    """The exclusive right to place tasks on the workers of a zone.

    Attributes:
        zone: The availability zone.
        holder: Name of the entry instance that holds the grant; empty if no
            instance does.
        epoch: Fencing token; increases by one with each new holder.
        renewal: Increases by one with each renewal or release within the
            epoch; 0 at the start of an epoch.
        unconfirmed: Earlier holders that have not yet confirmed that they no
            longer renew leases.
    """

    zone: str
    holder: str
    epoch: int
    renewal: int
    unconfirmed: tuple[str, ...] = ()

    def transferred_to(self, holder: str) -> "Grant":
        """Return a copy with a new holder and the next epoch.

        The present holder becomes unconfirmed, unless it is the new holder.
        """
        earlier = dict.fromkeys((*self.unconfirmed, self.holder))
        earlier.pop(holder, None)
        earlier.pop("", None)
        return Grant(self.zone, holder, self.epoch + 1, 0, tuple(earlier))

    def released(self) -> "Grant":
        """Return a copy of the grant without a holder."""
        return self._replace(holder="", renewal=self.renewal + 1)

    def renewed(self, confirmed: tuple[str, ...]) -> "Grant":
        """Return a copy of the grant that counts one more renewal.

        Args:
            confirmed: Earlier holders that have confirmed that they no longer
                renew leases; the copy does not list them as unconfirmed.
        """
        remaining = tuple(
            holder for holder in self.unconfirmed if holder not in confirmed
        )
        return self._replace(renewal=self.renewal + 1, unconfirmed=remaining)


def no_grant(zone: str) -> Grant:
    """Create the grant of a zone that never had a holder."""
    return Grant(zone, "", 0, 0)


def takeover_after_seconds() -> float:
    """Return after how many seconds without a renewal a grant may be taken.

    The holder counts the duration of its grant from before it proposes a
    renewal; another instance counts from when it applies the renewal.  So the
    holder's grant has expired by the time another instance takes it.
    """
    return lease.ended_after_seconds(GRANT_SECONDS)
