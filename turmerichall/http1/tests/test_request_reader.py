"""Tests of what the reader of requests keeps in memory."""

import tracemalloc

import pytest

from turmerichall.http1 import limits
from turmerichall.http1 import request_reader

HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
BODY_BYTES = 100_000


def _read(data: bytes) -> request_reader.RequestReader:
    reader = request_reader.RequestReader(limits.Limits())
    reader.unparsed += data
    while reader.unparsed and not reader.requests:
        assert not reader.parse_piece()
    return reader


class TestSmallChunks:

    # Each chunk was an object of its own until the body was complete, so that
    # chunks of 2 bytes took some thirty times their size.
    @pytest.mark.parametrize("chunk_bytes", [1, 2, 100])
    def test_unfinished_body_takes_little_more_than_its_size(
        self, chunk_bytes: int
    ) -> None:
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        data = HEAD + chunk * (BODY_BYTES // chunk_bytes)
        tracemalloc.start()
        try:
            reader = _read(data)
            current, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert reader.in_request
        assert current < 2 * BODY_BYTES
        assert BODY_BYTES <= reader.size < 2 * BODY_BYTES

    def test_body_is_the_chunks_together(self) -> None:
        reader = _read(HEAD + b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n")
        assert reader.requests[0][0].body == b"abc"


class TestPipelinedRequests:

    # Requests that wait for the answer to the first one were all parsed, and
    # took many times their size.
    def test_most_of_them_stay_as_they_were_received(self) -> None:
        request = b"GET / HTTP/1.1\r\n\r\n"
        count = 64 * 1024 // len(request)
        reader = _read(request * count)
        parsed = request_reader.PIECE_BYTES // len(request) + 1
        assert 0 < len(reader.requests) <= parsed
        assert reader.size < 5 * len(request) * count
        answered = 0
        while reader.requests:
            while reader.requests:
                reader.take()
            answered += 1
            while reader.unparsed and not reader.requests:
                assert not reader.parse_piece()
        assert answered * parsed >= count
        assert reader.size == 0


class TestDiscard:

    def test_nothing_is_kept(self) -> None:
        reader = _read(HEAD + b"3\r\nabc\r\n")
        assert reader.size > 3
        reader.discard()
        assert reader.size <= len(HEAD)
