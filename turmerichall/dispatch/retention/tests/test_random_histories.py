"""Random histories of callers, checked against a model that forgets nothing."""

import random

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

KEPT_SECONDS = 120.0
STEPS = 60
TERMS = 3
# Time between two questions about each job.
ASK_SECONDS = 1.0
SEEDS = range(4)
ENDED = ("completed", "failed", "canceled")


class _Model:
    """What callers know of their jobs.

    Attributes:
        accepted: Ids of the jobs that were accepted and are not known to have
            left.
        ended_at: When a job was first seen ended, trio time, by id.
        lives: How often each id was accepted as a new job.
    """

    def __init__(self) -> None:
        self.accepted: set[str] = set()
        self.ended_at: dict[str, float] = {}
        self.lives: dict[str, int] = {}

    def check(self, job: str, state: str) -> None:
        """Check an answer about a job; empty if the job is unknown."""
        now = trio.current_time()
        if state:
            assert job in self.accepted, (job, state)
            before = self.ended_at.get(job)
            assert before is None or state in ENDED, (job, state)
            if state in ENDED:
                self.ended_at.setdefault(job, now)
        elif job in self.accepted:
            # It has left: not before its time.
            assert job in self.ended_at, job
            kept_seconds = now - self.ended_at[job]
            assert kept_seconds >= KEPT_SECONDS - ASK_SECONDS, job
            self.accepted.discard(job)
            del self.ended_at[job]

    def submitted(self, job: str) -> None:
        """Record that a submission was accepted."""
        if job not in self.accepted:
            self.accepted.add(job)
            self.lives[job] = self.lives.get(job, 0) + 1


class _Callers:
    """Callers that submit, cancel and ask at random."""

    def __init__(self, cluster: fakes.FakeCluster, seed: int):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.model = _Model()
        self.jobs = [f"{number:016x}" for number in range(12)]

    def _ask_for_all(self) -> None:
        for job in self.jobs:
            state = self.cluster.leader_api.job_state(job)
            if isinstance(state, outcomes.Refusal):
                self.model.check(job, "")
            else:
                self.model.check(job, state.value)

    async def wait(self, seconds: float) -> None:
        """Ask for each job regularly for a time."""
        until = trio.current_time() + seconds
        self._ask_for_all()
        while trio.current_time() < until:
            await trio.sleep(ASK_SECONDS / 2)
            self._ask_for_all()

    async def act(self) -> None:
        """Submit or cancel a job, perhaps, and wait."""
        api = self.cluster.leader_api
        job = self.rng.choice(self.jobs)
        self._ask_for_all()
        action = self.rng.random()
        if action < 0.4:
            demand = test_leadership.demand(self.rng.randint(1, 3))
            if await api.submit(fakes.QUEUE, job, demand) is None:
                self.model.submitted(job)
        elif action < 0.5:
            await api.cancel(job)
        await self.wait(self.rng.choice((0.0, 0.3, 2.0, 20.0)))


class TestRandomHistories:
    """A job that left too early ran again, or was unknown to its caller."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_job_is_forgotten_before_its_time(
        self, mocked_clocks: trio.testing.MockClock, seed: int
    ) -> None:
        workers = [fakes.FakeWorker(f"w{number}") for number in range(2)]
        cluster = fakes.FakeCluster(
            *workers, retention=retentions.Options(KEPT_SECONDS)
        )
        callers = _Callers(cluster, seed)

        async def script() -> None:
            for _ in range(STEPS // TERMS):
                await callers.act()

        async def rest() -> None:
            await callers.wait(2 * KEPT_SECONDS + 90.0)
            assert not cluster.queue_state.jobs
            assert not cluster.queue_state.jobs_bytes

        for _ in range(TERMS):
            await test_leadership.run_script(cluster, script)
            cluster.replica.term += 1
        await test_leadership.run_script(cluster, rest)
        assert not cluster.overlaps()
        assert callers.model.lives and not callers.model.accepted
