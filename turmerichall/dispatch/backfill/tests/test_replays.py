"""Replays of loads that fragment a fleet; each fails without reservations."""

import random

import pytest

from turmerichall.dispatch.backfill import blocked_groups
from turmerichall.benchmarks import placing_replay as replays
from turmerichall.dispatch.forecasts import forecast
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

SMALL = demands.StepDemand(
    2, cpu=1800, memory_mb=100, estimate_ms=1700, image="small"
)


def play_stream(
    backfill: bool,
    big: demands.StepDemand,
    small: demands.StepDemand = SMALL,
    outlier_share: float = 0.0,
    small_queue: str = replays.BATCH,
    interval: float = 0.12,
    seed: int = 1,
) -> replays.Replay:
    """Play a large job that arrives in a stream of small ones for 50 s."""
    replay = replays.Replay(replays.make_workers(8), backfill)
    draw = random.Random(seed)

    def seconds_of(_: changes.TaskName, step: demands.StepDemand) -> float:
        factor = 7.0 if draw.random() < outlier_share else 1.0
        return factor * draw.uniform(0.8, 1.2) * step.estimate_ms / 1000

    replay.seconds_of = seconds_of
    replays.stream(replay, small, interval, 50.0, small_queue)
    replay.submit("big", replays.BATCH, big, 8.0)
    replay.run(60.0)
    return replay


def done_seconds(replay: replays.Replay, job: str, arrived: float) -> float:
    done_at = replay.done_at.get(job, float("inf"))
    return done_at - replays.BEGIN_SECONDS - arrived


