"""Tests of the totals that a worker keeps of its runs."""

import collections
import random

import pytest

from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands


class TestRunsByJob:

    @pytest.mark.parametrize("seed", range(5))
    def test_match_the_runs(self, seed: int) -> None:
        """Guards against a run that is not stopped when its job ends."""
        drawn = random.Random(seed)
        fake = fakes.FakeWorker("w", 8000)
        worker = worker_state.Worker(fake.record, fake, 0.0)
        step = demands.StepDemand(9, cpu=100)
        for _ in range(200):
            job, number = drawn.choice("abc"), drawn.randrange(3)
            task = changes.TaskName(job, 0, 0, number)
            run = worker.runs.get(task)
            if run is None:
                worker.add(run_state.Run(task, 1, step, "q"))
            else:
                worker.remove(run)
                worker.remove(run)
            counts = collections.Counter(task.job for task in worker.runs)
            assert worker.runs_by_job == counts
