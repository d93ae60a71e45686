"""Tests of the decision which life of a worker has sent a heartbeat."""

import pytest

from turmerichall.dispatch.departures import identity
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes

Sender = identity.Sender


def _record(name: str, born_ms: int) -> changes.WorkerRecord:
    record = fakes.FakeWorker(name).record
    if not born_ms:
        return record
    return record._replace(
        id=changes.incarnation_id(name, born_ms),
        kept_name=name,
        born_ms=born_ms,
    )


class TestIdentify:

    # The field missing counted as another life, whose runs had ended.
    @pytest.mark.parametrize(
        "record, known, sender",
        [
            (_record("a", 3), _record("a", 3), Sender.KNOWN),
            (_record("a", 0), _record("a", 0), Sender.KNOWN),
            (_record("a", 5), _record("a", 3), Sender.OTHER),
            (_record("a", 3), _record("a", 5), Sender.OTHER),
            (_record("a", 0), _record("a", 3), Sender.UNNAMED),
            (_record("a", 3), _record("a", 0), Sender.UNCERTAIN),
            (_record("b", 0), _record("a", 3), Sender.OTHER),
            (_record("b", 3), _record("a", 0), Sender.OTHER),
        ],
    )
    def test_only_a_start_time_tells_lives_apart(
        self,
        record: changes.WorkerRecord,
        known: changes.WorkerRecord,
        sender: Sender,
    ) -> None:
        assert identity.identify(record, known) == sender


class TestMayHaveSent:

    # Tasks ran twice: a life that told its start time late was replaced.
    @pytest.mark.parametrize(
        "born_ms, known_ms, runs, expected",
        [
            (3, 3, 0, True),
            (5, 3, 2, False),
            (0, 3, 0, True),
            (3, 0, 2, True),
            (3, 0, 0, False),
        ],
    )
    def test_a_life_is_replaced_only_by_another(
        self, born_ms: int, known_ms: int, runs: int, expected: bool
    ) -> None:
        found = identity.may_have_sent(
            _record("a", born_ms), _record("a", known_ms), runs
        )
        assert found == expected
