"""Failure detector for the instances of a zone.

The placement authority of a zone watches the other instances there.  It marks
an instance from which nothing arrives as absent in the replicated state, so
that the others take over most of its shares of the workers' limits.  The
instance may still be running, partitioned from the others; `share_lease` makes
this safe.
"""

from collections.abc import Callable
from typing import Protocol

import trio

from turmerichall.instances import presence as presences
from turmerichall.state import change as changes
from turmerichall.state import proposer
from turmerichall.telemetry import logs

__all__ = ["ABSENT_AFTER_SECONDS", "AbsenceDetector"]

PERIOD_SECONDS = 5.0
# Time without any message from an instance after which it is marked as absent.
# A planned restart takes less, so that it does not count as absence.
ABSENT_AFTER_SECONDS = 30.0
# `ABSENT_AFTER_SECONDS` doubles with each recent absence of an instance, up to
# this factor.
MAX_BACKOFF_FACTOR = 16
# Time without another absence after which the factor is 1 again.
BACKOFF_RESET_SECONDS = 1800.0


class Network(Protocol):
    """Connections to the other instances, such as `peers.network.Network`."""

    def last_heard(self, name: str, /) -> float:
        """Return when anything last arrived from an instance.

        Returns:
            The trio time; minus infinity if nothing ever arrived.
        """


class AbsenceDetector:
    """Failure detector that marks the silent instances of a zone as absent.

    Attributes:
        name: Name of this instance.
        zone: Its availability zone.
        is_authority: Returns whether this instance is the placement authority
            of the zone at a given trio time.
        machine: The replicated state.
        network: Returns when anything last arrived from each instance.
        submitter: Submits changes to the replicated log.
        authority_since: When this instance first found that it is the placement
            authority, trio time; infinity if it is not.
        absences: Number of recent absences of each instance, and when the last
            one was recorded, trio time, by name of the instance.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        is_authority: Callable[[float], bool],
        machine: presences.Instances,
        network: Network,
        submitter: proposer.Submitter,
    ):
        self.name = name
        self.zone = zone
        self.is_authority = is_authority
        self.machine = machine
        self.network = network
        self.submitter = submitter
        self.authority_since = float("inf")
        self.absences: dict[str, tuple[int, float]] = {}
        self.log = logs.Log("instances")

    async def run(self) -> None:
        """Check the instances of the zone periodically."""
        while True:
            await self.check_instances()
            await trio.sleep(PERIOD_SECONDS)

    async def check_instances(self) -> None:
        """Mark instances of the zone as absent if they are silent for too long.

        Does nothing unless this instance is the zone's placement authority.
        """
        now = trio.current_time()
        if not self.is_authority(now):
            self.authority_since = float("inf")
            return
        self.authority_since = min(self.authority_since, now)
        for name, entry in list(self.machine.instances.items()):
            if entry.zone != self.zone or name == self.name:
                continue
            absent = self.machine.presence(name) == presences.Presence.ABSENT
            if not absent and self._is_silent(name, now):
                await self._mark_absent(name, now)

    def _is_silent(self, name: str, now: float) -> bool:
        """Return whether an instance has been silent for too long.

        Only the time since this instance became the placement authority counts.
        The limit is `ABSENT_AFTER_SECONDS` times the back-off factor.
        """
        silent_since = max(self.authority_since, self.network.last_heard(name))
        factor = min(1 << self._recent_absences(name, now), MAX_BACKOFF_FACTOR)
        return now - silent_since > ABSENT_AFTER_SECONDS * factor

    def _recent_absences(self, name: str, now: float) -> int:
        """Return the number of recent absences of an instance.

        It is 0 if the last one was more than `BACKOFF_RESET_SECONDS` ago.
        """
        count, last_at = self.absences.get(name, (0, now))
        return count if now - last_at <= BACKOFF_RESET_SECONDS else 0

    async def _mark_absent(self, name: str, now: float) -> None:
        absent = presences.Presence.ABSENT
        result = await self.submitter.submit(
            changes.SetPresence(name, absent, self.name)
        )
        if isinstance(result, changes.Result):
            self.absences[name] = (self._recent_absences(name, now) + 1, now)
            self.log.warning("instance marked as absent", instance=name)
