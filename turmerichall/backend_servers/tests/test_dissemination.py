"""Tests of how instances tell each other of backend servers."""

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

# Every instance in reach knows within this long; the target is 2 s.
KNOWN_SECONDS = 2.0


class _Intentions:
    """Operators want every backend server to serve."""

    def intention(self, backend_server: str) -> changes.Intention:
        """Returns that it serves."""
        del backend_server
        return changes.Intention.SERVING


class _Net:
    """Connects instances, and can lose, repeat and reorder messages."""

    def __init__(self) -> None:
        self.nodes: dict[str, "_Links"] = {}
        self.cut: set[str] = set()
        self.fault: Callable[[list[bytes]], list[bytes]] = list
        self.held: dict[tuple[str, str], list[bytes]] = {}


class _Links:
    """The connections of one instance."""

    def __init__(self, net: _Net, name: str, nursery: trio.Nursery):
        self.net = net
        self.name = name
        self.nursery = nursery
        self.handlers: dict[str, dissemination.Handler] = {}
        net.nodes[name] = self

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the other instances."""
        return {name: name for name in self.net.nodes if name != self.name}

    @addresses.setter
    def addresses(self, _: dict[str, str]) -> None:
        raise AssertionError("not set by dissemination")

    def handle(self, kind: str, handler: dissemination.Handler) -> None:
        self.handlers[kind] = handler

    def _reaches(self, instance: str) -> bool:
        return not {self.name, instance} & self.net.cut

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Sends a message, which the net may disturb."""
        if not self._reaches(instance):
            return False
        handler = self.net.nodes[instance].handlers[kind]
        bodies = [body]
        if kind == dissemination.CHANGED:
            bodies = self.net.fault(bodies)
        for each in bodies:
            self.nursery.start_soon(handler, self.name, each)
        return True

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler of another instance."""
        if not self._reaches(instance):
            await trio.sleep(timeout_seconds)
            return outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)
        await trio.lowlevel.checkpoint()
        answer = await self.net.nodes[instance].handlers[kind](self.name, body)
        return answer or b""


class _Instances:
    """Three instances that run dissemination."""

    def __init__(self, nursery: trio.Nursery):
        self.net = _Net()
        self.nursery = nursery
        self.parts: dict[str, dissemination.Dissemination] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        for number, name in enumerate(("a", "b", "c")):
            self.start(name, number)

    def start(self, name: str, run_id: int) -> None:
        """Starts an instance, or anew with an empty directory."""
        links = _Links(self.net, name, self.nursery)
        directory = directories.Directory(_Intentions())
        made = dissemination.Dissemination(directory, links, run_id)
        self.parts[name] = made
        if name in self.scopes:
            self.scopes[name].cancel()
        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, name, made)

    async def _run(self, name: str, part: dissemination.Dissemination) -> None:
        with self.scopes[name]:
            await part.run()

    def known_by(self, name: str, server: str = "w1") -> bool:
        """Tells whether an instance would route to a backend server."""
        directory = self.parts[name].directory
        served = directory.find_servers("c", "offers", trio.current_time())
        return server in {announcement.name for announcement in served}


def _told(sequence: int, **more: object) -> announcements.Announcement:
    report = announcements.TaskReport(
        "svc:c/offers/z1/0", 1, announcements.ReportedState.RUNNING
    )
    announcement = announcements.Announcement(
        "w1", 1, sequence, "z1", "r1", "h1:1", resources.Resources(8, 8000)
    )
    return announcement._replace(tasks=(report,), **more)  # type: ignore[arg-type]


@pytest.fixture(name="instances")
async def _instances(nursery: trio.Nursery) -> _Instances:
    return _Instances(nursery)


async def _announce_for(
    instances: _Instances, at: str, seconds: float, first: int
) -> None:
    """Has the backend server announce itself for a while."""
    until = trio.current_time() + seconds
    sequence = first
    while trio.current_time() < until:
        instances.parts[at].accept(_told(sequence))
        sequence += 1
        await trio.sleep(announcements.ANNOUNCE_PERIOD_SECONDS)


def _lose(_: list[bytes]) -> list[bytes]:
    return []


def _repeat(bodies: list[bytes]) -> list[bytes]:
    return bodies * 3


class TestFaults:

    @pytest.mark.parametrize("fault", [list, _lose, _repeat])
    async def test_all_know_within_two_seconds(
        self,
        autojump_clock: trio.testing.MockClock,
        instances: _Instances,
        fault: Callable[[list[bytes]], list[bytes]],
    ) -> None:
        await trio.sleep(5)
        instances.net.fault = fault
        instances.parts["a"].accept(_told(1))
        await trio.sleep(KNOWN_SECONDS)
        assert [instances.known_by(name) for name in "abc"] == [True] * 3

    async def test_older_message_that_arrives_late_changes_nothing(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        held: list[bytes] = []

        def hold(bodies: list[bytes]) -> list[bytes]:
            held.extend(bodies)
            return []

        await trio.sleep(2)
        instances.net.fault = hold
        instances.parts["a"].accept(_told(1))
        instances.net.fault = list
        instances.parts["a"].accept(_told(2, leaving=True))
        await trio.sleep(KNOWN_SECONDS)
        links = instances.net.nodes["b"]
        await links.handlers[dissemination.CHANGED]("a", held[0])
        assert not instances.known_by("b")

    async def test_leaving_is_known_within_three_seconds(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.parts["a"].accept(_told(1))
        await trio.sleep(2)
        instances.net.fault = _lose
        instances.parts["a"].accept(_told(2, leaving=True))
        await trio.sleep(3)
        assert not any(instances.known_by(name) for name in "abc")

    async def test_silent_server_is_dropped_everywhere(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.parts["a"].accept(_told(1))
        await trio.sleep(directories.SILENT_AFTER_SECONDS + KNOWN_SECONDS)
        assert not any(instances.known_by(name) for name in "abc")
        assert "w1" not in instances.parts["b"].directory.entries

    async def test_live_server_stays_known_without_messages_about_it(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        await _announce_for(instances, "a", 60, 1)
        assert all(instances.known_by(name) for name in "abc")

    async def test_restarted_instance_does_not_make_others_forget(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.parts["a"].accept(_told(1))
        await trio.sleep(2)
        instances.start("a", 100)
        await trio.sleep(KNOWN_SECONDS)
        assert instances.known_by("b")
        await _announce_for(instances, "c", 10, 2)
        assert all(instances.known_by(name) for name in "abc")

    async def test_server_goes_over_to_another_instance(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        await _announce_for(instances, "a", 4, 1)
        instances.net.cut.add("a")
        await _announce_for(instances, "b", 20, 100)
        assert instances.known_by("c")
        assert not instances.known_by("a")

    async def test_server_that_two_instances_heard_stays_known_to_both(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        await _announce_for(instances, "a", 4, 1)
        instances.net.cut.add("a")
        instances.parts["b"].accept(_told(10))
        await trio.sleep(1)
        instances.parts["a"].accept(_told(11))
        instances.net.cut.clear()
        await trio.sleep(3)
        await _announce_for(instances, "b", 20, 20)
        assert all(instances.known_by(name) for name in "abc")

    @pytest.mark.parametrize("cut", [False, True])
    async def test_server_that_came_back_before_others_heard_stays_known(
        self,
        autojump_clock: trio.testing.MockClock,
        instances: _Instances,
        cut: bool,
    ) -> None:
        await _announce_for(instances, "a", 4, 1)
        instances.parts["c"].accept(_told(10))
        instances.parts["a"].accept(_told(11))
        await trio.sleep(0.5)
        assert instances.parts["b"].directory.entries["w1"].via == "c"
        if cut:
            instances.net.cut.add("c")
        await _announce_for(instances, "a", 20, 12)
        assert instances.known_by("b")

    async def test_cut_off_instance_knows_all_again_after_the_cut(
        self, autojump_clock: trio.testing.MockClock, instances: _Instances
    ) -> None:
        instances.net.cut.add("c")
        await _announce_for(instances, "a", 20, 1)
        assert not instances.known_by("c")
        instances.net.cut.clear()
        await _announce_for(instances, "a", 4, 100)
        assert instances.known_by("c")


class TestNames:

    @pytest.mark.parametrize(
        "second, taken",
        [
            (_told(1), False),
            (_told(2), True),
            (_told(1, incarnation=2), True),
            (_told(9, incarnation=0), False),
            (_told(2, address="h2:1"), False),
            (_told(1, incarnation=2, address="h2:1"), False),
        ],
    )
    async def test_second_announcement_of_a_live_server(
        self, second: announcements.Announcement, taken: bool
    ) -> None:
        directory = directories.Directory(_Intentions())
        assert directory.accept(_told(1), 0.0) is None
        assert (directory.accept(second, 1.0) is None) == taken

    async def test_name_is_free_once_its_holder_is_silent(self) -> None:
        directory = directories.Directory(_Intentions())
        directory.accept(_told(1), 0.0)
        second = _told(1, incarnation=2, address="h2:1")
        late = directories.SILENT_AFTER_SECONDS + 0.1
        assert directory.accept(second, late) is None
