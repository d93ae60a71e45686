"""Comparison of two transports for calls between daemons.

    python -m turmerichall.benchmarks.wire

The transports are grpcio, whose threads are bridged to trio, and the frames of
`peers.network`.  Each round runs in a new process, which contains both client
and server.
"""

import importlib
import multiprocessing
import resource
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import fire
import tabulate
import trio

from turmerichall.peers import network as networks

__all__ = ["BODY", "CALL_SECONDS", "Round", "echo", "main", "measure"]

BODY = b"x" * 100
CALL_SECONDS = 30.0

Call = Callable[[], Awaitable[Any]]


class Round(NamedTuple):
    """Measurements of one round.

    Attributes:
        processor_ms: Processor milliseconds a call, client and server together.
        wall_ms: Median milliseconds from a call to its response.
        resident_mb: Peak resident memory of the process.
    """

    processor_ms: float
    wall_ms: float
    resident_mb: float


async def measure(call: Call, calls: int) -> Round:
    """Measure sequential calls after a warm-up of a tenth as many calls."""
    for _ in range(calls // 10):
        await call()
    taken = []
    processor = time.process_time()
    for _ in range(calls):
        began = time.perf_counter()
        assert await call() == BODY
        taken.append(time.perf_counter() - began)
    spent = time.process_time() - processor
    resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return Round(
        spent / calls * 1000, statistics.median(taken) * 1000, resident / 1024
    )


async def echo(_: str, body: bytes) -> bytes:
    """Return the body of the request."""
    return body


async def _frames(calls: int) -> Round:
    async with trio.open_nursery() as nursery:
        server = networks.Network("server", b"key")
        server.handle("echo", echo)
        address = await nursery.start(server.run, "127.0.0.1:0")
        client = networks.Network("client", b"key", {"server": address})
        await nursery.start(client.run, "127.0.0.1:0")
        while not client.links["server"].connected:
            await trio.sleep(0.01)

        async def call() -> Any:
            return await client.call("server", "echo", BODY, CALL_SECONDS)

        measured = await measure(call, calls)
        nursery.cancel_scope.cancel()
    return measured


def _run(kind: str, calls: int) -> Round:
    if kind == "frames":
        return trio.run(_frames, calls)
    # Imported only here, so that grpcio does not count in the memory of frames.
    other = importlib.import_module("turmerichall.benchmarks.wire_grpc")
    measured: Round = trio.run(other.run, calls)
    return measured


def main(calls: int = 2000, rounds: int = 5) -> None:
    """Print medians over alternating rounds, and their ratio.

    Args:
        calls: Calls in each round.
        rounds: Rounds of each transport.
    """
    found: dict[str, list[Round]] = {"grpcio": [], "frames": []}
    spawn = multiprocessing.get_context("spawn")
    for _ in range(rounds):
        for kind, measured in found.items():
            with spawn.Pool(1) as pool:
                measured.append(pool.apply(_run, (kind, calls)))
    rows = []
    for kind, measured in found.items():
        rows.append((kind, *map(statistics.median, zip(*measured))))
    headers = ("carrier", "processor ms/call", "median ms", "resident MB")
    print(tabulate.tabulate(rows, headers, floatfmt=".3f"))
    print(f"ratio of processor time: {rows[0][1] / rows[1][1]:.1f}")


if __name__ == "__main__":
    fire.Fire(main)
