"""Tests of workers that are well again after they refused starts or failed."""

import random

import pytest
import trio
import trio.testing

from turmerichall.dispatch import circuit_breaker as circuit_breakers
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
TASKS = 4
# Time for which the breaker stays open after one refusal, one trial, and the
# polls that show its outcome.
WELL_SECONDS = (
    circuit_breakers.OPEN_SECONDS + circuit_breakers.TRIAL_SECONDS + 0.5
)


class TestWellAgain:
    """One refused start on the only worker, which is well and empty then."""

    # A gang, or tasks on one rack, were never started again: the trial was
    # used up by the first of them, and all were taken back.
    @pytest.mark.parametrize(
        "step",
        [
            demands.StepDemand(TASKS, 1000, estimate_ms=20_000),
            demands.StepDemand(TASKS, 1000, estimate_ms=20_000, gang=True),
            demands.StepDemand(TASKS, 1000, estimate_ms=20_000, same_rack=True),
            demands.StepDemand(TASKS, 1000, estimate_ms=20_000, lasting=True),
        ],
        ids=["single", "gang", "same rack", "long-running"],
    )
    async def test_it_gets_all_that_it_can_hold(
        self, mocked_clocks: trio.testing.MockClock, step: demands.StepDemand
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 20.0
        if step.lasting:
            worker.lasting_jobs.add(JOB)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await trio.sleep(1.0)
            worker.verdicts = [fakes.Verdict.UNWELL] * TASKS
            await test_leadership.submit(
                cluster, demands.JobDemand("text", (step,))
            )
            await cluster.wait_until(lambda: not worker.verdicts)
            await cluster.wait_until(
                lambda: len(worker.runs) == TASKS, WELL_SECONDS
            )

        await test_leadership.run_script(cluster, script)


class TestTrial:

    def test_a_run_that_was_taken_back_frees_the_next_trial(self) -> None:
        breaker = circuit_breakers.CircuitBreaker()
        breaker.record_refusal(0.0)
        breaker.record_start(2.0, "a")
        assert not breaker.allows(2.0)
        breaker.take_back("a")
        assert breaker.allows(2.0)

    def test_a_proven_worker_trips_again_at_the_next_failure(self) -> None:
        breaker = circuit_breakers.CircuitBreaker()
        breaker.record_refusal(0.0)
        breaker.record_start(2.0, "a")
        assert breaker.record_running(1.5, lasting=True)
        assert breaker.allows(3.5)
        breaker.record(False, 4.0, "job")
        assert not breaker.allows(4.1)

    # The end of an ordinary run tells whether its worker fails all runs.
    def test_a_run_does_not_prove_a_worker_that_failed_others(self) -> None:
        breaker = circuit_breakers.CircuitBreaker()
        for job in ("a", "b", "c"):
            breaker.record(False, 0.0, job)
        breaker.record_start(2.0, "d")
        assert not breaker.record_running(5.0, lasting=False)


class TestLedger:

    # What planning reserved for tasks that were then not placed stayed in part.
    @pytest.mark.parametrize("seed", range(30))
    def test_a_plan_that_is_taken_back_leaves_nothing(self, seed: int) -> None:
        rng = random.Random(seed)
        record = fakes.FakeWorker("w1").record
        client = fakes.OtherWorker(fakes.Verdict.UNSENT)
        worker = worker_state.Worker(record, client, 0.0)
        worker.start_budget = 8000.0
        if rng.random() < 0.8:
            worker.breaker.record_refusal(0.0)
        kept: list[run_state.Run] = []
        now = 2.0
        for number in range(200):
            now += rng.choice((0.0, 0.0, 0.5, 2.5))
            before = _ledger(worker, now)
            step = _draw_step(rng)
            planned = [
                _reserve(worker, step, number, index, now)
                for index in range(rng.randint(1, 4))
                if worker.breaker.allows(now, number)
            ]
            if planned and rng.random() < 0.3:
                kept += planned
            else:
                for run in planned:
                    worker.take_back(run)
                assert _ledger(worker, now) == before
            if kept and rng.random() < 0.3:
                worker.remove(kept.pop(rng.randrange(len(kept))))


def _draw_step(rng: random.Random) -> demands.StepDemand:
    return demands.StepDemand(
        4,
        cpu=rng.randint(1, 900),
        memory_mb=rng.randint(1, 900),
        gpu=rng.randint(0, 1),
        lasting=rng.random() < 0.5,
        target_ms=rng.choice((0, 100)),
        fills=rng.random() < 0.3,
        image=rng.choice("ab"),
    )


def _reserve(
    worker: worker_state.Worker,
    step: demands.StepDemand,
    group: int,
    index: int,
    now: float,
) -> run_state.Run:
    task = changes.TaskName(f"job{group}", 0, 0, index)
    run = run_state.Run(task, 1, step, "q")
    run.suspected = index == 3
    worker.add(run)
    worker.breaker.record_start(now, (task, 1), group)
    return run


def _ledger(worker: worker_state.Worker, now: float) -> dict[str, object]:
    """Return everything that placement goes by."""
    state = {
        name: value
        for name, value in vars(worker).items()
        if name not in ("changed", "breaker", "client", "lease")
    }
    copied = {
        name: value.copy() if isinstance(value, (dict, list)) else value
        for name, value in state.items()
    }
    return copied | {"allows": worker.breaker.allows(now)}
