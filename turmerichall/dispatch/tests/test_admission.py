"""Replays of bursts against the decision at the door."""

import random

import pytest

from turmerichall import outcomes
from turmerichall.dispatch import admission

CORES = 100.0
OBJECTIVE = 6.0
CHAIN = 2.0


def burst(seed: int, load: float, seconds: float = 40.0) -> list[float]:
    """Returns arrival times of jobs of 40 core-seconds at a share of load."""
    rng = random.Random(seed)
    times = []
    at = 0.0
    while at < seconds:
        at += rng.expovariate(load * CORES / 40.0)
        times.append(at)
    return times


def replay(arrivals: list[float], doors: bool) -> tuple[int, int, int]:
    """Serves jobs in order at a fixed rate.

    Returns:
        Jobs that finished while worth something, jobs that did not, and jobs
        refused.
    """
    free_at = 0.0
    worth = worthless = refused = 0
    for number, at in enumerate(arrivals):
        ahead = max(0.0, free_at - at) * CORES
        estimate = admission.JobEstimate(
            str(number), False, "", OBJECTIVE, CHAIN, ahead, CORES
        )
        if doors and admission.admit(estimate) is not None:
            refused += 1
            continue
        free_at = max(free_at, at) + 40.0 / CORES
        if free_at + CHAIN - at <= 3 * OBJECTIVE:
            worth += 1
        else:
            worthless += 1
    return worth, worthless, refused


class TestBursts:

    @pytest.mark.parametrize("seed", range(5))
    def test_nothing_is_refused_below_capacity(self, seed: int) -> None:
        _, _, refused = replay(burst(seed, 0.8), True)
        assert refused == 0

    @pytest.mark.parametrize("seed", range(5))
    def test_above_capacity_more_jobs_are_worth_something(
        self, seed: int
    ) -> None:
        arrivals = burst(seed, 2.5, 60.0)
        without, lost, _ = replay(arrivals, False)
        worth, _, refused = replay(arrivals, True)
        assert lost > 20
        assert refused > 0
        assert worth >= without


class TestReturns:

    def test_are_spread_and_never_before_they_make_sense(self) -> None:
        estimate = admission.JobEstimate("", False, "", 6.0, 2.0, 3000.0, 100.0)
        told = set()
        for number in range(50):
            refusal = admission.admit(estimate._replace(job=str(number)))
            assert refusal is not None
            assert refusal.retry_after_seconds is not None
            told.add(refusal.retry_after_seconds)
        assert min(told) >= 3000.0 / 100.0 - (18.0 - 2.0)
        assert len(told) > 3


class TestHopeless:

    def test_a_job_that_fits_nowhere_is_refused_at_once(self) -> None:
        estimate = admission.JobEstimate(
            "a", False, "too large", 6.0, 2.0, 0.0, 100.0
        )
        refusal = admission.admit(estimate)
        assert refusal is not None
        assert refusal.reason == outcomes.RefusalReason.NEVER_FITS
        assert refusal.retry_after_seconds is None

    def test_lasting_jobs_are_not_refused_for_load(self) -> None:
        estimate = admission.JobEstimate("a", True, "", 6.0, 2.0, 9e9, 1.0)
        assert admission.admit(estimate) is None
