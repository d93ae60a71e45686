"""Fuzz tests: no input makes the interface fail or apply half of a change."""

import copy
from typing import Any

import hypothesis
from hypothesis import strategies
import msgspec
import trio

from turmerichall.operators.tests import in_process
from turmerichall.state import machine as machines

_SIZE = {"processors": 1.5, "memory_mb": 100, "accelerators": 0}
_TASK = {"task_id": "j1/0", "attempt": 1, "state": "running", "usage": _SIZE}
_VALID_DOCUMENTS: dict[tuple[str, str], Any] = {
    ("PUT", "/v1/templates/r"): {
        "base_version": 0,
        "body": {"name": "r", "kind": "batch", "size": _SIZE},
    },
    ("PUT", "/v1/customers/c"): {
        "base_version": 0,
        "body": {
            "name": "c",
            "team": "t",
            "urgency": "normal",
            "zones": ["z1"],
            "services": {"s": 1},
        },
    },
    ("PUT", "/v1/quotas/t"): {
        "base_version": 0,
        "body": {"team": "t", "limit": _SIZE},
    },
    ("POST", "/v1/jobs"): {
        "customer": "c",
        "template": "r",
        "tasks": 2,
        "deadline_wall_seconds": 9.0,
    },
    ("POST", "/v1/backend-servers/w1/drain"): {"base_version": 0},
    ("POST", "/v1/zones/z1/evacuate"): {"base_version": 0},
    ("POST", "/v1/instances"): {"name": "i4", "address": "127.0.0.1:5"},
    ("POST", "/v1/workers/announce"): {
        "name": "w1",
        "incarnation": 1,
        "sequence": 1,
        "zone": "z1",
        "rack": "r1",
        "address": "127.0.0.1:9",
        "capacity": _SIZE,
        "tasks": [_TASK],
    },
    ("POST", "/v1/workers/update"): {
        "name": "w1",
        "sequence": 2,
        "base": 1,
        "digest": "0123456789abcdef",
        "tasks": [_TASK],
        "gone": ["j1/1#1"],
        "measured_seconds_ago": 1.5,
    },
}
_EDGE_NUMBERS = strategies.sampled_from(
    [-1, 0, 2**53, 2**64, -(2**70), 1e308, 0.5]
)
_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=20),
    strategies.sampled_from(["", "a/b", "é", "\u0000", "-1", "x" * 600]),
)
_JSON = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


def _value_places(document: Any) -> list[tuple[Any, Any]]:
    """Return `(container, key)` of every value inside a document."""
    places: list[tuple[Any, Any]] = []
    keys = document if isinstance(document, dict) else range(len(document))
    for key in keys:
        places.append((document, key))
        if isinstance(document[key], (dict, list)):
            places += _value_places(document[key])
    return places


@strategies.composite
def _requests(draw: strategies.DrawFn) -> tuple[str, str, bytes]:
    """Draw method, path and body: a valid document with changes, or any bytes.

    Up to two values of the document are replaced or removed.
    """
    method, path = draw(strategies.sampled_from(sorted(_VALID_DOCUMENTS)))
    if draw(strategies.integers(0, 9)) == 0:
        return method, path, draw(strategies.binary(max_size=60))
    document = copy.deepcopy(_VALID_DOCUMENTS[method, path])
    for _ in range(draw(strategies.integers(0, 2))):
        places = _value_places(document)
        container, key = places[draw(strategies.integers(0, len(places) - 1))]
        kind = draw(strategies.sampled_from(["edge", "edge", "any", "none"]))
        if kind == "none" and isinstance(container, dict):
            del container[key]
        else:
            container[key] = draw(_EDGE_NUMBERS if kind == "edge" else _JSON)
        if not document:
            break
    return method, path, msgspec.json.encode(document)


class TestDocuments:

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(_requests())
    def test_typed_response_and_no_partial_change(
        self, request: tuple[str, str, bytes]
    ) -> None:
        method, path, body = request
        client = in_process.Client()
        daemon = client.daemon
        workers = "workers" in path
        key = in_process.WORKER if workers else in_process.OPERATOR
        status = trio.run(client.call, method, path, body, key).status
        assert status in (200, 400, 404, 409)
        if status != 200:
            assert not daemon.machine.configuration.revision
            assert not daemon.machine.job_store.jobs
            assert not daemon.announcements and not daemon.members
        restored = machines.StateMachine()
        restored.restore(daemon.machine.snapshot())
        assert restored.snapshot() == daemon.machine.snapshot()


class TestHeads:

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.sampled_from(["GET", "PUT", "POST", "DELETE", "", "é"]),
        strategies.sampled_from(sorted(path for _, path in _VALID_DOCUMENTS))
        | strategies.text(max_size=40),
        strategies.binary(max_size=40)
        | strategies.sampled_from([b"fresh=true", b"fresh=%ff", b"state=&&="]),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    [b"authorization", b"turmerichall-operation-id", b"x"]
                ),
                strategies.binary(max_size=30)
                | strategies.just(b"Bearer operators-key"),
            ),
            max_size=4,
        ),
    )
    def test_typed_response_and_no_change(
        self,
        method: str,
        path: str,
        query: bytes,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        client = in_process.Client()
        daemon = client.daemon
        response = trio.run(client.send, method, path, query, headers, b"")
        assert response.status in (200, 400, 401, 404)
        if not path.endswith("/drain"):
            assert not daemon.machine.applied_index
