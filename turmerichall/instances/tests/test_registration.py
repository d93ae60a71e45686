"""Tests of how an instance learns the addresses of the others."""

from turmerichall import outcomes
from turmerichall.instances import instance
from turmerichall.instances import registration
from turmerichall.state import change as changes
from turmerichall.state import machine as machines


class _Network:
    """Addresses as the connections to the other instances hold them."""

    def __init__(self, addresses: dict[str, str]):
        self.addresses = addresses

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replaces the addresses."""
        self.addresses = addresses


class _Submitter:
    """Applies each change at once."""

    def __init__(self, machine: machines.StateMachine):
        self.machine = machine

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Applies a change."""
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)


def _entry(name: str, peers: str) -> instance.Instance:
    return instance.Instance(
        name, "r1", "z1", "1.1.1.1:1", "1.1.1.1:2", peers, True
    )


class TestAddresses:

    async def test_address_of_the_settings_wins_over_the_listed_one(
        self,
    ) -> None:
        machine = machines.StateMachine()
        submitter = _Submitter(machine)
        network = _Network({"i2": "proxy:2"})
        made = registration.Registration(
            _entry("i1", "direct:1"), machine, submitter, network
        )
        for name in ("i2", "i3"):
            entry = _entry(name, f"direct:{name}")
            await submitter.submit(changes.RegisterInstance(entry))
        made.learn_addresses()
        assert network.addresses == {"i2": "proxy:2", "i3": "direct:i3"}


class TestZones:

    async def test_nobody_is_listed_before_the_state_lists_them(self) -> None:
        machine = machines.StateMachine()
        submitter = _Submitter(machine)
        own = _entry("i1", "direct:1")
        made = registration.Registration(
            own, machine, submitter, _Network({"i2": "proxy:2"})
        )
        # An instance that listed itself alone would take every slot.
        assert made.zones() == {}
        await submitter.submit(changes.RegisterInstance(own))
        assert made.zones() == {"i1": "z1"}
