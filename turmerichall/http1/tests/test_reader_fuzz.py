"""Seeded fuzz test of the reader of requests."""

import random

from turmerichall.http1 import limits
from turmerichall.http1 import request_reader

PIECES = (
    b"GET /a HTTP/1.1\r\n",
    b"POST /b HTTP/1.1\r\n",
    b"POST /c HTTP/1.0\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n",
    b"host: a\r\n",
    b"connection: upgrade\r\nupgrade: h2c\r\n",
    b"connection: close\r\n",
    b"expect: 100-continue\r\n",
    b"content-length: 3\r\n",
    b"content-length: 99999999\r\n",
    b"content-length: x\r\n",
    b"transfer-encoding: chunked\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\ncontent-length: x\r\n",
    b"\x00\xff",
)


def _feed(parts: list[bytes]) -> tuple[int, list[object]]:
    """Return the status of the first error, and the requests before it."""
    reader = request_reader.RequestReader(limits.Limits())
    status = 0
    for part in parts:
        reader.unparsed += part
        while reader.unparsed and not status:
            status = reader.parse_piece()
        if status:
            break
    return status, [request for request, _ in reader.requests]


class TestReader:

    # An error that the reader does not expect would end the process.  What a
    # request means must not depend on how the network cuts it.
    def test_same_bytes_in_other_parts_are_the_same_requests(self) -> None:
        rng = random.Random(1)
        for _ in range(4000):
            pieces = rng.choices(PIECES, k=rng.randint(2, 9))
            data = rng.choice(PIECES[:4]) + b"".join(pieces)
            cut = rng.randrange(len(data) + 1)
            single = [data[index : index + 1] for index in range(len(data))]
            in_bytes = _feed(single)
            for parts in ([data[:cut], data[cut:]], [data]):
                status, requests = _feed(parts)
                assert requests == in_bytes[1], data
                # An announced body that is too large is refused when the
                # header ends a read, or with its first byte too many.
                assert status == in_bytes[0] or 413 in (status, in_bytes[0])
