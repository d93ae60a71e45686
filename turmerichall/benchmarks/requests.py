"""Benchmark of the request path: `python -m turmerichall.benchmarks.requests`.

Every table contains a baseline measured in the same run.  Servers run as
separate processes on the loopback interface.
"""

import contextlib
import functools
import os
import platform
import random
import subprocess
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import fire
import msgspec
import tabulate
import trio

from turmerichall.benchmarks import requests_load as load
from turmerichall.benchmarks import requests_upgrade as upgrade

__all__ = ["main"]

URGENT = "/v1/requests/urgent/s"
NORMAL = "/v1/requests/normal/s"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Server(NamedTuple):
    """A server process.

    Attributes:
        address: Address that it listens on, host:port.
        pid: Id of the process.
    """

    address: str
    pid: int

    def processor_seconds(self) -> float:
        """Return the processor time used by the process so far, in seconds."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


@contextlib.contextmanager
def server_process(*arguments: str) -> Iterator[Server]:
    """Run a server process and yield it once it listens."""
    command = [sys.executable, "-m", "turmerichall.benchmarks.requests_servers"]
    with subprocess.Popen(
        [*command, *arguments], stdout=subprocess.PIPE
    ) as process:
        try:
            assert process.stdout is not None
            line = msgspec.json.decode(process.stdout.readline())
            yield Server(line["address"], process.pid)
        finally:
            process.terminate()


@contextlib.contextmanager
def backends(seconds: list[float], slots: int) -> Iterator[list[Server]]:
    """Run backend servers and yield them.

    Args:
        seconds: For each server, the time that a request takes.
        slots: Maximum number of concurrent requests of each server.
    """
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(
                server_process(
                    "backend", f"--seconds={each}", f"--slots={slots}"
                )
            )
            for each in seconds
        ]


@contextlib.contextmanager
def gateway(
    servers: list[Server], slots: int, routing: str = "least_loaded"
) -> Iterator[Server]:
    """Run an entry instance's request path in front of backend servers."""
    listed = "+".join(server.address for server in servers)
    with server_process(
        "gateway",
        f"--backends={listed}",
        f"--slots={slots}",
        f"--routing={routing}",
    ) as server:
        yield server


class Hop(NamedTuple):
    """A path by which requests reach the backend server.

    Attributes:
        name: Name in the table.
        server: The server to which callers connect.
        idempotent: Whether the requests are idempotent.
    """

    name: str
    server: Server
    idempotent: bool = True


def overhead(seconds: float, rounds: int) -> str:
    """Compare requests sent directly, by a minimal proxy and by the gateway."""
    rows = []
    with contextlib.ExitStack() as stack:
        backend = stack.enter_context(backends([0.0], 64))[0]
        proxy = stack.enter_context(
            server_process("passthrough", backend.address)
        )
        gateway_server = stack.enter_context(gateway([backend], 64))
        hops = [
            Hop("direct", backend),
            Hop("pass-through", proxy),
            Hop("gateway, idempotent", gateway_server),
            Hop("gateway, at most once", gateway_server, False),
        ]
        # An instance can't claim request ids that were created before its claim
        # store was complete, which is shortly after its start.
        trio.run(trio.sleep, 3.0)
        for connections in (1, 16, 64):
            measure = functools.partial(_overhead, connections, seconds)
            for hop, samples in _measure_in_rounds(hops, measure, rounds):
                means = [sum(each) / len(each) for each in zip(*samples)]
                rows.append([connections, hop.name, *means])
    return _table(
        "connections|hop|p50 ms|p99 ms|p99.9 ms|requests/s|"
        "processor ms/request",
        rows,
    )


def _measure_in_rounds(
    hops: list[Hop],
    measure: Callable[[Hop], list[float]],
    rounds: int,
) -> list[tuple[Hop, list[list[float]]]]:
    """Measure all hops several times, in a random order in each round."""
    samples: dict[Hop, list[list[float]]] = {hop: [] for hop in hops}
    generator = random.Random(1)
    for _ in range(rounds):
        for hop in generator.sample(hops, len(hops)):
            samples[hop].append(measure(hop))
    return list(samples.items())


def _overhead(connections: int, seconds: float, hop: Hop) -> list[float]:
    spec = load.RequestSpec(URGENT, idempotent=hop.idempotent)
    before = hop.server.processor_seconds()
    result = trio.run(
        load.closed_loop, hop.server.address, spec, connections, seconds, 0.0
    )
    used = hop.server.processor_seconds() - before
    count = result.answered.total_count
    if result.refused.total_count:
        raise RuntimeError(
            f"{result.refused.total_count} requests were refused; the overhead"
            " of a hop is measured without refusals"
        )
    return [
        result.milliseconds(50),
        result.milliseconds(99),
        result.milliseconds(99.9),
        result.requests_per_second,
        used / count * 1000,
    ]


