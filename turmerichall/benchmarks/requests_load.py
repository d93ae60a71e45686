"""Load generators for one server, measured from the callers' side."""

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
    """Properties shared by the requests of a load.

    Attributes:
        path: Path of the requests.
        body: Body of the requests.
        idempotent: Whether a request may run more than once.
        deadline_seconds: Deadline, in seconds from sending.
    """

    path: str
    body: bytes = b"x" * 100
    idempotent: bool = True
    deadline_seconds: float = 10.0

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request, with a new request id."""
        headers = [
            (b"Host", b"gateway"),
            (b"Content-Length", b"%d" % len(self.body)),
            (b"Turmerichall-Request-Id", request_id.make().encode()),
            (
                b"Turmerichall-Deadline-Ms",
                b"%d" % (self.deadline_seconds * 1000),
            ),
        ]
        value = b"true" if self.idempotent else b"false"
        headers.append((b"Turmerichall-Idempotent", value))
        return headers


class LoadResult:
    """Results of a load from the callers' side.

    Attributes:
        answered: Latencies of responses with status 200, in microseconds.
        refused: Latencies of other responses, in microseconds.
        broken: Requests without a complete response.
        seconds: Length of the measurement.
    """

    def __init__(self) -> None:
        self.answered = _histogram()
        self.refused = _histogram()
        self.broken = 0
        self.seconds = 0.0

    def record(self, status: int, seconds: float) -> None:
        """Record a response and its latency; status 0 if it is incomplete."""
        if not status:
            self.broken += 1
            return
        histogram = self.answered if status == 200 else self.refused
        histogram.record_value(max(1, int(seconds * 1e6)))

    def milliseconds(self, percentile: float) -> float:
        """Return a latency percentile of responses with status 200."""
        value = self.answered.get_value_at_percentile(percentile)
        return float(value) / 1000

    @property
    def requests_per_second(self) -> float:
        """Mean rate of responses with status 200."""
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
    """Generate closed-loop load: each connection sends sequential requests.

    Args:
        address: Address of the server, host:port.
        spec: The requests to send.
        connections: Number of concurrent connections.
        seconds: Length of the measurement.
        warm_up_seconds: Time for which requests are sent before it.

    Returns:
        The results of requests sent during the measurement.
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
    """A pool of connections to one server, which grows with concurrency.

    Attributes:
        origin: The server.
        idle: Connections without a request in flight.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.origin = httpcore.Origin(b"http", host.encode(), int(port))
        self.idle: list[httpcore.AsyncHTTPConnection] = []

    async def send(self, spec: RequestSpec) -> int:
        """Send a request; return the response's status, 0 if incomplete."""
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
    """Generate open-loop load: requests at random times.

    A request does not wait for the responses to earlier ones.

    Args:
        address: Address of the server, host:port.
        spec: The requests to send.
        requests_per_second: Mean rate of arrivals.
        seconds: Length of the measurement.
        seed: Seed of the arrival times.
        warm_up_seconds: Time for which requests are sent before it.

    Returns:
        The results of requests that arrived during the measurement.
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
