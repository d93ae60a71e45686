"""Tests of the dissemination of announcements among the instances."""

from collections.abc import Callable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import directory as directories
from turmerichall.backend_servers import dissemination
from turmerichall.state import change as changes

# Every reachable instance must know an announcement within 2 s.
PROPAGATION_SECONDS = 2.0


class _Intentions:
    """Intentions by which every backend server is to serve."""

    def intention(self, backend_server: str) -> changes.Intention:
        """Return the same intention for every backend server."""
        del backend_server
        return changes.Intention.SERVING


class _Network:
    """In-process network that can drop, repeat and reorder messages."""

    def __init__(self) -> None:
        self.nodes: dict[str, "_Links"] = {}
        self.isolated: set[str] = set()
        self.fault: Callable[[list[bytes]], list[bytes]] = list
        self.held: dict[tuple[str, str], list[bytes]] = {}


class _Links:
    """Connections of one instance to the others."""

    def __init__(self, network: _Network, name: str, nursery: trio.Nursery):
        self.network = network
        self.name = name
        self.nursery = nursery
        self.handlers: dict[str, dissemination.Handler] = {}
        network.nodes[name] = self

    @property
    def addresses(self) -> dict[str, str]:
        """Address of each other instance, by name."""
        return {name: name for name in self.network.nodes if name != self.name}

    @addresses.setter
    def addresses(self, _: dict[str, str]) -> None:
        raise AssertionError("not set by dissemination")

    def handle(self, kind: str, handler: dissemination.Handler) -> None:
        self.handlers[kind] = handler

    def _reaches(self, instance: str) -> bool:
        return not {self.name, instance} & self.network.isolated

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Send a one-way message, subject to the fault of the network."""
        if not self._reaches(instance):
            return False
        handler = self.network.nodes[instance].handlers[kind]
        messages = [body]
        if kind == dissemination.CHANGED:
            messages = self.network.fault(messages)
        for message in messages:
            self.nursery.start_soon(handler, self.name, message)
        return True

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Call a handler of another instance and return its answer."""
        if not self._reaches(instance):
            await trio.sleep(timeout_seconds)
            return outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)
        await trio.lowlevel.checkpoint()
        answer = await self.network.nodes[instance].handlers[kind](
            self.name, body
        )
        return answer or b""


class _Instances:
    """Three instances, a, b and c, that run dissemination."""

    def __init__(self, nursery: trio.Nursery):
        self.network = _Network()
        self.nursery = nursery
        self.by_name: dict[str, dissemination.Dissemination] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        for number, name in enumerate(("a", "b", "c")):
            self.start(name, number)

    def start(self, name: str, run_id: int) -> None:
        """Start or restart an instance with an empty directory."""
        links = _Links(self.network, name, self.nursery)
        directory = directories.Directory(_Intentions())
        node = dissemination.Dissemination(directory, links, run_id)
        self.by_name[name] = node
        if name in self.scopes:
            self.scopes[name].cancel()
        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, name, node)

    async def _run(self, name: str, node: dissemination.Dissemination) -> None:
        with self.scopes[name]:
            await node.run()

    def known_by(self, name: str, server: str = "w1") -> bool:
        """Return whether an instance would route to a backend server."""
        directory = self.by_name[name].directory
        served = directory.find_servers("c", "offers", trio.current_time())
        return server in {announcement.name for announcement in served}


def _announcement(
    sequence: int, **changed: object
) -> announcements.Announcement:
    report = announcements.TaskReport(
        "svc:c/offers/z1/0", 1, announcements.ReportedState.RUNNING
    )
    announcement = announcements.Announcement(
        "w1", 1, sequence, "z1", "r1", "h1:1", resources.Resources(8, 8000)
    )
    return announcement._replace(tasks=(report,), **changed)  # type: ignore[arg-type]


@pytest.fixture(name="instances")
async def _instances(nursery: trio.Nursery) -> _Instances:
    return _Instances(nursery)


async def _announce_for(
    instances: _Instances, at: str, seconds: float, first: int
) -> None:
    """Announce the backend server periodically to one instance."""
    until = trio.current_time() + seconds
    sequence = first
    while trio.current_time() < until:
        instances.by_name[at].accept(_announcement(sequence))
        sequence += 1
        await trio.sleep(announcements.ANNOUNCE_PERIOD_SECONDS)


def _drop(_: list[bytes]) -> list[bytes]:
    return []


def _repeat(messages: list[bytes]) -> list[bytes]:
    return messages * 3


