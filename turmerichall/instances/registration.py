"""Registration of this instance, and discovery of the others' addresses."""

from typing import Protocol

import trio

from turmerichall.instances import instance
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.state import proposer
from turmerichall.telemetry import logs

__all__ = ["Registration"]

CHECK_SECONDS = 1.0


class Addresses(Protocol):
    """Addresses of the other instances, as in `peers.network.Network`.

    Attributes:
        addresses: `host:port` at which each other instance accepts connections
            of instances, by name.
    """

    addresses: dict[str, str]

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace all addresses by the given ones, by name of the instance."""


class Registration:
    """Registration of this instance in the replicated list of instances.

    Attributes:
        own: Entry of this instance.
        machine: The replicated state.
        submitter: Submits changes to the replicated log.
        network: Connections to the other instances.
        configured_names: Names of the instances whose address is given in the
            settings, which takes precedence over that in the replicated list.
    """

    def __init__(
        self,
        own: instance.Instance,
        machine: machines.StateMachine,
        submitter: proposer.Submitter,
        network: Addresses,
    ):
        self.own = own
        self.machine = machine
        self.submitter = submitter
        self.network = network
        self.configured_names = frozenset(network.addresses)
        self.log = logs.Log("instances")

    def zones(self) -> dict[str, str]:
        """Return the zone of every registered instance, by name."""
        return {
            name: entry.zone for name, entry in self.machine.instances.items()
        }

    async def run(self) -> None:
        """Register this instance whenever its replicated entry is not `own`."""
        while True:
            self.update_addresses()
            if self.machine.instances.get(self.own.name) != self.own:
                await self._register()
            await trio.sleep(CHECK_SECONDS)

    async def _register(self) -> None:
        result = await self.submitter.submit(changes.RegisterInstance(self.own))
        if isinstance(result, changes.Result):
            self.log.info("registered", zone=self.own.zone)

    def update_addresses(self) -> None:
        """Give the network the addresses in the replicated list of instances.

        An address in the settings takes precedence.
        """
        addresses = dict(self.network.addresses)
        for name, entry in self.machine.instances.items():
            if name != self.own.name and name not in self.configured_names:
                addresses[name] = entry.peers
        if addresses != self.network.addresses:
            self.network.set_addresses(addresses)
