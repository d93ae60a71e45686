"""Tests of which jobs are shown as begun."""

import random
from typing import Any, cast

import pytest
import trio
import trio.testing

from turmerichall.dispatch.job_requests import begun_jobs
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import forgetting
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
WORKERS = ("w1", "w2")
QUEUED = job_records.JobState.QUEUED
BEGUN_ENDINGS = [
    ending for ending in changes.Ending if ending != changes.Ending.UNSTARTED
]


class TestRefusedStarts:
    """All starts of a job are refused, or not answered."""

    # The job was neither pending nor queued, though nothing of it had begun.
    @pytest.mark.parametrize("answers", [True, False])
    async def test_job_is_pending(
        self, mocked_clocks: trio.testing.MockClock, answers: bool
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        leader_api = cluster.leader_api

        async def script() -> None:
            await trio.sleep(1.0)
            if answers:
                worker.verdicts = [fakes.Verdict.UNWELL] * 50
            else:
                worker.verdicts = [fakes.Verdict.UNANSWERED] * 50
            await test_leadership.submit(cluster, test_leadership.demand(2))
            for _ in range(100):
                await trio.sleep(0.1)
                assert leader_api.pending(fakes.QUEUE) == 1
                assert leader_api.job_state(JOB) == QUEUED
            worker.verdicts.clear()
            await cluster.wait_until(lambda: bool(worker.runs))
            await cluster.wait_until(
                lambda: leader_api.pending(fakes.QUEUE) == 0, 0.5
            )

        await test_leadership.run_script(cluster, script)


class TestManyCounts:

    # Each count looked at all runs of all workers, up to 28 times a second on
    # 246 workers.
    async def test_one_look_serves_the_counts_of_half_a_second(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        leader_api = cluster.leader_api
        looks = 0
        counted: list[int] = []

        class Runs(dict[Any, Any]):
            """Runs that count how often they are looked at."""

            def values(self) -> Any:
                nonlocal looks
                looks += 1
                return super().values()

        async def script() -> None:
            await trio.sleep(1.0)
            worker.verdicts = [fakes.Verdict.UNWELL] * 50
            await test_leadership.submit(cluster, test_leadership.demand(2))
            leadership = leader_api.leadership
            assert leadership is not None
            for each in leadership.workers.values():
                each.runs = cast(Any, Runs(each.runs))
            await trio.sleep(1.0)
            before = looks
            for _ in range(500):
                counted.append(leader_api.pending(fakes.QUEUE))
            assert looks - before <= len(leadership.workers)

        await test_leadership.run_script(cluster, script)
        assert counted == [1] * 500

    async def test_a_job_that_has_begun_is_not_pending_half_a_second_later(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        leader_api = cluster.leader_api

        async def script() -> None:
            await trio.sleep(1.0)
            assert leader_api.pending(fakes.QUEUE) == 0
            await test_leadership.submit(cluster, test_leadership.demand(2))
            await cluster.wait_until(lambda: bool(worker.runs))
            await cluster.wait_until(
                lambda: leader_api.pending(fakes.QUEUE) == 0,
                begun_jobs.MAX_AGE_SECONDS + 0.1,
            )

        await test_leadership.run_script(cluster, script)


class _Model:
    """Plain model of which jobs have begun.

    Attributes:
        begun: Jobs of which something may have begun.
        runs: Current runs with their worker.
    """

    def __init__(self) -> None:
        self.begun: set[str] = set()
        self.runs: dict[tuple[changes.TaskName, int], str] = {}

    def lose(self, worker: str) -> None:
        """Remove a worker; its runs may have begun."""
        for (task, number), name in list(self.runs.items()):
            if name == worker:
                self.begun.add(task.job)
                del self.runs[task, number]

    def waits(self, job: str) -> bool:
        """Return whether nothing of a job is ordered or has begun."""
        ordered = any(task.job == job for task, _ in self.runs)
        return job not in self.begun and not ordered


class TestHistories:

    # A start that came to nothing has to put its job back, also after the
    # state was loaded from a snapshot.
    @pytest.mark.parametrize("seed", range(60))
    def test_jobs_that_wait_are_those_of_the_model(self, seed: int) -> None:
        rng = random.Random(seed)
        state, model = states.QueueState(), _Model()
        jobs = [f"j{number}" for number in range(4)]
        demand = demands.JobDemand("x", (demands.StepDemand(3, lasting=True),))
        _apply(state, changes.SetConfiguration(fakes.CONFIGURATION, b""))
        for job in jobs:
            _apply(state, changes.AcceptJob(job, fakes.QUEUE.key, demand, 0))
        for number in range(1, 150):
            _register(state)
            task = changes.TaskName(rng.choice(jobs), 0, 0, rng.randrange(3))
            worker = rng.choice(WORKERS)
            current = [each for each in model.runs if each[0] == task]
            if not current:
                row = changes.StartedRun(task, number, worker)
                _apply(state, changes.StartRuns((row,)))
                model.runs[task, number] = worker
            elif rng.random() < 0.8:
                ending = changes.Ending.UNSTARTED
                if rng.random() < 0.1:
                    ending = rng.choice(BEGUN_ENDINGS)
                    model.begun.add(task.job)
                ended = changes.EndedRun(task, current[0][1], ending, "")
                _apply(state, changes.EndRuns((ended,)))
                del model.runs[current[0]]
            elif rng.random() < 0.1:
                _apply(state, changes.LoseWorker(worker))
                _apply(state, forgetting.Forget(gone=(worker,)))
                model.lose(worker)
            if rng.random() < 0.1:
                restored = states.QueueState()
                restored.restore(state.snapshot())
                state = restored
            waiting = {job for job in jobs if model.waits(job)}
            assert state.waiting.get(fakes.QUEUE.key, set()) == waiting
            shown = {job for job in jobs if state.jobs[job].state == QUEUED}
            assert shown == waiting


def _apply(state: states.QueueState, change: changes.Change) -> None:
    state.apply(1, changes.encode(change))


def _register(state: states.QueueState) -> None:
    for name in WORKERS:
        if name not in state.workers:
            record = fakes.FakeWorker(name).record
            _apply(state, changes.RegisterWorker(record))
