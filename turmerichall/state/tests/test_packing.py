"""Tests of the compact encoding of starts and ends in the log."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from turmerichall import errors
from turmerichall.state import change as changes

TASK_IDS = strategies.one_of(
    strategies.sampled_from(
        ["", "/", "j/0", "j/00", "j/-1", "j/²", "svc:c/s/z/0", f"j/{10**18}"]
    ),
    strategies.tuples(strategies.text(), strategies.integers()).map(
        lambda drawn: f"{drawn[0]}/{drawn[1]}"
    ),
)
NUMBERS = strategies.integers(0, 2**63)
STARTS = strategies.builds(
    changes.Start, TASK_IDS, NUMBERS, strategies.text(), NUMBERS
)
ENDS = strategies.builds(
    changes.End,
    TASK_IDS,
    NUMBERS,
    strategies.sampled_from(changes.Ending),
    strategies.text(),
)


class TestLog:

    @settings(derandomize=True, deadline=None)
    @given(strategies.lists(STARTS), strategies.lists(ENDS))
    def test_batch_is_decoded_as_it_was_encoded(
        self, starts: list[changes.Start], ends: list[changes.End]
    ) -> None:
        for change in (
            changes.StartTasks("z1", 3, 1.5, starts),
            changes.EndTasks("z1", 0, 1.5, ends),
        ):
            assert changes.decode(changes.encode(change)) == change

    @pytest.mark.parametrize("kind", [9, 10])
    def test_records_of_an_earlier_version_are_decoded(self, kind: int) -> None:
        start = changes.Start("job-1/0", 1, "worker-1", 10**12, "has room")
        end = changes.End("job-1/0", 1, changes.Ending.LOST, "half", "gone")
        change = (
            changes.StartTasks("z1", 1, 1.5, [start] * 16)
            if kind == 9
            else changes.EndTasks("z1", 1, 1.5, [end] * 16)
        )
        old = msgspec.msgpack.encode((kind, change))
        assert changes.decode(old) == change
        assert len(changes.encode(change)) < len(old) / 5

    @pytest.mark.parametrize("attempts", [[9], [-1], [1], [2, 2, 2], []])
    def test_malformed_batch_raises_an_error(self, attempts: list[int]) -> None:
        columns = [[0], attempts, [1], [2], [1]]
        body = ("z1", 1, 1.5, ["j", "w", 2], [1, 2], columns)
        with pytest.raises(errors.CorruptLogError):
            changes.decode(msgspec.msgpack.encode((16, body)))
