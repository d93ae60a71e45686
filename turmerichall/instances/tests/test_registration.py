"""Tests of the registration of an instance and of the others' addresses."""

from turmerichall import outcomes
from turmerichall.instances import instance
from turmerichall.instances import registration
from turmerichall.state import change as changes
from turmerichall.state import machine as machines


class _Network:
    """Holds the addresses of the other instances."""

    def __init__(self, addresses: dict[str, str]):
        self.addresses = addresses

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the addresses."""
        self.addresses = addresses


class _Submitter:
    """Applies each change immediately."""

    def __init__(self, machine: machines.StateMachine):
        self.machine = machine

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Apply a change and return its result."""
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)


def _entry(name: str, peers: str) -> instance.Instance:
    return instance.Instance(
        name, "r1", "z1", "1.1.1.1:1", "1.1.1.1:2", peers, True
    )


class TestAddresses:

    async def test_configured_address_takes_precedence_over_listed_one(
        self,
    ) -> None:
        machine = machines.StateMachine()
        submitter = _Submitter(machine)
        network = _Network({"i2": "proxy:2"})
        own_registration = registration.Registration(
            _entry("i1", "direct:1"), machine, submitter, network
        )
        for name in ("i2", "i3"):
            entry = _entry(name, f"direct:{name}")
            await submitter.submit(changes.RegisterInstance(entry))
        own_registration.update_addresses()
        assert network.addresses == {"i2": "proxy:2", "i3": "direct:i3"}


class TestZones:

    async def test_zones_contain_only_registered_instances(self) -> None:
        machine = machines.StateMachine()
        submitter = _Submitter(machine)
        own = _entry("i1", "direct:1")
        own_registration = registration.Registration(
            own, machine, submitter, _Network({"i2": "proxy:2"})
        )
        # If it counted itself before its registration, an instance that does
        # not know the others yet would use every slot of the workers.
        assert own_registration.zones() == {}
        await submitter.submit(changes.RegisterInstance(own))
        assert own_registration.zones() == {"i1": "z1"}
