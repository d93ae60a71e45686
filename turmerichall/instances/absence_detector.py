"""Notes which instances of a zone fell silent.

The placing authority of a zone watches the other instances there.  One from
which nothing arrives is noted as absent in the replicated state, and the others
are given most of its parts of the workers' limits.  That it runs on, cut off,
is provided for: see `instances.share_lease`.
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
# Longer than a planned restart takes.
ABSENT_AFTER_SECONDS = 30.0
# The time is doubled for one that was noted before, up to this factor.
MOST_DOUBLED = 16
# One that was not noted for this long starts anew.
FORGIVEN_AFTER_SECONDS = 1800.0


class Network(Protocol):
    """Connections to the others; `peers.network.Network` is one."""

    def last_heard(self, name: str, /) -> float:
        """Returns the trio time at which anything last arrived, or -inf."""


class AbsenceDetector:
    """Watches the other instances of one zone.

    Attributes:
        name: Name of this instance.
        zone: Its availability zone.
        is_authority: Tells whether it is the placing authority now.
        machine: The replicated state.
        network: Tells when each instance was heard.
        changes: Submits changes.
        since: Since when this one is the authority, trio time.
        noted: How often each was noted, and when last.
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
        self.changes = submitter
        self.since = float("inf")
        self.noted: dict[str, tuple[int, float]] = {}
        self.log = logs.Log("instances")

    async def run(self) -> None:
        """Watches for ever."""
        while True:
            await self.step()
            await trio.sleep(PERIOD_SECONDS)

    async def step(self) -> None:
        """Looks at each instance of the zone once."""
        now = trio.current_time()
        if not self.is_authority(now):
            self.since = float("inf")
            return
        self.since = min(self.since, now)
        for name, entry in list(self.machine.instances.items()):
            if entry.zone != self.zone or name == self.name:
                continue
            absent = self.machine.presence(name) == presences.Presence.ABSENT
            if not absent and self._is_silent(name, now):
                await self._note(name, now)

    def _is_silent(self, name: str, now: float) -> bool:
        """Tells whether one was silent for as long as this one watches."""
        heard_at = max(self.since, self.network.last_heard(name))
        factor = min(1 << self._times(name, now), MOST_DOUBLED)
        return now - heard_at > ABSENT_AFTER_SECONDS * factor

    def _times(self, name: str, now: float) -> int:
        """Returns how often an instance was noted lately."""
        times, last = self.noted.get(name, (0, now))
        return times if now - last <= FORGIVEN_AFTER_SECONDS else 0

    async def _note(self, name: str, now: float) -> None:
        absent = presences.Presence.ABSENT
        result = await self.changes.submit(
            changes.SetPresence(name, absent, self.name)
        )
        if isinstance(result, changes.Result):
            self.noted[name] = (self._times(name, now) + 1, now)
            self.log.warning("an instance is absent", instance=name)