def overload(seconds: float) -> str:
    """Measure urgent and normal requests at 0.5, 1 and 2 times the capacity.

    The capacity is the rate of requests that the backend servers can serve.
    """
    service_seconds, slots, servers = 0.1, 8, 2
    capacity = servers * slots / service_seconds
    rows = []
    with backends([service_seconds] * servers, slots) as running:
        for factor in (0.5, 1.0, 2.0):
            with gateway(running, slots) as gateway_server:
                urgent, normal = trio.run(
                    _send_mixed_load,
                    gateway_server.address,
                    capacity * factor,
                    seconds,
                )
            for name, result in (("urgent", urgent), ("normal", normal)):
                rows.append([f"{factor} x", name, *_load_row(result)])
    return _table(
        f"load ({capacity:.0f} requests/s = 1 x)|customers|p50 ms|p99 ms|"
        "answered/s|refused/s|refusal p99 ms|broken",
        rows,
    )


async def _send_mixed_load(
    address: str, rate: float, seconds: float
) -> tuple[load.LoadResult, load.LoadResult]:
    """Send a quarter of the requests as urgent and the rest as normal.

    Returns:
        The results of the urgent and of the normal requests.
    """
    results: dict[str, load.LoadResult] = {}

    async def run(path: str, share: float, seed: int) -> None:
        spec = load.RequestSpec(path, deadline_seconds=2.0)
        results[path] = await load.open_loop(
            address, spec, rate * share, seconds, seed
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, URGENT, 0.25, 1)
        nursery.start_soon(run, NORMAL, 0.75, 2)
    return results[URGENT], results[NORMAL]


def _load_row(result: load.LoadResult) -> list[float]:
    refused = result.refused.get_value_at_percentile(99) / 1000
    return [
        result.milliseconds(50),
        result.milliseconds(99),
        result.requests_per_second,
        result.refused.total_count / result.seconds,
        refused if result.refused.total_count else 0.0,
        result.broken,
    ]


def slow_server(seconds: float) -> str:
    """Compare routing methods when one of six backend servers is slow.

    It is ten times slower than the others.
    """
    normal_seconds, rate, slots = 0.02, 150.0, 8
    rows = []
    for name, first_seconds in (
        ("none", normal_seconds),
        ("one", normal_seconds * 10),
    ):
        with backends([first_seconds] + [normal_seconds] * 5, slots) as running:
            for routing in ("least_loaded", "round_robin", "random"):
                with gateway(running, slots, routing) as gateway_server:
                    spec = load.RequestSpec(URGENT)
                    result = trio.run(
                        load.open_loop,
                        gateway_server.address,
                        spec,
                        rate,
                        seconds,
                        3,
                    )
                rows.append([name, routing, *_load_row(result)[:3]])
    return _table("slow servers|routing|p50 ms|p99 ms|answered/s", rows)


def rolling_upgrade() -> str:
    """Measure requests while all daemons and workers are upgraded."""
    rows = [list(phase) for phase in trio.run(upgrade.run)]
    return _table("phase|requests|p50 ms|p99 ms|refused|unknown|doubled", rows)


def _table(titles: str, rows: Sequence[Sequence[object]]) -> str:
    return tabulate.tabulate(
        rows, headers=titles.split("|"), tablefmt="github", floatfmt=".2f"
    )


def main(seconds: float = 4.0, rounds: int = 3, only: str = "") -> None:
    """Run the benchmark and print its tables.

    Args:
        seconds: Length of each measurement.
        rounds: Number of measurements of each hop.
        only: `overhead`, `overload`, `slow_server` or `rolling_upgrade`; all
            by default.
    """
    print(f"{platform.machine()}, {os.cpu_count()} cores, load", end=" ")
    print(", ".join(f"{each:.1f}" for each in os.getloadavg()))
    benchmarks: dict[str, Callable[[], str]] = {
        "overhead": lambda: overhead(seconds, rounds),
        "overload": lambda: overload(seconds * 3),
        "slow_server": lambda: slow_server(seconds * 3),
        "rolling_upgrade": rolling_upgrade,
    }
    for name, benchmark in benchmarks.items():
        if only in ("", name):
            print(f"\n{name}\n\n{benchmark()}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
