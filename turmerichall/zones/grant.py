"""The grant of the placing authority of an availability zone."""

from typing import NamedTuple

from turmerichall.leases import lease

__all__ = ["GRANT_SECONDS", "Grant", "no_grant", "takeover_after_seconds"]

GRANT_SECONDS = 9.0
RENEWAL_PERIOD_SECONDS = 3.0
# How long an authority without a quorum goes on renewing leases of batch
# tasks.  Leases of services are renewed without this limit, because their
# tasks never move to another zone.
QUORUM_LOSS_GRACE_SECONDS = 300.0


class Grant(NamedTuple):
    """Who may place tasks on the workers of a zone.

    Attributes:
        zone: The availability zone.
        holder: Name of the entry instance that holds the grant.
        epoch: Grows by one with each holder; fences the ones before.
        renewal: Grows by one with each renewal within the epoch.
        unconfirmed: Earlier holders that were not yet seen to have stopped
            renewing leases.
    """

    zone: str
    holder: str
    epoch: int
    renewal: int
    unconfirmed: tuple[str, ...] = ()

    def taken_by(self, holder: str) -> "Grant":
        """Returns the grant after a takeover."""
        earlier = dict.fromkeys((*self.unconfirmed, self.holder))
        earlier.pop(holder, None)
        earlier.pop("", None)
        return Grant(self.zone, holder, self.epoch + 1, 0, tuple(earlier))

    def released(self) -> "Grant":
        """Returns the grant after its holder gave it back."""
        return self._replace(holder="", renewal=self.renewal + 1)

    def renewed(self, confirmed: tuple[str, ...]) -> "Grant":
        """Returns the grant after a renewal.

        Args:
            confirmed: Earlier holders that have stopped renewing leases.
        """
        left = tuple(
            holder for holder in self.unconfirmed if holder not in confirmed
        )
        return self._replace(renewal=self.renewal + 1, unconfirmed=left)


def no_grant(zone: str) -> Grant:
    """Returns the grant of a zone that never had a holder."""
    return Grant(zone, "", 0, 0)


def takeover_after_seconds() -> float:
    """Returns how long a grant must go without a renewal before a takeover.

    The holder counts its term from before it proposed the renewal, any other
    instance from when it applied it; so this wait outlasts the holder's term.
    """
    return lease.ended_after_seconds(GRANT_SECONDS)
