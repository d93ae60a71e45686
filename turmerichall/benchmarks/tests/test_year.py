"""Tests of the state over days of service."""

from turmerichall.benchmarks import year
from turmerichall.dispatch.retention import retention as retentions


class TestWeek:
    """The state grew with each job, worker and route that there ever was."""

    def test_the_state_levels_off_within_a_day(self) -> None:
        played = year.play(7, (1, 7))
        first, last = played[0], played[1]
        assert last.jobs <= 1.1 * first.jobs
        assert last.removed_workers <= first.removed_workers + 3
        assert last.queues <= 1.1 * first.queues
        assert last.snapshot_bytes <= 1.1 * first.snapshot_bytes
        assert last.jobs_bytes <= 1.1 * first.jobs_bytes

    def test_the_state_grows_without_the_removal(self) -> None:
        options = retentions.Options(may_forget=lambda: False)
        played = year.play(2, (1, 2), options=options)
        first, last = played[0], played[1]
        assert last.jobs_bytes > 1.9 * first.jobs_bytes
