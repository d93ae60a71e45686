"""Random histories of losses that follow each other, within the rules.

A machine is lost while it is down or cut off, and for `catch_up_s` after it is
back or, if it is new, after its start.  At most as many machines as the cluster
bears are lost at the same time.  A machine that is removed shares the loss with
its successor.  Frozen machines are played as cut off.
"""

import math
import random
from typing import NamedTuple

import trio
import trio.testing

from turmerichall.agreement import availability
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters

__all__ = ["HAND_OVER_SECONDS", "Report", "TIMING", "run", "stop"]

# Those of `replica_daemon`.
TIMING = replica_state.Timing(
    heartbeat_seconds=0.3,
    election_seconds=1.0,
    election_jitter_seconds=0.6,
    call_seconds=0.8,
    commit_delay_seconds=0.02,
    append_interval_seconds=0.01,
    snapshot_entries=60,
    retained_entries=20,
)
HAND_OVER_SECONDS = 4.75
CATCH_UP_SECONDS = {1: 4.0, 2: 6.0}
RECOVERY_SECONDS = 12.0
KINDS = (
    ("kill", "cut", "cut pair", "restart", "kill all")
    + ("wipe",) * 2
    + ("planned",) * 3
    + ("unplanned",) * 2
)


class Report(NamedTuple):
    """Result of one history.

    Attributes:
        seed: Its seed.
        faults: The kinds of its faults, in order.
        findings: Violations that were found, a sentence each.
        borne_after: Kind of a fault, and seconds from its reference time, from
            which `catch_up_s` counts, until the next losses were borne.
    """

    seed: int
    faults: list[str]
    findings: list[str]
    borne_after: list[tuple[str, float]]


async def stop(cluster: clusters.Cluster, name: str) -> None:
    """Stop an instance as `ReplicaDaemon.drain` does."""
    stopped = cluster.replicas[name]
    deadline = trio.current_time() + HAND_OVER_SECONDS
    with trio.move_on_at(deadline):
        await stopped.transfer_leadership(1.0)
        await stopped.hand_over_vote(deadline - trio.current_time())
    if cluster.replicas.get(name) is stopped:
        cluster.kill(name)


