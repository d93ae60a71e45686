"""Tests that an absent instance's parts are used by one at a time."""

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
from turmerichall.instances import share_lease
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

ZONES = {"a": "z1", "b": "z1", "c": "z1", "d": "z2", "e": "z2"}
ANNOUNCEMENT = announcements.Announcement(
    "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
)
TICK_SECONDS = 1.0
MOST_REQUEST_SECONDS = 60
NOTICED_SECONDS = (
    absence_detector.ABSENT_AFTER_SECONDS
    + share_lease.TAKEOVER_DELAY_SECONDS
    + 4 * absence_detector.PERIOD_SECONDS
)


class _Quorum:
    """The committed changes, and who reaches it and whom.

    Attributes:
        log: Encoded changes that are committed.
        cut: Instances that don't reach the quorum.
        apart: Pairs that don't reach each other.
    """

    def __init__(self) -> None:
        self.log: list[bytes] = []
        self.cut: set[str] = set()
        self.apart: set[frozenset[str]] = set()
        self.nodes: dict[str, _Node] = {}
        for name, zone in ZONES.items():
            entry = instance.Instance(name, "r", zone, "", "", "", False)
            self.log.append(changes.encode(changes.RegisterInstance(entry)))

    def filled(self) -> int:
        """Returns how many slots of the worker all fill together."""
        return sum(node.pool.in_flight for node in self.nodes.values())


class _Node:
    """One entry instance: its state, proof, parts and requests."""

    def __init__(self, name: str, quorum: _Quorum, applied: int):
        self.name = name
        self.quorum = quorum
        self.machine = machines.StateMachine()
        self.handlers: dict[str, Any] = {}
        self.heard: dict[str, float] = {}
        self.share_lease = share_lease.RenewableShareLease(
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
            and name not in self.quorum.cut
            and name in self.quorum.nodes
        ]
        return reaching[:1] == [self.name]

    def apply(self, until: int) -> None:
        """Applies committed changes up to a position."""
        for index in range(self.machine.applied_index, until):
            self.machine.apply(index + 1, self.quorum.log[index])

    async def submit(self, change: changes.Change) -> Any:
        """Commits a change, if the quorum is in reach."""
        if self.name in self.quorum.cut:
            return outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        self.quorum.log.append(changes.encode(change))
        self.apply(len(self.quorum.log))
        return changes.Result(changes.Status.APPLIED)

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Applies all that is committed, if the quorum is in reach."""
        del timeout_seconds
        if self.name in self.quorum.cut:
            return outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        self.apply(len(self.quorum.log))
        return None

    def handle(self, kind: str, handler: Any) -> None:
        """Registers a handler."""
        self.handlers[kind] = handler

    async def call(self, name: str, kind: str, body: bytes, _: float) -> Any:
        """Calls another instance, if it is in reach."""
        other = self.quorum.nodes.get(name)
        if other is None or {self.name, name} in self.quorum.apart:
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        self.heard[name] = other.heard[self.name] = trio.current_time()
        return await other.handlers[kind](self.name, body)

    def last_heard(self, name: str) -> float:
        """Returns when another instance was last heard."""
        return self.heard.get(name, -float("inf"))

    async def run(self, generator: random.Random) -> None:
        """Fills all slots that it may, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.share_lease.run)
            nursery.start_soon(self.absence_detector.run)
            while True:
                self.fill(generator)
                await trio.sleep(TICK_SECONDS)

    def fill(self, generator: random.Random) -> None:
        """Ends requests that are due and starts all that may be."""
        now = trio.current_time()
        for ended in [each for each in self.requests if each[0] <= now]:
            self.requests.remove(ended)
            self.pool.release_slot(ended[1])
        self.shares.update(ZONES, now, self.machine.absent_or_returning)
        self.pool.slot_share = self.shares.share(
            "w", ANNOUNCEMENT.zone, ANNOUNCEMENT.slots
        )
        while True:
            # A long request may be refused a slot that a short one is given.
            longer = now + generator.randint(1, MOST_REQUEST_SECONDS)
            for deadline in (longer, now + TICK_SECONDS):
                slot = self.pool.acquire_slot(deadline, now)
                if slot is not None:
                    self.requests.append((deadline, slot))
                    break
            else:
                return


