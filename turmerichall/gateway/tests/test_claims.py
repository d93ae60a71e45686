"""Tests of claims over several entry instances, with a network in memory."""

from collections.abc import Callable
from typing import Any

import pytest
import trio

from turmerichall import outcomes
from turmerichall.gateway import claims
from turmerichall.gateway import claim_store as keeper
from turmerichall.gateway import claim_replicas as keeper_groups
from turmerichall.gateway import request_id

WALL = 1_000_000.0
ZONES = {"a": "z1", "b": "z2", "c": "z3", "d": "z1", "e": "z2", "f": "z3"}


class Hub:
    """Joins the networks of instances in memory.

    Attributes:
        handlers: Handlers by instance and kind.
        cut: Pairs of instances that don't reach each other.
        down: Instances that are dead.
    """

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], Any] = {}
        self.cut: set[frozenset[str]] = set()
        self.down: set[str] = set()

    def reaches(self, one: str, other: str) -> bool:
        """Tells whether two instances can talk."""
        return (
            other not in self.down and frozenset({one, other}) not in self.cut
        )


class Net:
    """The network of one instance."""

    def __init__(self, name: str, hub: Hub):
        self.name = name
        self.hub = hub
        self.sent: list[Any] = []
        self.on_call: Callable[[], None] | None = None

    def handle(self, kind: str, handler: Any) -> None:
        """Registers a handler."""
        self.hub.handlers[(self.name, kind)] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler."""
        del timeout_seconds
        for _, handler, sent in self.sent:
            await handler(self.name, sent)
        self.sent.clear()
        if not self.hub.reaches(self.name, instance):
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        answer = await self.hub.handlers[(instance, kind)](self.name, body)
        assert isinstance(answer, bytes)
        if self.on_call is not None:
            self.on_call()
            await trio.lowlevel.checkpoint()
        return answer

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Keeps a one-way message until `Cluster.deliver`."""
        if self.hub.reaches(self.name, instance):
            self.sent.append(
                (instance, self.hub.handlers[(instance, kind)], body)
            )
        return True


class Cluster:
    """Claims of several instances.

    Attributes:
        wall: Unix time of every instance.
        claims: Claims by instance.
    """

    def __init__(self, members: dict[str, str]):
        self.wall = WALL
        self.hub = Hub()
        self.claims: dict[str, claims.Claims] = {}
        for name in members:
            self.start(name, members)
        for each in self.claims.values():
            each.keeper.vouches_from = 0.0

    def start(self, name: str, members: dict[str, str]) -> None:
        """Starts an instance, or again after it lost its memory."""
        self.claims[name] = claims.Claims(
            name, Net(name, self.hub), members, lambda: self.wall
        )

    async def deliver(self) -> None:
        """Delivers all one-way messages."""
        for each in self.claims.values():
            each.flush()
            net = each.network
            assert isinstance(net, Net)
            for _, handler, body in net.sent:
                await handler(each.name, body)
            net.sent.clear()


def _keepers(text: str, zone: str = "") -> list[str]:
    return keeper_groups.choose_keepers(text, zone, ZONES)


Fault = Callable[[Cluster, str], None]


def _first_dies(cluster: Cluster, text: str) -> None:
    del text
    cluster.hub.down.add("a")


def _keeper_restarts(cluster: Cluster, text: str) -> None:
    cluster.start(_keepers(text)[0], ZONES)


def _two_keepers_restart(cluster: Cluster, text: str) -> None:
    for name in _keepers(text)[:2]:
        cluster.start(name, ZONES)


def _keeper_dies(cluster: Cluster, text: str) -> None:
    cluster.hub.down.add(_keepers(text)[1])


def _zone_is_cut(cluster: Cluster, text: str) -> None:
    del text
    inside = {name for name, zone in ZONES.items() if zone == "z2"}
    for one in inside:
        for other in set(ZONES) - inside:
            cluster.hub.cut.add(frozenset({one, other}))


def _nothing(cluster: Cluster, text: str) -> None:
    del cluster, text


FAULTS = [
    _nothing,
    _first_dies,
    _keeper_restarts,
    _two_keepers_restart,
    _keeper_dies,
    _zone_is_cut,
]


