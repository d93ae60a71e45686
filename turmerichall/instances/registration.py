"""Has this instance listed, and learns the addresses of the others."""

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
    """The connections to the other instances."""

    addresses: dict[str, str]

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replaces the addresses of the other instances."""


class Registration:
    """Keeps the replicated list of instances true for this one.

    Attributes:
        own: This instance.
        machine: The replicated state.
        changes: Submits changes.
        network: Connections to the other instances.
        named: Instances whose addresses the settings name; they keep those.
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
        self.changes = submitter
        self.network = network
        self.named = frozenset(network.addresses)
        self.log = logs.Log("instances")

    def zones(self) -> dict[str, str]:
        """Returns the zone of every instance that the state lists."""
        return {
            name: entry.zone for name, entry in self.machine.instances.items()
        }

    async def run(self) -> None:
        """Registers whenever the list does not say what is true."""
        while True:
            self.learn_addresses()
            if self.machine.instances.get(self.own.name) != self.own:
                await self._register()
            await trio.sleep(CHECK_SECONDS)

    async def _register(self) -> None:
        result = await self.changes.submit(changes.RegisterInstance(self.own))
        if isinstance(result, changes.Result):
            self.log.info("registered", zone=self.own.zone)

    def learn_addresses(self) -> None:
        """Takes in the listed addresses of instances that settings omit."""
        known = dict(self.network.addresses)
        for name, entry in self.machine.instances.items():
            if name != self.own.name and name not in self.named:
                known[name] = entry.peers
        if known != self.network.addresses:
            self.network.set_addresses(known)
