"""Tests of claims over several entry instances, on an in-memory network."""

from collections.abc import Callable
from typing import Any

import pytest
import trio

from turmerichall import outcomes
from turmerichall.gateway import claim_replicas
from turmerichall.gateway import claim_store
from turmerichall.gateway import claims
from turmerichall.gateway import request_id as request_ids

START_TIME = 1_000_000.0
ZONES = {"a": "z1", "b": "z2", "c": "z3", "d": "z1", "e": "z2", "f": "z3"}


class NetworkHub:
    """Connection of the in-memory networks of the instances.

    Attributes:
        handlers: Handlers by instance and message kind.
        disconnected_pairs: Pairs of instances that can't reach each other.
        down: Instances that are dead.
    """

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], Any] = {}
        self.disconnected_pairs: set[frozenset[str]] = set()
        self.down: set[str] = set()

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether one instance can reach another."""
        return (
            other not in self.down
            and frozenset({one, other}) not in self.disconnected_pairs
        )


class FakeNetwork:
    """The network of one instance."""

    def __init__(self, name: str, hub: NetworkHub):
        self.name = name
        self.hub = hub
        self.sent: list[Any] = []
        self.on_call: Callable[[], None] | None = None

    def handle(self, kind: str, handler: Any) -> None:
        """Register a handler."""
        self.hub.handlers[(self.name, kind)] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Call a handler of another instance."""
        del timeout_seconds
        for _, handler, sent in self.sent:
            await handler(self.name, sent)
        self.sent.clear()
        if not self.hub.is_connected(self.name, instance):
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        reply = await self.hub.handlers[(instance, kind)](self.name, body)
        assert isinstance(reply, bytes)
        if self.on_call is not None:
            self.on_call()
            await trio.lowlevel.checkpoint()
        return reply

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Queue a one-way message until `Cluster.deliver`."""
        if self.hub.is_connected(self.name, instance):
            self.sent.append(
                (instance, self.hub.handlers[(instance, kind)], body)
            )
        return True


class Cluster:
    """Claims of several instances.

    Attributes:
        wall_time: Unix time of every instance.
        claims: Claims by instance.
    """

    def __init__(self, members: dict[str, str]):
        self.wall_time = START_TIME
        self.hub = NetworkHub()
        self.claims: dict[str, claims.Claims] = {}
        for name in members:
            self.start(name, members)
        for each in self.claims.values():
            each.store.complete_since = 0.0

    def start(self, name: str, members: dict[str, str]) -> None:
        """Start or restart an instance with an empty claim store."""
        self.claims[name] = claims.Claims(
            name, FakeNetwork(name, self.hub), members, lambda: self.wall_time
        )

    async def deliver(self) -> None:
        """Deliver all one-way messages."""
        for each in self.claims.values():
            each.flush()
            network = each.network
            assert isinstance(network, FakeNetwork)
            for _, handler, body in network.sent:
                await handler(each.name, body)
            network.sent.clear()


def _replicas(request_id: str, zone: str = "") -> list[str]:
    return claim_replicas.choose_replicas(request_id, zone, ZONES)


Fault = Callable[[Cluster, str], None]


def _first_instance_dies(cluster: Cluster, request_id: str) -> None:
    del request_id
    cluster.hub.down.add("a")


def _replica_restarts(cluster: Cluster, request_id: str) -> None:
    cluster.start(_replicas(request_id)[0], ZONES)


def _two_replicas_restart(cluster: Cluster, request_id: str) -> None:
    for name in _replicas(request_id)[:2]:
        cluster.start(name, ZONES)


def _replica_dies(cluster: Cluster, request_id: str) -> None:
    cluster.hub.down.add(_replicas(request_id)[1])


def _zone_is_partitioned(cluster: Cluster, request_id: str) -> None:
    del request_id
    inside = {name for name, zone in ZONES.items() if zone == "z2"}
    for one in inside:
        for other in set(ZONES) - inside:
            cluster.hub.disconnected_pairs.add(frozenset({one, other}))


def _no_fault(cluster: Cluster, request_id: str) -> None:
    del cluster, request_id


FAULTS = [
    _no_fault,
    _first_instance_dies,
    _replica_restarts,
    _two_replicas_restart,
    _replica_dies,
    _zone_is_partitioned,
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
            request_id = request_ids.make(zone, now=START_TIME + number / 1000)
            cluster.wall_time = START_TIME + 1.0
            first = await cluster.claims["a"].acquire(request_id)
            assert isinstance(first, claims.Claim)
            fault(cluster, request_id)
            second_result = await cluster.claims[second].acquire(request_id)
            assert not isinstance(second_result, claims.Claim)

    async def test_two_claims_at_once_are_not_both_granted(self) -> None:
        for _ in range(50):
            cluster = Cluster(ZONES)
            request_id = request_ids.make(now=START_TIME)
            cluster.hub.disconnected_pairs.add(
                frozenset({"a", _replicas(request_id)[0]})
            )
            cluster.hub.disconnected_pairs.add(
                frozenset({"b", _replicas(request_id)[1]})
            )
            results = [
                await cluster.claims[name].acquire(request_id) for name in "ab"
            ]
            granted = [x for x in results if isinstance(x, claims.Claim)]
            assert len(granted) <= 1

    @pytest.mark.parametrize(
        "state", [claim_store.ClaimState.RAN, claim_store.ClaimState.UNKNOWN]
    )
    async def test_resend_gets_the_known_state(
        self, state: claim_store.ClaimState
    ) -> None:
        cluster = Cluster(ZONES)
        request_id = request_ids.make(now=START_TIME)
        claim = await cluster.claims["a"].acquire(request_id)
        assert isinstance(claim, claims.Claim)
        second_result = await cluster.claims["b"].acquire(request_id)
        assert second_result == claims.Duplicate(
            claim_store.ClaimState.IN_PROGRESS
        )
        cluster.claims["a"].settle(claim, state)
        await cluster.deliver()
        second_result = await cluster.claims["b"].acquire(request_id)
        assert second_result == claims.Duplicate(state)

    async def test_request_that_did_not_run_can_be_resent(self) -> None:
        cluster = Cluster(ZONES)
        request_id = request_ids.make(now=START_TIME)
        claim = await cluster.claims["a"].acquire(request_id)
        assert isinstance(claim, claims.Claim)
        cluster.claims["a"].settle(claim, None)
        await cluster.deliver()
        second_result = await cluster.claims["b"].acquire(request_id)
        assert isinstance(second_result, claims.Claim)


class TestCancelledClaim:

    async def test_claim_is_released_when_the_caller_disconnects(self) -> None:
        cluster = Cluster(ZONES)
        request_id = request_ids.make(now=START_TIME)
        with trio.CancelScope() as scope:
            network = cluster.claims["a"].network
            assert isinstance(network, FakeNetwork)
            network.on_call = scope.cancel
            await cluster.claims["a"].acquire(request_id)
        assert scope.cancelled_caught
        assert not cluster.claims["a"].replicas_by_token
        await cluster.deliver()
        second_result = await cluster.claims["b"].acquire(request_id)
        assert isinstance(second_result, claims.Claim)


class TestPartitionedZone:

    async def test_id_of_a_partitioned_zone_runs_only_there(self) -> None:
        cluster = Cluster(ZONES)
        _zone_is_partitioned(cluster, "")
        request_id = request_ids.make("z2", now=START_TIME)
        outside = await cluster.claims["a"].acquire(request_id)
        assert isinstance(outside, outcomes.Refusal)
        assert outside.reason == outcomes.RefusalReason.NOT_PROVABLY_SAFE
        inside = await cluster.claims["b"].acquire(request_id)
        assert isinstance(inside, claims.Claim)


class TestMembershipChange:

    @pytest.mark.parametrize("first", ["a", "b", "c"])
    async def test_old_and_new_list_never_both_grant(self, first: str) -> None:
        fewer = {name: ZONES[name] for name in "abcde"}
        for number in range(100):
            cluster = Cluster(ZONES)
            for name in "def"[: number % 4]:
                cluster.claims[name].update_members(fewer, 0.0)
            second = "d" if number % 4 else "b"
            cluster.wall_time = START_TIME + 10.0
            request_id = request_ids.make(now=START_TIME + 5.0)
            results = [
                await cluster.claims[first].acquire(request_id),
                await cluster.claims[second].acquire(request_id),
            ]
            granted = [x for x in results if isinstance(x, claims.Claim)]
            assert len(granted) <= 1


class TestClaimStore:

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
    def test_store_abstains_from_ids_it_may_not_know(
        self, age: float, since_start: float, granted: bool
    ) -> None:
        store = claim_store.ClaimStore(START_TIME - since_start)
        request_id = request_ids.make(now=START_TIME - age)
        vote = store.claim(request_id, "token", START_TIME)
        assert (vote.state == claim_store.ClaimState.GRANTED) is granted

    def test_claim_is_evicted_only_after_its_id_expires(self) -> None:
        store = claim_store.ClaimStore(0.0)
        request_id = request_ids.make(now=START_TIME)
        store.claim(
            request_id, "one", START_TIME - claim_store.MAX_CLOCK_SKEW_SECONDS
        )
        late = START_TIME + claim_store.ID_VALIDITY_SECONDS
        assert (
            store.claim(request_id, "two", late).state
            == claim_store.ClaimState.IN_PROGRESS
        )
        store.claim(request_ids.make(now=late + 9), "x", late + 9)
        assert request_id not in store.claims
        for clock in (late + 9, late):
            vote = store.claim(request_id, "two", clock)
            assert vote.state == claim_store.ClaimState.ABSTAINED