class TestFaults:

    @pytest.mark.parametrize("fault", [list, _drop, _repeat])
    async def test_all_instances_know_within_two_seconds(
        self,
        autojump_clock: trio.testing.MockClock,
        instances: _Instances,
        fault: Callable[[list[bytes]], list[bytes]],
    ) -> None:
        await trio.sleep(5)
        instances.network.fault = fault
        instances.by_name["a"].accept(_announcement(1))
        await trio.sleep(PROPAGATION_SECONDS)
        assert [instances.known_by(name) for name in "abc"] == [True] * 3

    async def test_older_message_that_arrives_late_is_ignored(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        held: list[bytes] = []

        def hold(messages: list[bytes]) -> list[bytes]:
            held.extend(messages)
            return []

        await trio.sleep(2)
        instances.network.fault = hold
        instances.by_name["a"].accept(_announcement(1))
        instances.network.fault = list
        instances.by_name["a"].accept(_announcement(2, leaving=True))
        await trio.sleep(PROPAGATION_SECONDS)
        links = instances.network.nodes["b"]
        await links.handlers[dissemination.CHANGED]("a", held[0])
        assert not instances.known_by("b")

    async def test_leaving_is_known_within_three_seconds(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.by_name["a"].accept(_announcement(1))
        await trio.sleep(2)
        instances.network.fault = _drop
        instances.by_name["a"].accept(_announcement(2, leaving=True))
        await trio.sleep(3)
        assert not any(instances.known_by(name) for name in "abc")

    async def test_silent_server_is_dropped_everywhere(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.by_name["a"].accept(_announcement(1))
        await trio.sleep(directories.SILENT_AFTER_SECONDS + PROPAGATION_SECONDS)
        assert not any(instances.known_by(name) for name in "abc")
        assert "w1" not in instances.by_name["b"].directory.entries

    async def test_unchanged_live_server_stays_known_by_heartbeats_alone(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        await _announce_for(instances, "a", 60, 1)
        assert all(instances.known_by(name) for name in "abc")

    async def test_restarted_instance_does_not_make_others_forget(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.by_name["a"].accept(_announcement(1))
        await trio.sleep(2)
        instances.start("a", 100)
        await trio.sleep(PROPAGATION_SECONDS)
        assert instances.known_by("b")
        await _announce_for(instances, "c", 10, 2)
        assert all(instances.known_by(name) for name in "abc")

    async def test_server_moves_to_another_instance(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        await _announce_for(instances, "a", 4, 1)
        instances.network.isolated.add("a")
        await _announce_for(instances, "b", 20, 100)
        assert instances.known_by("c")
        assert not instances.known_by("a")

    async def test_server_that_announced_itself_to_two_instances_stays_known(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        await _announce_for(instances, "a", 4, 1)
        instances.network.isolated.add("a")
        instances.by_name["b"].accept(_announcement(10))
        await trio.sleep(1)
        instances.by_name["a"].accept(_announcement(11))
        instances.network.isolated.clear()
        await trio.sleep(3)
        await _announce_for(instances, "b", 20, 20)
        assert all(instances.known_by(name) for name in "abc")

    @pytest.mark.parametrize("c_isolated", [False, True])
    async def test_server_that_returns_before_others_notice_stays_known(
        self,
        autojump_clock: trio.testing.MockClock,
        instances: _Instances,
        c_isolated: bool,
    ) -> None:
        await _announce_for(instances, "a", 4, 1)
        instances.by_name["c"].accept(_announcement(10))
        instances.by_name["a"].accept(_announcement(11))
        await trio.sleep(0.5)
        assert instances.by_name["b"].directory.entries["w1"].via == "c"
        if c_isolated:
            instances.network.isolated.add("c")
        await _announce_for(instances, "a", 20, 12)
        assert instances.known_by("b")

    async def test_isolated_instance_catches_up_after_the_partition(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.network.isolated.add("c")
        await _announce_for(instances, "a", 20, 1)
        assert not instances.known_by("c")
        instances.network.isolated.clear()
        await _announce_for(instances, "a", 4, 100)
        assert instances.known_by("c")


class TestNames:

    @pytest.mark.parametrize(
        "second, accepted",
        [
            (_announcement(1), False),
            (_announcement(2), True),
            (_announcement(1, incarnation=2), True),
            (_announcement(9, incarnation=0), False),
            (_announcement(2, address="h2:1"), False),
            (_announcement(1, incarnation=2, address="h2:1"), False),
        ],
    )
    async def test_second_announcement_of_a_live_server(
        self, second: announcements.Announcement, accepted: bool
    ) -> None:
        directory = directories.Directory(_Intentions())
        assert directory.accept(_announcement(1), 0.0) is None
        assert (directory.accept(second, 1.0) is None) == accepted

    async def test_name_can_be_reused_once_its_server_is_silent(self) -> None:
        directory = directories.Directory(_Intentions())
        directory.accept(_announcement(1), 0.0)
        second = _announcement(1, incarnation=2, address="h2:1")
        late = directories.SILENT_AFTER_SECONDS + 0.1
        assert directory.accept(second, late) is None
