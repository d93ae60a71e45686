"""Tests of admission control, with simulated bursts of jobs."""

import random

import pytest

from turmerichall import outcomes
from turmerichall.dispatch import admission

CORES = 100.0
OBJECTIVE_SECONDS = 6.0
CRITICAL_PATH_SECONDS = 2.0


def burst(seed: int, load: float, seconds: float = 40.0) -> list[float]:
    """Return random arrival times of jobs of 40 core-seconds.

    Args:
        seed: Seed of the random numbers.
        load: Load as a share of the capacity.
        seconds: Length of the burst.
    """
    rng = random.Random(seed)
    times = []
    at = 0.0
    while at < seconds:
        at += rng.expovariate(load * CORES / 40.0)
        times.append(at)
    return times


def simulate(
    arrivals: list[float], with_admission: bool
) -> tuple[int, int, int]:
    """Simulate jobs that are served in order at a fixed rate.

    Args:
        arrivals: Arrival times.
        with_admission: Whether admission control may refuse jobs.

    Returns:
        Number of jobs that finished while they had value, of jobs that finished
        later, and of refused jobs.
    """
    free_at = 0.0
    useful = late = refused = 0
    for number, at in enumerate(arrivals):
        ahead = max(0.0, free_at - at) * CORES
        estimate = admission.JobEstimate(
            str(number),
            False,
            "",
            OBJECTIVE_SECONDS,
            CRITICAL_PATH_SECONDS,
            ahead,
            CORES,
        )
        if with_admission and admission.admit(estimate) is not None:
            refused += 1
            continue
        free_at = max(free_at, at) + 40.0 / CORES
        if free_at + CRITICAL_PATH_SECONDS - at <= 3 * OBJECTIVE_SECONDS:
            useful += 1
        else:
            late += 1
    return useful, late, refused


class TestBursts:

    @pytest.mark.parametrize("seed", range(5))
    def test_no_job_is_refused_below_capacity(self, seed: int) -> None:
        _, _, refused = simulate(burst(seed, 0.8), True)
        assert refused == 0

    @pytest.mark.parametrize("seed", range(5))
    def test_above_capacity_refusals_cost_no_useful_job(
        self, seed: int
    ) -> None:
        arrivals = burst(seed, 2.5, 60.0)
        useful_without, late_without, _ = simulate(arrivals, False)
        useful, _, refused = simulate(arrivals, True)
        assert late_without > 20
        assert refused > 0
        assert useful >= useful_without


class TestRetries:

    def test_retries_are_spread_and_never_too_early(self) -> None:
        estimate = admission.JobEstimate("", False, "", 6.0, 2.0, 3000.0, 100.0)
        retry_seconds = set()
        for number in range(50):
            refusal = admission.admit(estimate._replace(job=str(number)))
            assert refusal is not None
            assert refusal.retry_after_seconds is not None
            retry_seconds.add(refusal.retry_after_seconds)
        assert min(retry_seconds) >= 3000.0 / 100.0 - (18.0 - 2.0)
        assert len(retry_seconds) > 3


class TestOtherRefusals:

    def test_an_unschedulable_job_is_refused_without_a_retry_time(self) -> None:
        estimate = admission.JobEstimate(
            "a", False, "too large", 6.0, 2.0, 0.0, 100.0
        )
        refusal = admission.admit(estimate)
        assert refusal is not None
        assert refusal.reason == outcomes.RefusalReason.NEVER_FITS
        assert refusal.retry_after_seconds is None

    def test_long_running_jobs_are_not_refused_for_load(self) -> None:
        estimate = admission.JobEstimate("a", True, "", 6.0, 2.0, 9e9, 1.0)
        assert admission.admit(estimate) is None
