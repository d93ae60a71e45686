"""Replays of the loads that fair admission addresses."""

import random

import pytest

from turmerichall.dispatch.admission_control.tests import replay

# Processors of the simulated workers, in cores.
CORES = 320.0


def stream(seed: int, *phases: tuple[float, float]) -> list[replay.Arrival]:
    """Return random arrivals of batch jobs.

    Args:
        seed: Seed of the random numbers.
        *phases: Length in seconds and load as a share of the processors.
    """
    rng = random.Random(seed)
    demand = replay.chain(replay.BATCH_STEP)
    work = sum(s.count * s.cpu * s.estimate_ms for s in demand.steps) / 1e6
    arrivals: list[replay.Arrival] = []
    begins_at = 0.0
    for seconds, load in phases:
        at = begins_at + rng.expovariate(load * CORES / work)
        while at < begins_at + seconds:
            job = f"job-{len(arrivals)}"
            arrivals.append(replay.Arrival(at, job, replay.BATCH, demand))
            at += rng.expovariate(load * CORES / work)
        begins_at += seconds
    return arrivals


class TestBatchBurst:

    @pytest.mark.parametrize("seed", range(3))
    def test_a_lasting_burst_does_not_make_all_jobs_late(
        self, seed: int
    ) -> None:
        # Guards against a line in which every job gets a share and all become
        # late together; fails with the control by the backlog.
        arrivals = stream(seed, (10.0, 0.7), (20.0, 1.6), (20.0, 0.6))
        values = [
            replay.total(
                replay.Replay(admission).run(arrivals, 80.0), lambda _: True
            )
            for admission in ("backlog", "fair")
        ]
        assert values[1] > values[0] + 0.05

    @pytest.mark.parametrize("seed", range(3))
    def test_nothing_is_refused_below_capacity(self, seed: int) -> None:
        fates = replay.Replay("fair").run(stream(seed, (40.0, 0.8)), 60.0)
        assert not any(fate.refused_at for fate in fates.values())
