"""Load on one server, measured by its callers."""

import random
from typing import NamedTuple

import hdrh.histogram
import httpcore
import trio

from turmerichall.gateway import request_id

__all__ = [
    "ConnectionPool",
    "LoadResult",
    "RequestSpec",
    "closed_loop",
    "open_loop",
]

HIGHEST_MICROSECONDS = 60_000_000


class RequestSpec(NamedTuple):
    """Requests of one kind.

    Attributes:
        path: Path that they are sent to.
        body: Their body.
        idempotent: Whether they may be run more than once.
        deadline_seconds: Their deadline.
    """

    path: str
    body: bytes = b"x" * 100
    idempotent: bool = True
    deadline_seconds: float = 10.0

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a new request."""
        made = [
            (b"Host", b"gateway"),
            (b"Content-Length", b"%d" % len(self.body)),
            (b"Turmerichall-Request-Id", request_id.make().encode()),
            (
                b"Turmerichall-Deadline-Ms",
                b"%d" % (self.deadline_seconds * 1000),
            ),
        ]
        value = b"true" if self.idempotent else b"false"
        made.append((b"Turmerichall-Idempotent", value))
        return made


class LoadResult:
    """What callers saw.

    Attributes:
        answered: Latencies of answers with status 200, in microseconds.
        refused: Latencies of other answers, in microseconds.
        broken: Requests without an answer.
        seconds: How long it was measured.
    """

    def __init__(self) -> None:
        self.answered = _histogram()
        self.refused = _histogram()
        self.broken = 0
        self.seconds = 0.0

    def record(self, status: int, seconds: float) -> None:
        """Adds a request; status 0 stands for no whole answer."""
        if not status:
            self.broken += 1
            return
        kind = self.answered if status == 200 else self.refused
        kind.record_value(max(1, int(seconds * 1e6)))

    def milliseconds(self, percentile: float) -> float:
        """Returns a percentile of the latency of answers."""
        value = self.answered.get_value_at_percentile(percentile)
        return float(value) / 1000

    @property
    def requests_per_second(self) -> float:
        """Answers with status 200 in a second."""
        return float(self.answered.total_count) / self.seconds


def _histogram() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, 3)


async def closed_loop(
    address: str,
    spec: RequestSpec,
    connections: int,
    seconds: float,
    warm_up_seconds: float = 1.0,
) -> LoadResult:
    """Sends one request after the other on each of some connections.

    Args:
        address: The server, host:port.
        spec: What to send.
        connections: How many connections send at once.
        seconds: How long to measure.
        warm_up_seconds: How long to send before.

    Returns:
        What was measured.
    """
    result = LoadResult()
    begin = trio.current_time() + warm_up_seconds
    end = begin + seconds
    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            nursery.start_soon(_one_by_one, address, spec, begin, end, result)
    result.seconds = seconds
    return result


async def _one_by_one(
    address: str,
    spec: RequestSpec,
    begin: float,
    end: float,
    result: LoadResult,
) -> None:
    pool = ConnectionPool(address)
    while trio.current_time() < end:
        sent_at = trio.current_time()
        status = await pool.send(spec)
        if sent_at >= begin:
            result.record(status, trio.current_time() - sent_at)


class ConnectionPool:
    """Connections to one server; each request takes an idle or a new one.

    Attributes:
        origin: The server.
        idle: Connections that no request uses.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.origin = httpcore.Origin(b"http", host.encode(), int(port))
        self.idle: list[httpcore.AsyncHTTPConnection] = []

    async def send(self, spec: RequestSpec) -> int:
        """Sends a request; returns the status, 0 without a whole answer."""
        if self.idle:
            connection = self.idle.pop()
        else:
            connection = httpcore.AsyncHTTPConnection(self.origin)
        request = httpcore.Request(
            "POST",
            httpcore.URL(
                scheme=self.origin.scheme,
                host=self.origin.host,
                port=self.origin.port,
                target=spec.path,
            ),
            headers=spec.headers(),
            content=spec.body,
        )
        try:
            answer = await connection.handle_async_request(request)
            await answer.aread()
            await answer.aclose()
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0
        if connection.is_idle():
            self.idle.append(connection)
        return answer.status


async def open_loop(
    address: str,
    spec: RequestSpec,
    requests_per_second: float,
    seconds: float,
    seed: int,
    warm_up_seconds: float = 2.0,
) -> LoadResult:
    """Sends requests at random moments, whether or not answers come.

    Args:
        address: The server, host:port.
        spec: What to send.
        requests_per_second: Mean rate.
        seconds: How long to measure.
        seed: Seed of the moments.
        warm_up_seconds: How long to send before.

    Returns:
        What was measured.
    """
    generator = random.Random(seed)
    result = LoadResult()
    pool = ConnectionPool(address)
    due = trio.current_time()
    begin = due + warm_up_seconds
    async with trio.open_nursery() as nursery:
        while True:
            due += generator.expovariate(requests_per_second)
            if due >= begin + seconds:
                break
            await trio.sleep_until(due)
            recorder = result if due >= begin else None
            nursery.start_soon(_send_once, pool, spec, due, recorder)
    result.seconds = seconds
    return result


async def _send_once(
    pool: ConnectionPool,
    spec: RequestSpec,
    due: float,
    result: LoadResult | None,
) -> None:
    status = await pool.send(spec)
    if result is not None:
        result.record(status, trio.current_time() - due)