class TestWideJobBesideSmallOnes:

    @pytest.mark.parametrize("fills", [False, True])
    @pytest.mark.parametrize("gang", [False, True])
    def test_is_not_starved_by_them(self, fills: bool, gang: bool) -> None:
        big = demands.StepDemand(
            4, 6000, 100, estimate_ms=1700, gang=gang, fills=fills, image="big"
        )
        small = SMALL
        if fills:
            small = demands.StepDemand(
                2, 1800, 100, estimate_ms=1700, fills=True, image="small"
            )
        before, after = (
            done_seconds(play_stream(each, big, small), "big", 8.0)
            for each in (False, True)
        )
        assert before > 8.0
        # A wait for the end of the runs there, and the run itself.
        assert after < 5.0

    def test_small_jobs_are_hardly_delayed(self) -> None:
        big = demands.StepDemand(4, 6000, 100, estimate_ms=1700, image="big")
        replay = play_stream(True, big)
        waits = [
            done_seconds(replay, job, int(job[1:]) * 0.12)
            for job in replay.done_at
            if job != "big"
        ]
        assert len(waits) == 416
        assert sum(waits) / len(waits) < 2.1
        assert max(waits) < 4.4

    @pytest.mark.parametrize("seed", range(5))
    def test_runs_that_outlive_a_plain_forecast_delay_it_little(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The plain forecast says that such a run ends now, for as long as it
        # goes on; reservations must not stay with it.
        monkeypatch.setattr(replays, "GrowingForecaster", forecast.Forecaster)
        big = demands.StepDemand(4, 6000, 100, estimate_ms=1700, image="big")
        replay = play_stream(True, big, SMALL, 0.03, interval=0.13, seed=seed)
        assert done_seconds(replay, "big", 8.0) < 13.0

    def test_runs_of_seven_times_the_forecast_delay_it_little(self) -> None:
        big = demands.StepDemand(4, 6000, 100, estimate_ms=1700, image="big")
        replay = play_stream(True, big, outlier_share=0.03)
        assert done_seconds(replay, "big", 8.0) < 8.0


class TestUrgentStream:

    def test_is_not_held_back_by_reservations_of_batch_work(self) -> None:
        # Urgent tasks that could start must not wait for less urgent ones.
        big = demands.StepDemand(4, 6000, 100, estimate_ms=1700, image="big")
        starts = [
            {
                (job, at)
                for job, at, _ in play_stream(
                    backfill, big, small_queue=replays.URGENT
                ).starts
                if job != "big"
            }
            for backfill in (False, True)
        ]
        assert starts[0] == starts[1]

    def test_wide_urgent_job_is_not_starved_by_small_urgent_ones(self) -> None:
        done = []
        for backfill in (False, True):
            replay = replays.Replay(replays.make_workers(8), backfill)
            replays.stream(replay, SMALL, 0.12, 50.0, replays.URGENT)
            wide = demands.StepDemand(
                4, 6000, 100, estimate_ms=1700, gang=True, image="wide"
            )
            replay.submit("wide", replays.URGENT, wide, 8.0)
            replay.run(60.0)
            done.append(done_seconds(replay, "wide", 8.0))
        assert done[0] > 20.0
        assert done[1] < 5.0

    def test_reservations_leave_preemption_to_urgent_tasks(self) -> None:
        # All processors are requested by long-running tasks, one of which each
        # urgent task may stop; a gang holds reservations for what they free.
        replay = replays.Replay(replays.make_workers(4), True)
        service = demands.StepDemand(16, 2000, 100, lasting=True, image="s")
        replay.submit("service", replays.BATCH, service)
        gang = demands.StepDemand(
            4, 4000, 100, estimate_ms=1000, gang=True, image="gang"
        )
        replay.submit("gang", replays.BATCH, gang, 0.5)
        urgent = demands.StepDemand(1, 1800, 100, estimate_ms=600, image="u")
        jobs = replays.stream(replay, urgent, 0.5, 10.0, replays.URGENT)
        replay.run(15.0)
        waits = [
            done_seconds(replay, job, number * 0.5)
            for number, job in enumerate(jobs)
        ][6:]
        # A stop, two rounds, and the run.
        assert max(waits) < 0.4 + 0.1 + 0.6 + 0.3


class TestSizes:

    def test_tasks_of_one_and_a_half_times_the_size_wait_no_longer(
        self,
    ) -> None:
        # Two tasks of 2,000 leave the gap in which none of 3,000 fits.
        waits = []
        for backfill in (False, True):
            replay = replays.Replay(replays.make_workers(8, cpu=6000), backfill)
            small = demands.StepDemand(
                2, 2000, 100, estimate_ms=1700, image="small"
            )
            replays.stream(replay, small, 0.155, 40.0)
            large = demands.StepDemand(
                1, 3000, 100, estimate_ms=1700, image="large"
            )
            for number in range(20):
                replay.submit(f"l{number:04}", replays.BATCH, large, number + 5)
            replay.run(50.0)
            seconds = [
                done_seconds(replay, f"l{number:04}", number + 5)
                for number in range(20)
            ]
            waits.append(sum(seconds) / len(seconds))
        assert waits[1] < 0.7 * waits[0]


class TestRacks:

    def test_many_reservations_on_one_rack_leave_the_others_free(
        self,
    ) -> None:
        replay = replays.Replay(replays.make_workers(12), True)
        replays.stream(replay, SMALL, 0.085, 20.0)
        wide = demands.StepDemand(
            4, 8000, 100, estimate_ms=1700, same_rack=True, gang=True, image="w"
        )
        for number in range(2):
            replay.submit(f"wide{number}", replays.BATCH, wide, 5.0)
        racks: dict[str, set[str]] = {}
        while replay.now < replays.BEGIN_SECONDS + 30.0:
            for worker, run in replay.step():
                if run.task.job.startswith("wide"):
                    racks.setdefault(run.task.job, set()).add(
                        worker.record.rack
                    )
        assert {len(names) for names in racks.values()} == {1}
        assert (
            max(
                done_seconds(replay, f"wide{number}", 5.0)
                for number in range(2)
            )
            < 5.0
        )
        small = [
            done_seconds(replay, job, int(job[1:]) * 0.085)
            for job in replay.done_at
            if job.startswith("s")
        ]
        assert len(small) == 235
        assert max(small) < 5.0


class TestNewLeader:

    def test_has_no_reservations_until_groups_are_blocked(self) -> None:
        replay = replays.Replay(replays.make_workers(1), True)
        big = demands.StepDemand(3, 8000, 100, estimate_ms=1700, image="big")
        replay.submit("big", replays.BATCH, big)
        replay.step()
        while not reservations(replay):
            replay.step()
        waited = replay.now - replays.BEGIN_SECONDS
        assert blocked_groups.BLOCKED_SECONDS <= waited < 0.5


class TestReports:

    def test_job_is_told_when_it_will_start_at_most_every_5_s(self) -> None:
        big = demands.StepDemand(4, 8000, 100, estimate_ms=9000, image="big")
        replay = replays.Replay(replays.make_workers(2), True)
        replay.submit("first", replays.BATCH, big)
        replay.submit("second", replays.BATCH, big)
        replay.run(8.0)
        lines = [
            fields
            for message, fields in replay.log.lines
            if message == "job waits for room"
        ]
        assert [line["job"] for line in lines].count("first") == 2
        assert 8.0 < float(str(lines[0]["expected_start_seconds"])) < 9.0
        exposition = replay.metrics.exposition().decode()
        assert "turmerichall_backfill_reservations 2.0" in exposition
        assert "turmerichall_backfill_idle_cores 0.0" in exposition
        assert "turmerichall_task_wait_rest_seconds_count" in exposition


class TestEnds:

    def test_canceled_holders_give_their_room_back(self) -> None:
        replay = replays.Replay(replays.make_workers(8), True)
        replays.stream(replay, SMALL, 0.12, 20.0)
        big = demands.StepDemand(
            8, 8000, 100, estimate_ms=1700, gang=True, image="big"
        )
        for number in range(6):
            replay.submit(f"b{number}", replays.BATCH, big, 5.0)
        replay.run(5.6)
        assert reservations(replay) == 8
        for number in range(6):
            replay.cancel(f"b{number}")
        replay.step()
        assert not {
            claim.group.job for claim in backfiller_of(replay).claims.all()
        } & {f"b{number}" for number in range(6)}
        replay.run(0.5)
        assert len([at for _, at, _ in replay.starts if at > 105.6]) >= 8

    @pytest.mark.parametrize(
        "fault", ["draining", "lost", "shrunk", "evacuated"]
    )
    def test_a_worker_out_of_use_holds_none(self, fault: str) -> None:
        replay = replays.Replay(replays.make_workers(3), True)
        replays.stream(replay, SMALL, 0.3, 20.0)
        big = demands.StepDemand(1, 8000, 100, estimate_ms=1700, image="big")
        replay.submit("big", replays.BATCH, big, 3.0)
        while not reservations(replay):
            replay.step()
        (claim,) = backfiller_of(replay).claims.all()
        worker = replay.workers[claim.worker_id]
        if fault == "draining":
            worker.draining = True
        elif fault == "lost":
            worker.record_silence(replay.now, True)
        elif fault == "evacuated":
            worker.record = worker.record._replace(zone="other")
            at_ms = int(replay.now * 1000)
            replay.apply(changes.BeginEvacuation("other", at_ms))
        else:
            worker.resize(worker.capacity._replace(cpu=4000))
        replay.step()
        (claim,) = backfiller_of(replay).claims.all()
        assert claim.worker_id != worker.record.id


def backfiller_of(replay: replays.Replay):  # type: ignore[no-untyped-def]
    return replay.planner._backfill  # pylint: disable=protected-access


def reservations(replay: replays.Replay) -> int:
    return len(backfiller_of(replay).claims.all())
