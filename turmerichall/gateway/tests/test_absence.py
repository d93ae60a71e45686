"""Tests that units of an absent instance are used by one instance at a time."""

import random
from typing import Any

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import shares
from turmerichall.instances import absence_detector
from turmerichall.instances import instance
from turmerichall.instances import presence as presences
from turmerichall.instances import share_lease as share_leases
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

ZONES = {"a": "z1", "b": "z1", "c": "z1", "d": "z2", "e": "z2"}
ANNOUNCEMENT = announcements.Announcement(
    "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
)
STEP_SECONDS = 1.0
MAX_REQUEST_SECONDS = 60
TAKEOVER_SECONDS = (
    absence_detector.ABSENT_AFTER_SECONDS
    + share_leases.TAKEOVER_DELAY_SECONDS
    + 4 * absence_detector.PERIOD_SECONDS
)


class _Quorum:
    """The committed changes, and which instances can reach each other.

    Attributes:
        log: Encoded changes that are committed.
        without_quorum: Instances that can't reach the quorum.
        disconnected_pairs: Pairs that can't reach each other.
    """

    def __init__(self) -> None:
        self.log: list[bytes] = []
        self.without_quorum: set[str] = set()
        self.disconnected_pairs: set[frozenset[str]] = set()
        self.nodes: dict[str, _Node] = {}
        for name, zone in ZONES.items():
            entry = instance.Instance(name, "r", zone, "", "", "", False)
            self.log.append(changes.encode(changes.RegisterInstance(entry)))

    def slots_in_use(self) -> int:
        """Return how many slots of the worker all instances use together."""
        return sum(node.pool.in_flight for node in self.nodes.values())


class _Node:
    """One entry instance: its state, share lease, shares and requests."""

    def __init__(self, name: str, quorum: _Quorum, applied: int):
        self.name = name
        self.quorum = quorum
        self.machine = machines.StateMachine()
        self.handlers: dict[str, Any] = {}
        self.last_heard_at: dict[str, float] = {}
        self.share_lease = share_leases.RenewableShareLease(
            name, ZONES[name], self.machine, self, self, self
        )
        self.absence_detector = absence_detector.AbsenceDetector(
            name, ZONES[name], self._is_authority, self.machine, self, self
        )
        self.shares = shares.Shares(name, {})
        self.pool = pools.Pool(
            ANNOUNCEMENT, limits_module.Limits(), self.share_lease
        )
        self.requests: list[tuple[float, pools.Slot]] = []
        self.apply(applied)

    def _is_authority(self, now: float) -> bool:
        del now
        reaching = [
            name
            for name, zone in ZONES.items()
            if zone == ZONES[self.name]
            and name not in self.quorum.without_quorum
            and name in self.quorum.nodes
        ]
        return reaching[:1] == [self.name]

    def apply(self, until: int) -> None:
        """Apply committed changes up to a position."""
        for index in range(self.machine.applied_index, until):
            self.machine.apply(index + 1, self.quorum.log[index])

    async def submit(self, change: changes.Change) -> Any:
        """Commit a change if the quorum is reachable."""
        if self.name in self.quorum.without_quorum:
            return outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        self.quorum.log.append(changes.encode(change))
        self.apply(len(self.quorum.log))
        return changes.Result(changes.Status.APPLIED)

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Apply all committed changes if the quorum is reachable."""
        del timeout_seconds
        if self.name in self.quorum.without_quorum:
            return outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        self.apply(len(self.quorum.log))
        return None

    def handle(self, kind: str, handler: Any) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    async def call(self, name: str, kind: str, body: bytes, _: float) -> Any:
        """Call another instance if it is reachable."""
        other = self.quorum.nodes.get(name)
        if other is None or {self.name, name} in self.quorum.disconnected_pairs:
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        self.last_heard_at[name] = other.last_heard_at[self.name] = (
            trio.current_time()
        )
        return await other.handlers[kind](self.name, body)

    def last_heard(self, name: str) -> float:
        """Return when another instance was last heard from."""
        return self.last_heard_at.get(name, -float("inf"))

    async def run(self, generator: random.Random) -> None:
        """Keep all slots that the instance may use in use, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.share_lease.run)
            nursery.start_soon(self.absence_detector.run)
            while True:
                self.fill_slots(generator)
                await trio.sleep(STEP_SECONDS)

    def fill_slots(self, generator: random.Random) -> None:
        """End requests that are due and start as many as possible."""
        now = trio.current_time()
        for finished in [each for each in self.requests if each[0] <= now]:
            self.requests.remove(finished)
            self.pool.release_slot(finished[1])
        self.shares.update(ZONES, now, self.machine.absent_or_returning)
        self.pool.slot_share = self.shares.share(
            "w", ANNOUNCEMENT.zone, ANNOUNCEMENT.slots
        )
        while True:
            # A long request may get no slot where a short one does.
            long_deadline = now + generator.randint(1, MAX_REQUEST_SECONDS)
            for deadline in (long_deadline, now + STEP_SECONDS):
                slot = self.pool.acquire_slot(deadline, now)
                if slot is not None:
                    self.requests.append((deadline, slot))
                    break
            else:
                return


