"""Plans on drawn fleets: limits that hold, and plans without reservations."""

import hashlib
import random

import pytest

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.backfill import backfiller
from turmerichall.dispatch.backfill import claim as claim_types
from turmerichall.dispatch.backfill import claims as claim_sets
from turmerichall.dispatch.backfill import room
from turmerichall.benchmarks import placing_replay as replays
from turmerichall.queues import demand as demands

# Digests of the plans of `digest` at commit 345b4d9, which had no backfill.
PLANS_BEFORE = {
    0: "f2f8ddb0cd474057",
    1: "09a3deda69fcfd20",
    2: "40d246aadcfb595e",
    3: "d105a2ea1108a11c",
    4: "b851dcc31e7ffb07",
    5: "600f0739464528f2",
    6: "f29414d218321cf6",
    7: "9bd7aa836fdd745d",
    8: "0544fe92a8b9ce4c",
    9: "39759a6179a5c0bb",
}


def draw_step(draw: random.Random) -> demands.StepDemand:
    kind = draw.choice(("lasting", "batch", "batch", "fills", "fills"))
    if kind == "lasting" and draw.random() < 0.2:
        return demands.StepDemand(3, 500, 100, lasting=True, image="d")
    gang = draw.random() < 0.15
    return demands.StepDemand(
        draw.randint(1, 4 if gang else 8),
        cpu=draw.choice((500, 1800, 1800, 2700, 5000)),
        memory_mb=draw.choice((500, 4000, 12000)),
        estimate_ms=draw.randint(300, 2500),
        gang=gang,
        same_rack=draw.random() < 0.2,
        max_per_worker=draw.choice((0, 0, 0, 1)),
        fills=kind == "fills",
        image=draw.choice("abc"),
        data_rack=draw.choice(("", "", "r1")),
    )


def draw_replay(seed: int, backfill: bool) -> replays.Replay:
    """Return a replay of drawn jobs on a fleet whose sizes differ."""
    draw = random.Random(seed)
    workers = replays.make_workers(10, draw.choice((6000, 8000, 16000)))
    for worker in workers[::3]:
        worker.resize(worker.capacity._replace(cpu=6000))
    replay = replays.Replay(workers, backfill)
    for number in range(160):
        step = draw_step(draw)
        queue = replays.BATCH
        if not step.fills and draw.random() < 0.3:
            queue = replays.URGENT
        replay.submit(f"j{number:03}", queue, step, draw.uniform(0.0, 20.0))
    factors = random.Random(seed + 1)
    replay.seconds_of = lambda _, step: (
        (7 if factors.random() < 0.03 else factors.uniform(0.8, 1.2))
        * step.estimate_ms
        / 1000
    )
    return replay


def digest(replay: replays.Replay) -> str:
    """Play a replay, and return a digest of its starts."""
    replay.run(60.0)
    rows = [(job, round(at, 3), name) for job, at, name in replay.starts]
    return hashlib.sha256(repr(rows).encode()).hexdigest()[:16]


class TestWithoutBackfill:

    @pytest.mark.parametrize("seed", sorted(PLANS_BEFORE))
    def test_plans_are_those_before_it_was_built(self, seed: int) -> None:
        assert digest(draw_replay(seed, False)) == PLANS_BEFORE[seed]


class TestWithBackfill:

    @pytest.mark.parametrize("seed", range(8))
    def test_the_same_input_gives_the_same_plan(self, seed: int) -> None:
        first = digest(draw_replay(seed, True))
        assert first == digest(draw_replay(seed, True))

    @pytest.mark.parametrize("seed", range(8))
    def test_no_worker_exceeds_its_capacity(self, seed: int) -> None:
        replay = draw_replay(seed, True)
        while replay.now < replays.BEGIN_SECONDS + 30:
            replay.step()
            for worker in replay.workers.values():
                capacity = worker.capacity
                assert worker.cpu_reserved <= capacity.cpu
                assert worker.memory_reserved <= capacity.memory_mb

    @pytest.mark.parametrize("seed", range(8))
    def test_no_task_is_starved(self, seed: int) -> None:
        # Long-running jobs never end; all others must be done some time after
        # the last one has arrived.
        replay = draw_replay(seed, True)
        ending = {
            job for _, job, _, step in replay.arrivals if not step.lasting
        }
        replay.run(60.0)
        assert ending == replay.done_at.keys()

    @pytest.mark.parametrize("seed", range(8))
    def test_other_starts_delay_reservations_within_their_bound(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A start that is no more urgent may outlast the start of a reservation
        # only if room is left, or if idle time would exceed its share.  Judged
        # by the forecasts that the reservation is made from.
        monkeypatch.setattr(backfiller, "REFRESH_SECONDS", 0.0)
        checked = 0
        replay = draw_replay(seed, True)
        original = claim_sets.Claims.permits

        def permits(
            claims: claim_sets.Claims,
            worker: worker_state.Worker,
            step: demands.StepDemand,
            name: backlogs.GroupName,
            seconds: float,
            now: float,
            urgency: claim_types.Urgency,
        ) -> bool:
            nonlocal checked
            allowed = original(
                claims, worker, step, name, seconds, now, urgency
            )
            for claim in claims.by_worker.get(worker.record.id, ()):
                if claim.group == name or claim.urgency > urgency:
                    continue
                checked += 1
                idle_seconds = claim_sets.MEAN_IDLE * (claim.starts_at - now)
                waited_seconds = now - claim.waits_since
                bound = (
                    claim.starts_at
                    + idle_seconds / claim_sets.IDLE_SHARE
                    - waited_seconds
                )
                assert (
                    not allowed
                    or now + seconds <= max(claim.starts_at, bound) + 1e-9
                    or fits_later(replay, worker, step, claim)
                )
            return allowed

        monkeypatch.setattr(claim_sets.Claims, "permits", permits)
        replay.run(30.0)
        assert checked


def fits_later(
    replay: replays.Replay,
    worker: worker_state.Worker,
    step: demands.StepDemand,
    claim: claim_types.Claim,
) -> bool:
    """Return whether a reserved task fits beside one that outlasts its start.

    Counts the runs that are at work then; those that are being stopped have
    ended, and other reservations are left out.
    """
    left = [
        run.step
        for run in worker.runs.values()
        if not run.stopping
        and (
            run.step.lasting
            or replay.now
            + max(
                replay.forecaster.remaining(run, replay.now).typical_seconds,
                room.MIN_REMAINING_SECONDS,
                room.MIN_REMAINING_SHARE * run.seconds_at_work(replay.now),
            )
            > claim.starts_at
        )
    ]
    left += [step, claim.step]
    capacity = worker.capacity
    if sum(s.memory_mb for s in left) > capacity.memory_mb:
        return False
    if not claim.step.fills:
        cpu = sum(s.cpu for s in left if not s.fills)
        return step.fills or cpu <= capacity.cpu
    return sum(s.cpu / (1 + s.lasting) for s in left) <= capacity.cpu
