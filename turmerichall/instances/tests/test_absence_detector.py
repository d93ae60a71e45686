"""Tests of how a zone's placement authority marks instances as absent."""

import trio
import trio.testing

from turmerichall.instances import absence_detector
from turmerichall.instances import instance
from turmerichall.instances import presence as presences
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

STEP_SECONDS = 1.0


class _Zone:
    """The placement authority i1, with i2 in its zone and i3 in another.

    Attributes:
        heard_at: When each other instance was last heard from, trio time.
    """

    def __init__(self) -> None:
        self.machine = machines.StateMachine()
        self.heard_at: dict[str, float] = {}
        self.is_authority = True
        for name, zone in {"i1": "z1", "i2": "z1", "i3": "z2"}.items():
            entry = instance.Instance(name, "r", zone, "", "", "", False)
            self.apply(changes.RegisterInstance(entry))
        self.detector = absence_detector.AbsenceDetector(
            "i1", "z1", lambda _: self.is_authority, self.machine, self, self
        )

    def last_heard(self, name: str) -> float:
        """Return when an instance was last heard from."""
        return self.heard_at.get(name, -float("inf"))

    def apply(self, change: changes.Change) -> changes.Result:
        """Apply a change to the state and return its result."""
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)

    async def submit(self, change: changes.Change) -> changes.Result:
        """Apply a change and return its result; see `proposer.Submitter`."""
        return self.apply(change)

    async def seconds_until_absent(self) -> float:
        """Return after how many seconds of silence i2 is marked as absent.

        Before its silence i2 is made present and heard from once more.
        """
        for presence in (
            presences.Presence.RETURNING,
            presences.Presence.PRESENT,
        ):
            self.apply(changes.SetPresence("i2", presence, "i2"))
        began_at = self.heard_at["i2"] = trio.current_time()
        while not self.machine.absent_or_returning:
            await trio.sleep(STEP_SECONDS)
            await self.detector.check_instances()
        return trio.current_time() - began_at


class TestAbsenceDetector:

    async def test_only_silent_instance_of_own_zone_is_marked_absent(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone = _Zone()
        await zone.seconds_until_absent()
        assert list(zone.machine.absent_or_returning) == ["i2"]

    async def test_new_authority_waits_the_full_time(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone = _Zone()
        zone.is_authority = False
        await trio.sleep(absence_detector.ABSENT_AFTER_SECONDS)
        await zone.detector.check_instances()
        zone.is_authority = True
        await zone.detector.check_instances()
        assert not zone.machine.absent_or_returning

    async def test_waits_longer_for_a_flapping_instance(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone = _Zone()
        waits = [await zone.seconds_until_absent() for _ in range(7)]
        bound = (
            absence_detector.ABSENT_AFTER_SECONDS
            * absence_detector.MAX_BACKOFF_FACTOR
        )
        assert waits == sorted(waits)
        assert waits[1] > 1.9 * waits[0]
        assert waits[-1] == waits[-2] <= bound + STEP_SECONDS
        await trio.sleep(absence_detector.BACKOFF_RESET_SECONDS)
        assert await zone.seconds_until_absent() <= waits[0]
