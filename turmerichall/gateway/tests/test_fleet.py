"""Tests of the pools of an instance that sends no requests itself."""

import trio
import trio.testing

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import fleet as fleets
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import selection
from turmerichall.gateway import shares
from turmerichall.state import configuration

FEWER = {"i1": "z1", "i2": "z2"}
MORE = FEWER | {"i3": "z1"}
TOLD = announcement.Announcement(
    "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
)


class _Idle:
    """An entry instance that knows one backend server and sends nothing."""

    def __init__(self) -> None:
        self.settled = False
        self.shares = shares.Shares("i1", FEWER)
        directory = directories.Directory(configuration.Configuration())
        directory.accept(TOLD, trio.current_time())
        self.fleet = fleets.Fleet(
            directory,
            self.shares,
            selection.RoundRobin(),
            limits_module.Limits(),
            lambda: self.settled,
            lambda name, seconds: None,
        )

    def slots(self) -> int:
        """Returns what another instance finds that may be lent from."""
        found = self.fleet.find("w", TOLD.incarnation)
        assert found
        return found.slots.held


class TestPartsOfIdleInstance:
    """Its pools follow its parts, though no request asks for them."""

    async def test_part_is_whole_once_loans_have_lapsed(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        idle = _Idle()
        before = idle.slots()
        idle.settled = True
        whole = shares.parts("w", "z1", TOLD.slots, FEWER)["i1"]
        assert before < idle.slots() == whole

    async def test_part_shrinks_with_the_list(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        idle = _Idle()
        idle.settled = True
        before = idle.slots()
        idle.shares.update(MORE, trio.current_time())
        smaller = shares.parts("w", "z1", TOLD.slots, MORE)["i1"]
        assert idle.slots() == smaller < before

    async def test_connections_beyond_the_part_are_closed(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        idle = _Idle()
        idle.slots()
        pool = idle.fleet.pools["w"]
        idle.shares.update(MORE, trio.current_time())
        idle.fleet.sweep(trio.current_time())
        smaller = shares.parts("w", "z1", TOLD.connections, MORE)["i1"]
        assert pool.most_connections() == smaller
