"""Replays of batch load above capacity, without a network."""

import pytest

from turmerichall.dispatch import run_state
from turmerichall.dispatch.waiting_order import slots
from turmerichall.dispatch.waiting_order import starvation
from turmerichall.dispatch.waiting_order.tests import replay
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

SEEDS = range(6)
# The order has to earn at least a tenth more above capacity than the order by
# slack, or it is not worth its processor time.
LEAST_GAIN = 1.1


def mean_share(order: str, load: replay.Burst, largest: bool = False) -> float:
    """Return the mean share of value earned, by all or the largest jobs."""
    shares = []
    for seed in SEEDS:
        jobs = load.draw(seed)
        done = replay.replay(order, jobs)
        if largest:
            jobs = {name: jobs[name] for name in replay.largest(jobs)}
        shares.append(replay.share(done, jobs))
    return sum(shares) / len(shares)


class TestBursts:

    # Each job got a share of the workers, and all became late together.
    @pytest.mark.parametrize(
        "load",
        [
            replay.Burst(),
            replay.Burst(1.3, (0.25,), 0.9, 0.03),
            replay.Burst(1.1, (0.1,) * 9 + (2.0,)),
        ],
        ids=["burst", "wrong times", "small beside large"],
    )
    def test_more_work_is_done_in_time(self, load: replay.Burst) -> None:
        slack = mean_share("slack", load)
        assert mean_share("remaining_work", load) >= LEAST_GAIN * slack

    # A large job needs more slots at once than become free for small ones.
    def test_largest_jobs_get_half_of_what_all_get(self) -> None:
        load = replay.Burst(1.1, (0.1,) * 9 + (2.0,))
        every = mean_share("remaining_work", load)
        assert mean_share("remaining_work", load, largest=True) >= every / 2


def block(count: int, at_ms: int = 0, **fields: int) -> replay.ReplayedJob:
    """Return a job of two steps of the same number of tasks of 2 s."""
    return replay.ReplayedJob(at_ms, (count, count), (2.0,), 2.0, **fields)


class TestRoom:

    # A job whose tasks may stop long-running ones was taken for one that must
    # wait for them, so nothing was stopped for it.
    def test_long_running_tasks_leave_room_for_batch_tasks(self) -> None:
        full = replay.Replay("remaining_work")
        lasting = demands.StepDemand(1, cpu=100_000, lasting=True)
        task = changes.TaskName("lasting", 0, 0, 0)
        full.worker.add(run_state.Run(task, 1, lasting, "q"))
        room = slots.ServiceSlots()
        room.count([full.worker], 0.0)
        batch = demands.StepDemand(4, cpu=1000)
        assert room.room("desk", batch) == (100.0, 100.0)
        full.worker.in_touch = False
        room.count([full.worker], 1.0)
        assert room.room("desk", batch).free == float("inf")


class TestCancellation:

    # What the canceled job had come first for is left to the next one that is
    # furthest, not to new jobs.
    def test_next_job_takes_the_place_of_a_canceled_head(self) -> None:
        jobs = {
            "head": block(50, cancel_at_ms=2500),
            "next": block(50),
            "blocker": replay.ReplayedJob(100, (100,), (0.5,), 9.0),
            "new": replay.ReplayedJob(100, (100,), (2.0,), 2.0),
        }
        starts = {}
        for order in ("slack", "remaining_work"):
            done = replay.replay(order, jobs)
            assert all(
                task.job != "head" or at_ms < 2500
                for at_ms, task in done.starts
            )
            starts[order] = [
                at_ms
                for at_ms, task in done.starts
                if task[:3] == ("next", 0, 1)
            ]
        assert max(starts["remaining_work"]) <= 2500
        assert max(starts["slack"]) > 2500


class TestStarvation:

    # Jobs that can only be late would wait for as long as others can be on
    # time.
    def test_late_job_runs_beside_a_steady_stream(self) -> None:
        jobs = {
            f"j{number}": replay.ReplayedJob(number * 500, (30,), (2.0,), 2.0)
            for number in range(120)
        }
        jobs["late"] = block(300, 2000)
        done = replay.replay("remaining_work", jobs)
        first_ms = min(
            at_ms for at_ms, task in done.starts if task.job == "late"
        )
        # It waits for three objectives of 9 s at most, and a turn of 3 s.
        assert first_ms <= 2000 + 27_000 + 3000
        turns = [
            fields["job"]
            for message, fields in done.log.lines
            if message == "starved job goes first"
        ]
        assert turns[0] == "late"

    # The first job of those that are starved may fit nowhere.
    def test_turn_that_finds_no_room_passes_on(self) -> None:
        turns = starvation.Turns()
        holders = []
        for second in range(20):
            for name in ("a", "b"):
                turns.record((name, 0), False, 10.0, float(second))
            turns.update(float(second))
            holders.append(turns.holder)
        assert {("a", 0), ("b", 0)} < set(holders)
        turns.forget(("a", 0))
        turns.forget(("b", 0))
        turns.update(30.0)
        assert turns.holder is None