class _Cluster:
    """All instances, which can be killed, started, partitioned and healed."""

    def __init__(self, nursery: trio.Nursery, seed: int):
        self.nursery = nursery
        self.seed = seed
        self.random = random.Random(seed)
        self.quorum = _Quorum()
        self.scopes: dict[str, trio.CancelScope] = {}
        for name in ZONES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance with a state as old as a restart may find it."""
        applied = self.random.randint(len(ZONES), len(self.quorum.log))
        node = _Node(name, self.quorum, applied)
        self.quorum.nodes[name] = node
        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, node, self.scopes[name])

    async def _run(self, node: _Node, scope: trio.CancelScope) -> None:
        with scope:
            # A generator per node, so that faults don't depend on task order.
            await node.run(random.Random(f"{self.seed} {node.name}"))

    def kill(self, name: str) -> None:
        """Kill an instance with its requests."""
        self.scopes[name].cancel()
        del self.quorum.nodes[name]

    def inject_fault(self) -> None:
        """Inject or repair a random fault."""
        name, other = self.random.sample(sorted(ZONES), 2)
        pair = frozenset({name, other})
        fault = self.random.choice(["die", "cut", "part", "zone", "heal"])
        if fault == "die" and name in self.quorum.nodes:
            self.kill(name)
        elif fault == "die":
            self.start(name)
        elif fault == "cut":
            self.quorum.without_quorum ^= {name}
        elif fault == "part":
            self.quorum.disconnected_pairs ^= {pair}
        elif fault == "zone":
            self.quorum.without_quorum |= {"a", "b", "c"}
        else:
            self.quorum.without_quorum.clear()
            self.quorum.disconnected_pairs.clear()

    async def advance(self, seconds: float) -> int:
        """Let time pass and return the maximum number of slots in use."""
        peak = 0
        for _ in range(int(seconds / STEP_SECONDS)):
            await trio.sleep(STEP_SECONDS)
            peak = max(peak, self.quorum.slots_in_use())
        return peak


class TestSumOfShares:
    """No more slots are ever used than the worker has."""

    @pytest.mark.parametrize("seed", range(12))
    async def test_random_faults(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        seed: int,
    ) -> None:
        cluster = _Cluster(nursery, seed)
        for _ in range(60):
            cluster.inject_fault()
            pause = cluster.random.choice([1, 5, 20, 60, 100])
            assert await cluster.advance(pause) <= ANNOUNCEMENT.slots


class TestAbsentInstance:
    """The units of an absent instance are taken over and given back."""

    async def test_others_take_over_the_share_of_a_dead_instance(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(nursery, 1)
        await cluster.advance(60)
        cluster.kill("b")
        await cluster.advance(10 + MAX_REQUEST_SECONDS)
        before_takeover = cluster.quorum.slots_in_use()
        await cluster.advance(TAKEOVER_SECONDS)
        dead_share = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)["b"]
        assert (
            cluster.quorum.slots_in_use()
            == before_takeover + dead_share - shares.reserved(dead_share)
        )

    async def test_returning_instance_gets_its_share_back(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(nursery, 1)
        cluster.kill("b")
        await cluster.advance(TAKEOVER_SECONDS)
        cluster.start("b")
        assert await cluster.advance(2 * TAKEOVER_SECONDS) == ANNOUNCEMENT.slots
        own_share = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)["b"]
        assert cluster.quorum.nodes["b"].pool.in_flight == own_share

    async def test_successor_without_quorum_gives_units_back_in_time(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(nursery, 1)
        cluster.kill("b")
        await cluster.advance(TAKEOVER_SECONDS)
        absent = {"b": presences.Presence.ABSENT}
        taken_over = shares.divide_absent(
            "w", "z1", ANNOUNCEMENT.slots, ZONES, absent
        )
        successor = max(taken_over, key=lambda name: taken_over[name])
        own_shares = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)
        assert (
            cluster.quorum.nodes[successor].pool.in_flight
            > own_shares[successor]
        )
        cluster.quorum.without_quorum.add(successor)
        cluster.start("b")
        assert await cluster.advance(3 * TAKEOVER_SECONDS) <= ANNOUNCEMENT.slots
        assert cluster.quorum.nodes["b"].pool.in_flight == own_shares["b"]

    async def test_partitioned_zone_keeps_its_shares(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(nursery, 1)
        cluster.quorum.without_quorum |= {"a", "b", "c"}
        await cluster.advance(5 * TAKEOVER_SECONDS)
        divided = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)
        for name in ("a", "b", "c"):
            assert cluster.quorum.nodes[name].pool.in_flight == divided[name]

    @pytest.mark.parametrize(
        "disconnected_pairs, healed",
        [
            ("ab bc bd be", ""),
            # It still reaches another instance without a quorum.
            ("bc", ""),
            # It again reaches the instances that took over its share.
            ("ab bc", "ab bc"),
        ],
    )
    async def test_instance_without_lease_uses_only_its_reserved_units(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        disconnected_pairs: str,
        healed: str,
    ) -> None:
        cluster = _Cluster(nursery, 1)
        cluster.quorum.without_quorum.add("b")
        cluster.quorum.disconnected_pairs |= set(
            map(frozenset, disconnected_pairs.split())
        )
        if "ab" not in disconnected_pairs:
            cluster.quorum.without_quorum.add("a")
        assert await cluster.advance(2 * TAKEOVER_SECONDS) <= ANNOUNCEMENT.slots
        cluster.quorum.disconnected_pairs -= set(map(frozenset, healed.split()))
        assert await cluster.advance(2 * TAKEOVER_SECONDS) <= ANNOUNCEMENT.slots
        own_share = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)["b"]
        slots_in_use = cluster.quorum.nodes["b"].pool.in_flight
        assert slots_in_use == shares.reserved(own_share) < own_share

    async def test_instance_without_a_list_has_no_lease(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        quorum = _Quorum()
        quorum.without_quorum.add("b")
        node = _Node("b", quorum, 0)
        nursery.start_soon(node.run, random.Random(1))
        await trio.sleep(STEP_SECONDS)
        assert node.share_lease.assigned_until("z1") < trio.current_time()

    async def test_restarted_instance_has_its_share_within_seconds(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(nursery, 1)
        cluster.quorum.without_quorum |= set(ZONES)
        await trio.sleep(STEP_SECONDS)
        cluster.quorum.without_quorum.clear()
        await cluster.advance(2 * STEP_SECONDS)
        for node in cluster.quorum.nodes.values():
            assert node.share_lease.taken_over_until() > trio.current_time()
