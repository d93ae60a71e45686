"""Tests of replies of instances that are not the placement authority."""

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

ANNOUNCEMENT = announcement.Announcement(
    "w1", 1, 1, "z1", "r1", "127.0.0.1:1", resources.Resources(8, 100)
)


class _InactiveScheduler:
    """A scheduler that does not hold the grant."""

    def announce(self, *arguments: object) -> None:
        """Return None, as without the grant."""


class TestAuthorityAddress:
    """The address in replies of an instance that is not the authority."""

    async def test_is_in_the_reply_before_the_holder_was_heard(self) -> None:
        machine = machines.StateMachine()
        holder = instance.Instance(
            "i1", "r", "z1", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", True
        )
        listed = changes.RegisterInstance(holder)
        machine.apply(1, changes.encode(listed))
        taken = changes.TakeGrant("z1", "i1", 0, 0)
        machine.apply(2, changes.encode(taken))
        known_servers = directory.Directory(machine.configuration)
        links = network.Network("i2", b"key")
        scheduler: Any = _InactiveScheduler()
        handler = announcements.AnnouncementHandler(
            "i2",
            machine,
            dissemination.Dissemination(known_servers, links, 1),
            scheduler,
        )
        reply = await handler.announce(ANNOUNCEMENT)
        assert reply.authority_address == "10.0.0.1:2"
