"""Replays of the loads that careful colocation addresses."""

from collections.abc import Callable, Sequence
import functools
import math

import pytest
import trio.testing

from turmerichall.dispatch.colocation.tests import replays
from turmerichall.dispatch.tests import test_interference

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

WEIGHTS = {"sort": 5.0, "join": 3.0, "scan": 0.0}
MIXED = [
    *[("sort", "scan")] * 4,
    *[("scan", "scan")] * 4,
    *[("join",)] * 4,
    *[()] * 2,
]
# The platform's limit on the time over the target without a break.
BOUND_SECONDS = 4.5
PHASES = 4
# Time in which the load is observed before best-effort runs arrive.
WARM_UP_SECONDS = 10.0

wave = test_interference.SimulatedCluster.load


def high_wave(now: float) -> float:
    """Return a load whose peak alone brings tail latencies to their targets."""
    return 0.45 * (1 + 0.6 * math.sin(2 * math.pi * now / 10))


def shifted(load: Callable[[float], float], offset: float, now: float) -> float:
    """Return the load that another load has some seconds later."""
    return load(now + offset)


def narrow_wave(now: float) -> float:
    """Return a load that leaves little room for slowdowns all the time."""
    return 0.5 * (1 + 0.3 * math.sin(2 * math.pi * now / 10))


class Sums:
    """Sums over replays that begin at different phases of the wave of load."""

    def __init__(self) -> None:
        self.over_seconds = 0.0
        self.longest_over_seconds = 0.0
        self.work_lost = 0.0
        self.orders = 0

    @property
    def cost(self) -> float:
        """Cost in core seconds; time over the target counts fourfold."""
        cpu = test_interference.LONG_RUNNING_STEP.cpu / 1000
        return self.work_lost + 4 * cpu * self.over_seconds

    def add(self, replay: replays.Replay) -> None:
        """Add the results of a replay."""
        self.over_seconds += replay.over_seconds
        self.longest_over_seconds = max(
            self.longest_over_seconds, replay.longest_over_seconds
        )
        self.work_lost += replay.work_lost
        self.orders += replay.orders


async def play(
    colocation: str,
    slots: Sequence[tuple[str, ...]],
    seconds: float,
    load: Callable[[float], float] = wave,
    known: dict[str, float] | None = None,
    loss: float = 0.0,
) -> Sums:
    """Return the results of replays of some seconds, and print them.

    Args:
        colocation: The policy.
        slots: Images of the best-effort runs on each worker.
        seconds: Simulated time of each replay.
        load: Load by time.
        known: What is known about pairs at the start.
        loss: Share of the answers to pace orders that are lost.
    """
    sums = Sums()
    for phase in range(PHASES):
        offset = 10.0 * phase / PHASES - trio.current_time()
        replay = replays.Replay(
            colocation,
            slots,
            WEIGHTS,
            loss,
            functools.partial(shifted, load, offset),
            seed=phase,
        )
        if known:
            replay.owner.interference_model.restore({"desk": known})
        await replay.run(seconds, WARM_UP_SECONDS)
        print(colocation, replay.summary())
        sums.add(replay)
    assert sums.longest_over_seconds < BOUND_SECONDS
    return sums


class TestFirstEncounter:

    async def test_with_a_heavy_pair_costs_little(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        # Without the limit on first paces, all workers meet the pair at full
        # pace at once.
        slots = [("sort", "sort")] * 16 + [("scan",)] * 4 + [()] * 4
        plain = await play("plain", slots, 10.0, narrow_wave)
        careful = await play("careful", slots, 10.0, narrow_wave)
        assert careful.over_seconds < 0.5 * plain.over_seconds
        assert careful.cost < 0.75 * plain.cost

    async def test_with_a_harmless_pair_is_soon_over(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        slots = [("scan", "scan")] * 6 + [("scan",)] * 3 + [()] * 3
        careful = await play("careful", slots, 10.0)
        assert careful.work_lost < 0.1 * PHASES * 15 * 3.2 * 10.0

    async def test_a_pair_known_to_be_harmless_starts_at_full_pace(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        slots = [("scan", "scan")] * 6 + [("scan",)] * 3 + [()] * 3
        known = {"scan": 0.0}
        careful = await play("careful", slots, 10.0, known=known)
        assert careful.orders == 0

    async def test_is_not_repeated_by_the_next_leader(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        # A new leader that does not know the strength of the evidence either
        # takes all stored pairs for known ones or none.
        replay = replays.Replay("careful", MIXED, WEIGHTS)
        await replay.run(20.0, WARM_UP_SECONDS)
        model = replay.owner.interference_model
        assert not any(model.is_unknown("desk", image) for image in WEIGHTS)
        first = replay.over_seconds
        replay.elect("careful")
        await replay.run(20.0)
        print("before the change", first, "and all", replay.summary())
        assert not replay.owner.first_encounters()
        assert replay.over_seconds - first < first
        assert replay.longest_over_seconds < BOUND_SECONDS


class TestPaceOrders:

    @pytest.mark.parametrize("load", [wave, high_wave])
    @pytest.mark.parametrize("loss", [0.0, 0.5])
    async def test_fewer_keep_the_same_tail_latencies(
        self,
        mocked_clocks: trio.testing.MockClock,
        load: Callable[[float], float],
        loss: float,
    ) -> None:
        plain = await play("plain", MIXED, 30.0, load, WEIGHTS, loss)
        careful = await play("careful", MIXED, 30.0, load, WEIGHTS, loss)
        assert careful.orders < 0.75 * plain.orders
        assert careful.over_seconds < plain.over_seconds
        assert careful.cost < 1.1 * plain.cost

    async def test_two_heavy_pairs_on_one_worker(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        slots = [("sort", "join")] * 6 + [("scan",)] * 4
        plain = await play("plain", slots, 20.0)
        careful = await play("careful", slots, 20.0)
        assert careful.orders < 0.75 * plain.orders
        assert careful.over_seconds < 0.8 * plain.over_seconds
