"""Tests of the answers of instances that are not the placing authority."""

from typing import Any

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory
from turmerichall.backend_servers import dissemination
from turmerichall.instances import instance
from turmerichall.peers import network
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.zones import announcements

TOLD = announcement.Announcement(
    "w1", 1, 1, "z1", "r1", "127.0.0.1:1", resources.Resources(8, 100)
)


class _NoAuthority:
    """Holds no grant."""

    def announce(self, *told: object) -> None:
        """Answers nothing."""


class TestAuthorityAddress:
    """Where a worker is sent that announces itself to another instance."""

    async def test_is_told_before_the_holder_was_heard(self) -> None:
        machine = machines.StateMachine()
        holder = instance.Instance(
            "i1", "r", "z1", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", True
        )
        listed = changes.RegisterInstance(holder)
        machine.apply(1, changes.encode(listed))
        taken = changes.TakeGrant("z1", "i1", 0, 0)
        machine.apply(2, changes.encode(taken))
        known = directory.Directory(machine.configuration)
        links = network.Network("i2", b"key")
        placing: Any = _NoAuthority()
        answering = announcements.AnnouncementHandler(
            "i2", machine, dissemination.Dissemination(known, links, 1), placing
        )
        reply = await answering.announce(TOLD)
        assert reply.authority_address == "10.0.0.1:2"
