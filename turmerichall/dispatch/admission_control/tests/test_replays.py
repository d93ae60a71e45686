"""Replays of the loads that fair admission addresses."""

from collections.abc import Callable
import random

import pytest

from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.admission_control import fair_controller
from turmerichall.dispatch.admission_control import places
from turmerichall.dispatch.admission_control import shares
from turmerichall.dispatch.admission_control.tests import replay

# Processors of the simulated workers, in cores.
CORES = 320.0
SEEDS = range(4)


def stream(
    seed: int,
    *phases: tuple[float, float],
    zone: str = "",
    urgent: bool = False,
) -> list[replay.Arrival]:
    """Return random arrivals of jobs of half, once and twice the usual size.

    Args:
        seed: Seed of the random numbers.
        *phases: Length in seconds and load as a share of the processors.
        zone: Zone of the callers.
        urgent: Whether to submit urgent jobs instead of batch jobs.
    """
    rng = random.Random(seed)
    queue = replay.URGENT if urgent else replay.BATCH
    step = replay.URGENT_STEP if urgent else replay.BATCH_STEP
    # The mean size is 1.125.
    work = 2.25 * step.count * step.cpu * step.estimate_ms / 1e6
    arrivals: list[replay.Arrival] = []
    begins_at = 0.0
    for seconds, load in phases:
        at = begins_at + rng.expovariate(load * CORES / work)
        while at < begins_at + seconds:
            job = f"{queue.name}-{zone}-{len(arrivals)}"
            size = rng.choice((0.5, 1.0, 1.0, 2.0))
            demand = replay.chain(step, size)
            arrivals.append(replay.Arrival(at, job, queue, demand, zone))
            at += rng.expovariate(load * CORES / work)
        begins_at += seconds
    return arrivals


def burst(seed: int) -> list[replay.Arrival]:
    """Return a batch burst of 2.5 times the capacity for 8 s."""
    return stream(seed, (10.0, 0.6), (8.0, 2.5), (30.0, 0.5))


def served(
    admission: str,
    make_arrivals: Callable[[int], list[replay.Arrival]],
    test: Callable[[replay.Arrival], bool] = lambda _: True,
    elect_at: float = float("inf"),
) -> float:
    """Return the mean earned share of the value of chosen jobs."""
    earned = 0.0
    for seed in SEEDS:
        run = replay.Replay(admission)
        fates = run.run(make_arrivals(seed), 110.0, elect_at)
        earned += replay.total(fates, test)
    return earned / len(SEEDS)


class TestBatchBurst:

    def test_not_all_jobs_become_late_together(self) -> None:
        # With the control by the backlog every job gets a share of the
        # processors, and those of half a minute are late.
        assert served("fair", burst) > served("backlog", burst) + 0.05

    def test_the_largest_jobs_are_not_starved(self) -> None:
        # Guards against decisions by which small jobs slip in before large
        # ones, such as one by the room that a job needs.
        def is_large(arrival: replay.Arrival) -> bool:
            return arrival.demand.steps[0].count >= 40

        assert served("fair", burst, is_large) > 0.5 * served("fair", burst)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_is_refused_below_capacity(self, seed: int) -> None:
        fates = replay.Replay("fair").run(stream(seed, (40.0, 0.7)), 60.0)
        assert not any(fate.refused_at for fate in fates.values())

    def test_nothing_is_refused_while_workers_are_idle(self) -> None:
        # Guards against refusals for a late finish alone, and against places
        # that keep workers idle.
        run = replay.Replay("fair")
        assert isinstance(run.admission, fair_controller.FairController)
        pool = ("desk", True, replay.BATCH.priority)
        for job in range(200):
            place = places.Place(pool, 122.0, run.now, run.now, 1, True)
            run.admission.places.keep(f"{job}", place)
        demand = replay.chain(replay.BATCH_STEP, 14.0)
        wide = replay.Arrival(0.0, "wide", replay.BATCH, demand)
        assert run.submit(wide) is None


class TestBurstOfAllKinds:

    def test_batch_and_urgent_jobs_both_gain(self) -> None:
        def both(seed: int) -> list[replay.Arrival]:
            batch = stream(seed, (10.0, 0.35), (6.0, 0.9), (30.0, 0.35))
            urgent = stream(
                seed + 50, (10.0, 0.5), (6.0, 1.3), (30.0, 0.5), urgent=True
            )
            return sorted(batch + urgent)

        for queue in (replay.BATCH, replay.URGENT):

            def is_of_queue(
                arrival: replay.Arrival,
                queue_name: str = queue.name,
            ) -> bool:
                return arrival.queue.name == queue_name

            assert (
                served("fair", both, is_of_queue)
                > served("backlog", both, is_of_queue) + 0.02
            )


class TestReturns:

    def test_returns_that_are_remembered_are_worth_more(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Without places, jobs that have lost their value meanwhile are taken
        # for new ones and keep others from being on time.
        with_places = served("fair", burst)
        monkeypatch.setattr(places, "MAX_PLACES", 0)
        assert with_places > served("fair", burst) + 0.01

    def test_returns_do_not_come_as_a_wave(self) -> None:
        # Guards against one return time for all jobs of a burst.
        run = replay.Replay("fair")
        demand = replay.chain(replay.BATCH_STEP)
        verdicts = [
            run.submit(replay.Arrival(0.0, f"{job}", replay.BATCH, demand))
            for job in range(40)
        ]
        told = [seconds for seconds in verdicts if seconds is not None]
        assert len(told) > 20
        assert all(
            seconds == int(seconds) and 1 <= seconds <= 30 for seconds in told
        )
        # The workers serve 2.6 such jobs in a second.
        assert max(told.count(seconds) for seconds in told) <= 4


class TestLeaderChange:

    def test_a_new_leader_without_places_still_gains(self) -> None:
        gained = served("fair", burst, elect_at=15.0)
        assert gained > served("backlog", burst, elect_at=15.0) + 0.05


class TestUnevenZones:

    def test_a_zone_does_not_pay_for_one_that_surges(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def zones(seed: int) -> list[replay.Arrival]:
            surging = stream(
                seed, (60.0, 0.35), (10.0, 2.2), (20.0, 0.35), zone="a"
            )
            steady = stream(seed + 100, (90.0, 0.35), zone="b")
            return sorted(surging + steady)

        def is_beside(arrival: replay.Arrival) -> bool:
            return arrival.zone == "b" and 60.0 <= arrival.at < 75.0

        with_shares = served("fair", zones, is_beside)
        assert with_shares > served("backlog", zones, is_beside) + 0.1
        monkeypatch.setattr(shares, "TOLERANCE", float("inf"))
        assert with_shares > served("fair", zones, is_beside) + 0.03


class TestResentSubmission:

    def test_is_accepted_while_the_first_is_being_committed(self) -> None:
        # A refusal would say that the job does not run, though it may.
        run = replay.Replay("fair")
        demand = replay.chain(replay.BATCH_STEP)

        def is_refused(job: str) -> bool:
            submission = controller.Submission(job, replay.BATCH, demand)
            decided = run.admission.decide(submission, run.workers, run.now)
            return decided is not None

        verdicts = {str(job): is_refused(str(job)) for job in range(80)}
        assert True in verdicts.values()
        run.now += 2.0
        accepted = [job for job, refused in verdicts.items() if not refused]
        assert not any(is_refused(job) for job in accepted)
