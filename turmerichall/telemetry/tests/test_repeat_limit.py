"""Tests of the limit on messages that repeat."""

from turmerichall.telemetry import repeat_limit


class TestRepeatLimit:

    def test_one_message_per_interval_counts_the_rest(self) -> None:
        limit = repeat_limit.RepeatLimit(5.0)
        counts = {now: limit.count(now) for now in range(0, 13)}
        assert {now: n for now, n in counts.items() if n} == {0: 1, 5: 5, 10: 5}
        assert limit.next_at == 15.0

    def test_old_occurrences_are_forgotten(self) -> None:
        limit = repeat_limit.RepeatLimit(5.0)
        assert [limit.count(now) for now in (0.0, 1.0, 2.0)] == [1, 0, 0]
        assert limit.count(3600.0) == 1
