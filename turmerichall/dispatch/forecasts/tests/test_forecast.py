"""Tests of the forecasts of run times."""

import random

import pytest

from turmerichall.dispatch import durations
from turmerichall.dispatch import run_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.forecasts import ratios
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.telemetry import lightweight_metrics

KIND = ("q", "sort")


def make_run(
    job: str = "a", declared: float = 2.0, number: int = 1
) -> run_state.Run:
    """Return a run that has been at work since time 100."""
    step = demands.StepDemand(
        20, estimate_ms=round(declared * 1000), image="sort", checkpoints=True
    )
    run = run_state.Run(changes.TaskName(job, 0, 0, 0), number, step, "q")
    run.confirmed_at = 100.0
    return run


def make_forecaster() -> forecast.Forecaster:
    return forecast.Forecaster(
        durations.DurationEstimator(), lightweight_metrics.MetricsRegistry()
    )


class TestExpected:

    # A mean of absolute times forecast the same for small and large jobs.
    def test_jobs_of_other_sizes_share_what_was_learned(self) -> None:
        forecaster = make_forecaster()
        for _ in range(ratios.MIN_RUNS):
            assert forecaster.expected(KIND, 10.0) == (10.0, 10.0)
            forecaster.record(make_run(declared=2.0), 3.0)
        assert forecaster.expected(KIND, 10.0) == (15.0, 15.0)

    # A mean rises by 18 % with 3 % of runs of seven times the length.
    def test_few_long_runs_do_not_count_for_the_others(self) -> None:
        forecaster = make_forecaster()
        draw = random.Random(1)
        above = 0
        for number in range(1000):
            seconds = 2.0 * draw.uniform(0.8, 1.2)
            seconds *= 7 if draw.random() < 0.03 else 1
            if number >= 100:
                expected = forecaster.expected(KIND, 2.0)
                assert expected.typical_seconds == pytest.approx(2.0, rel=0.1)
                above += seconds > expected.high_seconds
            forecaster.record(make_run(f"j{number}"), seconds)
        assert 0.05 <= above / 900 <= 0.15

    # One caller declares a tenth of what the others of its kind do.
    def test_runs_of_a_step_tell_of_its_other_runs(self) -> None:
        forecaster = make_forecaster()
        for number in range(20):
            forecaster.record(make_run(f"j{number}"), 2.0)
        for _ in range(4):
            forecaster.record(make_run("wrong"), 5.0)
        wrong = forecaster.expected_of_step(("wrong", 0, 0), KIND, 2.0)
        other = forecaster.expected_of_step(("other", 0, 0), KIND, 2.0)
        assert wrong.typical_seconds == pytest.approx(4.0)
        assert other.typical_seconds == 2.0

    # The last run after a move, or a change of the leader, is only a part.
    @pytest.mark.parametrize("number, adopted", [(2, False), (1, True)])
    def test_parts_of_runs_are_not_learned(
        self, number: int, adopted: bool
    ) -> None:
        forecaster = make_forecaster()
        for _ in range(20):
            run = make_run(number=number)
            run.adopted = adopted
            forecaster.record(run, 0.1)
        assert forecaster.expected(KIND, 2.0) == (2.0, 2.0)


class TestRemaining:

    # A run that is seven times as long was taken for one that is about to end.
    def test_run_that_outlives_its_forecast_is_corrected(self) -> None:
        forecaster = make_forecaster()
        run = make_run()
        rests = [
            forecaster.remaining(run, 100.0 + age).typical_seconds
            for age in (0.0, 1.0, 4.0, 8.0)
        ]
        assert rests == [2.0, 1.0, 2.0, 4.0]

    def test_progress_counts_more_the_further_it_is(self) -> None:
        run = make_run()
        run.record_progress(0, 100.1)
        run.record_progress(50, 103.0)
        # 3.0 s by its rate, 1.0 s by its age.
        rest = make_forecaster().remaining(run, 103.0).typical_seconds
        assert rest == pytest.approx(2.0)

    def test_throttled_run_is_not_judged_by_its_age(self) -> None:
        run = make_run()
        run.pace_percent = 25
        run.record_progress(4, 101.5)
        rest = make_forecaster().remaining(run, 101.5).typical_seconds
        assert rest == pytest.approx(2.0 * 96 / 25)


class TestBounds:

    # Kinds come and go with callers' images, and steps with their jobs.
    def test_memory_is_bounded(self) -> None:
        forecaster = make_forecaster()
        for number in range(ratios.MAX_STEPS + 10):
            run = make_run(f"j{number}")
            run.queue = f"q{number}"
            forecaster.record(run, 2.0)
        assert len(forecaster.kind_ratios) == ratios.MAX_KINDS
        assert len(forecaster.step_ratios) == ratios.MAX_STEPS
        late = make_run("late")
        late.confirmed_at += ratios.KEPT_SECONDS + 1.0
        forecaster.record(late, 2.0)
        assert len(forecaster.kind_ratios) == 1

    def test_error_is_exposed(self) -> None:
        forecaster = make_forecaster()
        forecaster.record(make_run(), 3.0)
        assert forecaster.metrics_registry is not None
        text = forecaster.metrics_registry.exposition()
        name = b"turmerichall_run_forecast_error_ratio"
        assert name + b'_bucket{le="1.2"} 0.0' in text
        assert name + b'_bucket{le="1.5"} 1.0' in text