class _Run:
    """One history; a loss is counted for a unit, which outlives its machines.

    Attributes:
        units: Unit of each machine by name.
        lost_until: When each unit stops counting as lost, trio time.
    """

    def __init__(self, nursery: trio.Nursery, seed: int):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.borne = 1 + seed % 2
        self.catch_up = CATCH_UP_SECONDS[self.borne]
        size = 2 * self.borne + 1
        self.cluster = clusters.Cluster(
            nursery, size, seed, TIMING, max_voters=size
        )
        self.size = size
        self.units = {name: name for name in self.cluster.names}
        self.lost_until = dict.fromkeys(self.cluster.names, -math.inf)
        self.busy: set[str] = set()
        self.acknowledged: list[str] = []
        self.settling = False
        self.report = Report(seed, [], [], [])

    async def set_up(self) -> None:
        """Start the cluster, sometimes with a standby."""
        await self.cluster.start_all()
        await self.cluster.wait_for_leader()
        # A machine that starts later does not found the cluster again.
        self.cluster.names = []
        for number in range(self.rng.choice([0, 0, 1])):
            await self.add(f"s{number}", f"s{number}")
        await trio.sleep(self.catch_up)

    async def add(self, name: str, unit: str) -> None:
        """Start a machine that is not in a seed list yet."""
        self.units[name] = unit
        await self.start(name)

    async def start(self, name: str) -> None:
        """Start a machine with seeds that need not be current."""
        cluster = self.cluster
        unit = self.units[name]
        others = sorted(set(self.units) - {name})
        seeds = self.rng.sample(others, min(3, len(others)))
        # One seed at least is there for as long as this machine joins.
        lasting = sorted(
            each for each in cluster.replicas if self.units[each] != unit
        )
        seeds[:1] = [self.rng.choice(lasting)] if lasting else seeds[:1]
        cluster.addresses = {seed: f"{seed}:1" for seed in seeds}
        cluster.hub.silent.discard(name)
        await cluster.start(name)
        self.lost_until[unit] = trio.current_time() + self.catch_up

    def kill(self, name: str) -> None:
        if name in self.cluster.replicas:
            self.cluster.kill(name)
        if self.rng.random() < 0.5:
            self.cluster.hub.silent.add(name)

    def may_lose(self, unit: str) -> bool:
        """Return whether a unit may be lost now."""
        now = trio.current_time()
        lost = [u for u, until in self.lost_until.items() if until > now]
        return len(set(lost) - {unit}) < self.borne

    async def write(self) -> None:
        """Propose changes; keep those that were acknowledged."""
        number = 0
        while not self.settling:
            name = self.rng.choice(sorted(self.cluster.replicas) or [""])
            number += 1
            if name:
                change = f"k{number}={number}"
                self.nursery.start_soon(self.put, name, change)
            await trio.sleep(0.3)

    async def put(self, name: str, change: str) -> None:
        replica = self.cluster.replicas.get(name)
        if replica and isinstance(
            await replica.propose(change.encode(), 2.0), bytes
        ):
            self.acknowledged.append(change)

    async def inject(self) -> None:
        """Inject a fault as soon as one is allowed."""
        while True:
            kind = self.rng.choice(KINDS)
            free = sorted(
                name
                for name in self.cluster.replicas
                if self.units[name] not in self.busy
                and self.may_lose(self.units[name])
            )
            leaders = [name for name in self.cluster.leaders() if name in free]
            if kind == "kill all" and (
                self.busy or not all(map(self.may_lose, self.lost_until))
            ):
                continue
            if free:
                break
            await trio.sleep(0.05)
        name = self.rng.choice(leaders * 2 + free)
        self.report.faults.append(kind)
        hit = set(self.units.values() if kind == "kill all" else ())
        for unit in hit | {self.units[name]}:
            self.busy.add(unit)
            self.lost_until[unit] = math.inf
        self.nursery.start_soon(self.play, kind, name)

    async def play(self, kind: str, name: str) -> None:
        """Play a fault to its end, and measure what follows."""
        unit = self.units[name]
        if kind == "planned":
            await self.replace_planned(name)
        else:
            await self.lose(kind, name)
        self.busy -= self.busy if kind == "kill all" else {unit}
        await self.measure(kind, unit)

    async def lose(self, kind: str, name: str) -> None:
        """Lose a machine, which comes back or is replaced."""
        cluster, unit = self.cluster, self.units[name]
        down = self.rng.uniform(0.1, 3.0)
        if kind in ("cut", "cut pair"):
            others = set(cluster.replicas)
            if kind == "cut pair":
                others = {self.rng.choice(sorted(others))}
            before = set(cluster.hub.cut)
            cluster.hub.isolate(name, others)
            added = cluster.hub.cut - before
            await trio.sleep(2.0 * down)
            cluster.hub.cut -= added
            self.lost_until[unit] = trio.current_time() + self.catch_up
            return
        if kind == "kill all":
            names = sorted(cluster.replicas)
            for each in names:
                cluster.kill(each)
            await trio.sleep(down / 3.0)
            for each in names:
                await self.start(each)
            return
        if kind == "restart":
            await stop(cluster, name)
        self.kill(name)
        await trio.sleep(down)
        if kind == "unplanned":
            name = self.successor(name)
        elif kind == "wipe":
            cluster.wipe(name)
        await self.start(name)

    def successor(self, name: str) -> str:
        """Return the name of a new machine in the unit of another."""
        new = f"n{len(self.units)}"
        self.units[new] = self.units[name]
        return new

    async def replace_planned(self, name: str) -> None:
        """Start the new machine first; the old one stops at any time after."""
        cluster, unit = self.cluster, self.units[name]
        new = self.successor(name)
        await self.start(new)
        if self.rng.random() < 0.3:
            cluster.hub.isolate(new, {name})
            await trio.sleep(self.rng.uniform(0.0, 4.0))
            cluster.hub.cut -= {(new, name), (name, new)}
            self.lost_until[unit] = trio.current_time() + self.catch_up
        await trio.sleep(self.rng.uniform(0.0, 2.0 * self.catch_up))
        await stop(cluster, name)
        self.kill(name)

    async def measure(self, kind: str, unit: str) -> None:
        """Record when the next losses are borne, if no other unit is lost."""
        since = self.lost_until[unit] - self.catch_up
        while trio.current_time() < since + self.catch_up:
            if unit in self.busy or any(
                until > trio.current_time()
                for other, until in self.lost_until.items()
                if other != unit and kind != "kill all"
            ):
                return
            if self.bears_losses():
                elapsed = trio.current_time() - since
                self.report.borne_after.append((kind, elapsed))
                return
            await trio.sleep(0.05)
        if not self.bears_losses() and self.is_quiet():
            self.report.findings.append(f"{kind}: next loss not borne in time")

    def is_quiet(self) -> bool:
        now = trio.current_time()
        return not self.busy and max(self.lost_until.values()) <= now

    def bears_losses(self) -> bool:
        return any(
            availability.losses_borne(self.cluster.replicas[name].state)
            >= self.borne
            for name in self.cluster.leaders()
        )

    async def settle(self) -> None:
        """Wait for the end of all faults and check what is left."""
        cluster = self.cluster
        await cluster.wait_until(lambda: not self.busy, 60.0)
        self.settling = True
        await trio.sleep(2.0)
        with trio.move_on_after(RECOVERY_SECONDS) as scope:
            while not self.bears_losses():
                await trio.sleep(0.05)
            leader = cluster.leaders()[-1]
            await cluster.put(leader, "last=1")
            await cluster.wait_until_applied("last=1")
        if scope.cancelled_caught:
            self.report.findings.append(
                "a replica does not follow"
                if self.bears_losses()
                else "no leader that bears losses"
            )
            return
        for name, replica in cluster.replicas.items():
            missing = set(self.acknowledged) - set(cluster.applied(name))
            if missing:
                self.report.findings.append(f"{name} lost {sorted(missing)}")
            if replica.status().diverged_at:
                self.report.findings.append(f"{name} differs")


async def _history(seed: int, faults: int) -> Report:
    async with trio.open_nursery() as nursery:
        history = _Run(nursery, seed)
        await history.set_up()
        nursery.start_soon(history.write)
        for _ in range(faults):
            await history.inject()
            if history.rng.random() < 0.5:
                await trio.sleep(history.rng.uniform(0.0, 6.0))
        await history.settle()
        nursery.cancel_scope.cancel()
    return history.report


def run(seed: int, faults: int = 4) -> Report:
    """Run one history on a mocked clock; odd seeds bear two losses.

    Args:
        seed: Seed of all random choices.
        faults: Number of faults.

    Returns:
        The result; equal seeds give equal histories.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio_random = trio._core._run._r  # pylint: disable=protected-access
    state = trio_random.getstate()
    trio_random.seed(seed)
    try:
        return trio.run(_history, seed, faults, clock=clock)
    finally:
        trio_random.setstate(state)
