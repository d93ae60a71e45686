"""Tests of the pools of an instance that sends no requests itself."""

import trio
import trio.testing

from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import fleet as fleets
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import selection
from turmerichall.gateway import shares
from turmerichall.state import configuration

MEMBERS = {"i1": "z1", "i2": "z2"}
MORE_MEMBERS = MEMBERS | {"i3": "z1"}
ANNOUNCEMENT = announcements.Announcement(
    "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
)


class _IdleInstance:
    """An entry instance that knows one backend server and sends nothing."""

    def __init__(self) -> None:
        self.old_loans_expired = False
        self.shares = shares.Shares("i1", MEMBERS)
        directory = directories.Directory(configuration.Configuration())
        directory.accept(ANNOUNCEMENT, trio.current_time())
        self.fleet = fleets.Fleet(
            directory,
            self.shares,
            selection.RoundRobin(),
            limits_module.Limits(),
            lambda: self.old_loans_expired,
            lambda name, seconds: None,
        )

    def held_slots(self) -> int:
        """Return the slots that the instance may lend from."""
        pool = self.fleet.find_pool("w", ANNOUNCEMENT.incarnation)
        assert pool
        return pool.slot_share.held


class TestSharesOfIdleInstance:
    """Pools follow a change of the shares even if no request uses them."""

    async def test_whole_share_is_used_once_old_loans_have_expired(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instance = _IdleInstance()
        before = instance.held_slots()
        instance.old_loans_expired = True
        share = shares.divide("w", "z1", ANNOUNCEMENT.slots, MEMBERS)["i1"]
        assert before < instance.held_slots() == share

    async def test_share_shrinks_when_the_list_grows(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instance = _IdleInstance()
        instance.old_loans_expired = True
        before = instance.held_slots()
        instance.shares.update(MORE_MEMBERS, trio.current_time())
        smaller_share = shares.divide(
            "w", "z1", ANNOUNCEMENT.slots, MORE_MEMBERS
        )["i1"]
        assert instance.held_slots() == smaller_share < before

    async def test_connections_above_the_share_are_closed(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instance = _IdleInstance()
        instance.held_slots()
        pool = instance.fleet.pools["w"]
        instance.shares.update(MORE_MEMBERS, trio.current_time())
        instance.fleet.close_unneeded_connections(trio.current_time())
        smaller_share = shares.divide(
            "w", "z1", ANNOUNCEMENT.connections, MORE_MEMBERS
        )["i1"]
        assert pool.max_connections() == smaller_share


class TestEvacuatedZone:

    async def test_its_servers_are_used_only_if_no_other_zone_has_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        fleet = _IdleInstance().fleet
        evacuated: set[str] = set()
        fleet.evacuated_zones = lambda: evacuated
        running = announcements.ReportedState.RUNNING
        report = announcements.TaskReport("svc:c/s/z1/0", 1, running)
        now = trio.current_time()
        for name, zone in (("w1", "z1"), ("w2", "z2")):
            announced = ANNOUNCEMENT._replace(
                name=name, zone=zone, tasks=(report,), address=f"{name}:1"
            )
            assert fleet.directory.accept(announced, now) is None

        def names() -> list[str]:
            pools = fleet.pools_serving("c", "s", now)
            return [pool.announcement.name for pool in pools]

        assert names() == ["w1", "w2"]
        evacuated.add("z1")
        assert names() == ["w2"]
        fleet.directory.remove("w2")
        assert names() == ["w1"]