class TestResend:

    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("second", ["a", "b", "c"])
    @pytest.mark.parametrize("zone", ["", "z1", "z2"])
    async def test_second_claim_of_an_id_is_never_granted(
        self, fault: Fault, second: str, zone: str
    ) -> None:
        for number in range(20):
            cluster = Cluster(ZONES)
            text = request_id.make(zone, now=WALL + number / 1000)
            cluster.wall = WALL + 1.0
            first = await cluster.claims["a"].make(text)
            assert isinstance(first, claims.Claim)
            fault(cluster, text)
            again = await cluster.claims[second].make(text)
            assert not isinstance(again, claims.Claim)

    async def test_two_claims_at_once_are_not_both_granted(self) -> None:
        for _ in range(50):
            cluster = Cluster(ZONES)
            text = request_id.make(now=WALL)
            cluster.hub.cut.add(frozenset({"a", _keepers(text)[0]}))
            cluster.hub.cut.add(frozenset({"b", _keepers(text)[1]}))
            found = [await cluster.claims[name].make(text) for name in "ab"]
            granted = [x for x in found if isinstance(x, claims.Claim)]
            assert len(granted) <= 1

    @pytest.mark.parametrize("state", [keeper.State.RAN, keeper.State.UNKNOWN])
    async def test_resend_is_told_what_is_known(
        self, state: keeper.State
    ) -> None:
        cluster = Cluster(ZONES)
        text = request_id.make(now=WALL)
        claim = await cluster.claims["a"].make(text)
        assert isinstance(claim, claims.Claim)
        again = await cluster.claims["b"].make(text)
        assert again == claims.Duplicate(keeper.State.IN_PROGRESS)
        cluster.claims["a"].settle(claim, state)
        await cluster.deliver()
        again = await cluster.claims["b"].make(text)
        assert again == claims.Duplicate(state)

    async def test_not_run_lets_a_resend_run(self) -> None:
        cluster = Cluster(ZONES)
        text = request_id.make(now=WALL)
        claim = await cluster.claims["a"].make(text)
        assert isinstance(claim, claims.Claim)
        cluster.claims["a"].settle(claim, None)
        await cluster.deliver()
        again = await cluster.claims["b"].make(text)
        assert isinstance(again, claims.Claim)


class TestCancelledClaim:

    async def test_claim_of_a_caller_that_left_is_taken_back(self) -> None:
        cluster = Cluster(ZONES)
        text = request_id.make(now=WALL)
        with trio.CancelScope() as scope:
            net = cluster.claims["a"].network
            assert isinstance(net, Net)
            net.on_call = scope.cancel
            await cluster.claims["a"].make(text)
        assert scope.cancelled_caught
        assert not cluster.claims["a"].keepers_of
        await cluster.deliver()
        again = await cluster.claims["b"].make(text)
        assert isinstance(again, claims.Claim)


class TestCutOffZone:

    async def test_id_of_the_cut_off_zone_runs_there_only(self) -> None:
        cluster = Cluster(ZONES)
        _zone_is_cut(cluster, "")
        text = request_id.make("z2", now=WALL)
        outside = await cluster.claims["a"].make(text)
        assert isinstance(outside, outcomes.Refusal)
        assert outside.reason == outcomes.RefusalReason.NOT_PROVABLY_SAFE
        inside = await cluster.claims["b"].make(text)
        assert isinstance(inside, claims.Claim)


class TestMembersChange:

    @pytest.mark.parametrize("first", ["a", "b", "c"])
    async def test_old_and_new_list_do_not_both_grant(self, first: str) -> None:
        fewer = {name: ZONES[name] for name in "abcde"}
        for number in range(100):
            cluster = Cluster(ZONES)
            for name in "def"[: number % 4]:
                cluster.claims[name].update(fewer, 0.0)
            second = "d" if number % 4 else "b"
            cluster.wall = WALL + 10.0
            text = request_id.make(now=WALL + 5.0)
            found = [
                await cluster.claims[first].make(text),
                await cluster.claims[second].make(text),
            ]
            granted = [x for x in found if isinstance(x, claims.Claim)]
            assert len(granted) <= 1


class TestKeeper:

    @pytest.mark.parametrize(
        ("age", "since_start", "granted"),
        [
            (0.0, 100.0, True),
            (59.0, 100.0, True),
            (61.0, 100.0, False),
            (-1.0, 100.0, True),
            (-3.0, 100.0, False),
            (0.0, 1.0, False),
            (0.0, 3.0, True),
            (10.0, 5.0, False),
        ],
    )
    def test_keeper_vouches_only_for_what_it_can_know(
        self, age: float, since_start: float, granted: bool
    ) -> None:
        kept = keeper.Keeper(WALL - since_start)
        text = request_id.make(now=WALL - age)
        found = kept.claim(text, "token", WALL)
        assert (found.state == keeper.State.GRANTED) is granted

    def test_claims_are_forgotten_after_they_could_be_accepted(self) -> None:
        kept = keeper.Keeper(0.0)
        text = request_id.make(now=WALL)
        kept.claim(text, "one", WALL - keeper.SKEW_SECONDS)
        late = WALL + keeper.WINDOW_SECONDS
        assert kept.claim(text, "two", late).state == keeper.State.IN_PROGRESS
        kept.claim(request_id.make(now=late + 9), "x", late + 9)
        assert text not in kept.claims
        for clock in (late + 9, late):
            found = kept.claim(text, "two", clock)
            assert found.state == keeper.State.ABSTAINED
