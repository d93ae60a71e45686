"""Tests of documents that take many times their size once they are decoded."""

import json
import tracemalloc

import pytest

from turmerichall.platform import configuration_document
from turmerichall.platform import lenient_json
from turmerichall.platform import sound_messages

MAX_BODY_BYTES = 4 * 1024 * 1024
# What one document may add to a replica of the smallest machine, 160 MB.
MAX_PEAK_BYTES = 80_000_000


class TestManyValues:

    # One request of 4 MB on the control port took 230 MB: as many objects and
    # findings as fit into it.
    @pytest.mark.parametrize(
        "value", [b'{"a":1}', b"[]", b"{}", b'""', b"123456", b'[{"a":[]}]']
    )
    @pytest.mark.parametrize("field", [b"routes", b"services", b"x"])
    def test_memory_of_a_document_is_bounded(
        self, field: bytes, value: bytes
    ) -> None:
        count = MAX_BODY_BYTES // (len(value) + 1) - 10
        for used in (count, lenient_json.MAX_VALUES // 4 - 10):
            body = b'{"%b":[%b]}' % (field, b",".join([value] * used))
            tracemalloc.start()
            try:
                document = configuration_document.decode(body)
                text = [str(each) for each in document.errors]
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert text
            assert peak < MAX_PEAK_BYTES

    def test_largest_configuration_is_decoded(self) -> None:
        document = sound_messages.configuration(1)
        route = {"host": "a.b", "service": document["services"][0]["name"]}
        routes = [
            {**route, "name": f"{number}", "path_prefix": f"/{number}/"}
            for number in range(58_000)
        ]
        body = json.dumps(
            {**document, "routes": routes}, separators=(",", ":")
        ).encode()
        assert 0.9 * MAX_BODY_BYTES < len(body) < MAX_BODY_BYTES
        decoded = configuration_document.decode(body)
        assert not decoded.errors
        assert len(decoded.configuration.queues) == len(routes)
