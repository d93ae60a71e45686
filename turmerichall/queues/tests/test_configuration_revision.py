"""Tests of changes that hold only what differs between configurations."""

import random

import msgspec
import pytest

from turmerichall.platform import configuration_document
from turmerichall.queues import change as changes
from turmerichall.queues import configuration_edits
from turmerichall.queues import configuration_revision
from turmerichall.queues import state as states

Described = configuration_edits.Described
Rows = list[dict[str, object]]


def _rows(numbers: range) -> Rows:
    return [
        {
            "name": f"r{number}",
            "host": f"c{number % 7}.example",
            "path_prefix": f"/{number}/",
            "service": "desk",
            "advice": {"decision_ms": number} if number % 5 == 0 else {},
        }
        for number in numbers
    ]


def _describe(version: int, rows: Rows, indent: int = 0) -> Described:
    document = msgspec.json.encode(
        {
            "version": version,
            "routes": rows,
            "services": [{"name": "desk"}],
            "limits": {"max_body_bytes": 1000 + version},
        }
    )
    if indent:
        document = msgspec.json.format(document, indent=indent)
    decoded = configuration_document.decode(document)
    assert not decoded.errors
    return Described(decoded.configuration, document)


def _apply(
    queue_state: states.QueueState, change: changes.Change
) -> states.QueueState:
    """Apply a change as it comes out of the log."""
    queue_state.apply(1, changes.encode(change))
    return queue_state


def _state_with(described: Described) -> states.QueueState:
    return _apply(states.QueueState(), changes.SetConfiguration(*described))


class TestDifference:
    """A route added to 16,000 sent 4 MB to each replica."""

    @pytest.mark.parametrize("indent", [0, 2])
    def test_one_route_costs_one_route(self, indent: int) -> None:
        base = _describe(1, _rows(range(2700)), indent)
        new = _describe(2, _rows(range(2701)), indent)
        change = configuration_revision.make(base, new)
        assert len(changes.encode(change)) < 1000
        assert _apply(_state_with(base), change).document == new.document

    # Each replica has to come to the same state as by a whole configuration,
    # and the operator reads back exactly what was sent.
    @pytest.mark.parametrize("seed", range(40))
    def test_random_edits_lead_to_the_same_state(self, seed: int) -> None:
        rng = random.Random(seed)
        rows = _rows(range(rng.randrange(60)))
        base = _describe(1, rows)
        spare = _rows(range(1000, 1100))
        for _ in range(rng.randrange(6)):
            place = rng.randrange(len(rows) + 1)
            kind = rng.choice(("add", "remove", "change", "move"))
            if kind == "add":
                rows.insert(place, spare.pop())
            elif place < len(rows):
                row = rows.pop(place)
                if kind == "change":
                    rows.insert(place, {**row, "priority": rng.randrange(9)})
                elif kind == "move":
                    rows.insert(rng.randrange(len(rows) + 1), row)
        new = _describe(2, rows, rng.choice((0, 0, 2)))
        change = configuration_revision.make(base, new)
        revised = _apply(_state_with(base), change)
        expected = _apply(_state_with(base), changes.SetConfiguration(*new))
        assert revised.document == new.document
        assert revised.snapshot() == expected.snapshot()

    def test_other_configuration_is_sent_whole(self) -> None:
        base = _describe(1, _rows(range(50)))
        new = _describe(2, _rows(range(100, 150)))
        change = configuration_revision.make(base, new)
        assert change == changes.SetConfiguration(*new)


class TestAnotherBase:

    # Its edits would have been applied to other routes.
    @pytest.mark.parametrize("version", [1, 3])
    def test_has_no_effect(self, version: int) -> None:
        base, new = (
            _describe(2, _rows(range(20))),
            _describe(4, _rows(range(21))),
        )
        change = configuration_revision.make(base, new)
        assert isinstance(change, configuration_edits.ReviseConfiguration)
        other = _state_with(_describe(version, _rows(range(30, 50))))
        before = other.snapshot()
        assert _apply(other, change).snapshot() == before

    def test_twice_has_no_further_effect(self) -> None:
        base, new = (
            _describe(2, _rows(range(20))),
            _describe(4, _rows(range(21))),
        )
        change = configuration_revision.make(base, new)
        queue_state = _apply(_apply(_state_with(base), change), change)
        assert queue_state.document == new.document