class _World:
    """All instances, which can be killed, started, cut and healed."""

    def __init__(self, nursery: trio.Nursery, seed: int):
        self.nursery = nursery
        self.seed = seed
        self.random = random.Random(seed)
        self.quorum = _Quorum()
        self.scopes: dict[str, trio.CancelScope] = {}
        for name in ZONES:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts an instance, with a state as old as a restart may find it."""
        applied = self.random.randint(len(ZONES), len(self.quorum.log))
        node = _Node(name, self.quorum, applied)
        self.quorum.nodes[name] = node
        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, node, self.scopes[name])

    async def _run(self, node: _Node, scope: trio.CancelScope) -> None:
        with scope:
            # Its own, so that the faults don't depend on the order of tasks.
            await node.run(random.Random(f"{self.seed} {node.name}"))

    def kill(self, name: str) -> None:
        """Ends an instance, and its requests with it."""
        self.scopes[name].cancel()
        del self.quorum.nodes[name]

    def disturb(self) -> None:
        """Does one thing that can happen to an instance."""
        name, other = self.random.sample(sorted(ZONES), 2)
        pair = frozenset({name, other})
        what = self.random.choice(["die", "cut", "part", "zone", "heal"])
        if what == "die" and name in self.quorum.nodes:
            self.kill(name)
        elif what == "die":
            self.start(name)
        elif what == "cut":
            self.quorum.cut ^= {name}
        elif what == "part":
            self.quorum.apart ^= {pair}
        elif what == "zone":
            self.quorum.cut |= {"a", "b", "c"}
        else:
            self.quorum.cut.clear()
            self.quorum.apart.clear()

    async def watch(self, seconds: float) -> int:
        """Returns the most slots that were filled at once meanwhile."""
        most = 0
        for _ in range(int(seconds / TICK_SECONDS)):
            await trio.sleep(TICK_SECONDS)
            most = max(most, self.quorum.filled())
        return most


class TestSumOfParts:
    """Whatever happens, no more slots are filled than the worker has."""

    @pytest.mark.parametrize("seed", range(12))
    async def test_random_faults(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        seed: int,
    ) -> None:
        world = _World(nursery, seed)
        for _ in range(60):
            world.disturb()
            pause = world.random.choice([1, 5, 20, 60, 100])
            assert await world.watch(pause) <= ANNOUNCEMENT.slots


class TestAbsence:
    """What an absent instance leaves is used, and given back."""

    async def test_others_use_the_part_of_a_dead_one(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        world = _World(nursery, 1)
        await world.watch(60)
        world.kill("b")
        await world.watch(10 + MOST_REQUEST_SECONDS)
        without = world.quorum.filled()
        await world.watch(NOTICED_SECONDS)
        lost = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)["b"]
        assert world.quorum.filled() == without + lost - shares.reserved(lost)

    async def test_one_that_returns_has_its_part_again(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        world = _World(nursery, 1)
        world.kill("b")
        await world.watch(NOTICED_SECONDS)
        world.start("b")
        assert await world.watch(2 * NOTICED_SECONDS) == ANNOUNCEMENT.slots
        own = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)["b"]
        assert world.quorum.nodes["b"].pool.in_flight == own

    async def test_one_that_gained_and_is_cut_off_stops_in_time(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        world = _World(nursery, 1)
        world.kill("b")
        await world.watch(NOTICED_SECONDS)
        away = {"b": presences.Presence.ABSENT}
        gained = shares.divide_absent(
            "w", "z1", ANNOUNCEMENT.slots, ZONES, away
        )
        gainer = max(gained, key=lambda name: gained[name])
        own = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)
        assert world.quorum.nodes[gainer].pool.in_flight > own[gainer]
        world.quorum.cut.add(gainer)
        world.start("b")
        assert await world.watch(3 * NOTICED_SECONDS) <= ANNOUNCEMENT.slots
        assert world.quorum.nodes["b"].pool.in_flight == own["b"]

    async def test_zone_that_is_cut_off_keeps_its_parts(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        world = _World(nursery, 1)
        world.quorum.cut |= {"a", "b", "c"}
        await world.watch(5 * NOTICED_SECONDS)
        found = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)
        for name in ("a", "b", "c"):
            assert world.quorum.nodes[name].pool.in_flight == found[name]

    @pytest.mark.parametrize(
        "apart, healed",
        [
            ("ab bc bd be", ""),
            # It still reaches another that is cut off.
            ("bc", ""),
            # It reaches those again that were given its part.
            ("ab bc", "ab bc"),
        ],
    )
    async def test_one_without_proof_keeps_little(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        apart: str,
        healed: str,
    ) -> None:
        world = _World(nursery, 1)
        world.quorum.cut.add("b")
        world.quorum.apart |= set(map(frozenset, apart.split()))
        if "ab" not in apart:
            world.quorum.cut.add("a")
        assert await world.watch(2 * NOTICED_SECONDS) <= ANNOUNCEMENT.slots
        world.quorum.apart -= set(map(frozenset, healed.split()))
        assert await world.watch(2 * NOTICED_SECONDS) <= ANNOUNCEMENT.slots
        own = shares.divide("w", "z1", ANNOUNCEMENT.slots, ZONES)["b"]
        filled = world.quorum.nodes["b"].pool.in_flight
        assert filled == shares.reserved(own) < own

    async def test_one_that_knows_no_list_has_no_proof(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        quorum = _Quorum()
        quorum.cut.add("b")
        node = _Node("b", quorum, 0)
        nursery.start_soon(node.run, random.Random(1))
        await trio.sleep(TICK_SECONDS)
        assert node.share_lease.assigned_until("z1") < trio.current_time()

    async def test_restarted_instance_has_its_part_within_seconds(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        world = _World(nursery, 1)
        world.quorum.cut |= set(ZONES)
        await trio.sleep(TICK_SECONDS)
        world.quorum.cut.clear()
        await world.watch(2 * TICK_SECONDS)
        for node in world.quorum.nodes.values():
            assert node.share_lease.taken_over_until() > trio.current_time()
