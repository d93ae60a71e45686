"""Tests of learned run times."""

from turmerichall.dispatch import durations


class TestManyKinds:
    """Learned run times grew with each queue that there ever was."""

    def test_the_oldest_kind_is_forgotten(self) -> None:
        estimator = durations.DurationEstimator()
        for number in range(durations.MAX_KINDS + 1):
            for _ in range(durations.MIN_RUNS):
                estimator.record((f"queue-{number}", ""), 1.0)
        assert estimator.estimate(("queue-0", ""), 3.0) == 3.0
        assert estimator.estimate(("queue-1", ""), 3.0) == 2.0
