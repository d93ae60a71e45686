"""Benchmark of the request path: `python -m turmerichall.benchmarks.requests`.

Every table compares with a baseline of the same run.  Servers run as processes
of their own on the loopback interface.
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
        address: Where it listens, host:port.
        pid: Its process id.
    """

    address: str
    pid: int

    def processor_seconds(self) -> float:
        """Returns the processor time that it has used."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


@contextlib.contextmanager
def started(*arguments: str) -> Iterator[Server]:
    """Runs a server process and yields it once it listens."""
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
    """Runs a backend server for each time that a request shall take."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(
                started("backend", f"--seconds={each}", f"--slots={slots}")
            )
            for each in seconds
        ]


@contextlib.contextmanager
def gateway(
    servers: list[Server], slots: int, routing: str = "least_loaded"
) -> Iterator[Server]:
    """Runs the request path in front of backend servers."""
    listed = "+".join(server.address for server in servers)
    with started(
        "gateway",
        f"--backends={listed}",
        f"--slots={slots}",
        f"--routing={routing}",
    ) as made:
        yield made


class Hop(NamedTuple):
    """What callers go through.

    Attributes:
        name: Name in the table.
        server: The server that they talk to.
        idempotent: Whether their requests are.
    """

    name: str
    server: Server
    idempotent: bool = True


def overhead(seconds: float, rounds: int) -> str:
    """Compares a direct call, a bare pass-through and the gateway."""
    rows = []
    with contextlib.ExitStack() as stack:
        backend = stack.enter_context(backends([0.0], 64))[0]
        bare = stack.enter_context(started("passthrough", backend.address))
        routed = stack.enter_context(gateway([backend], 64))
        hops = [
            Hop("direct", backend),
            Hop("pass-through", bare),
            Hop("gateway, idempotent", routed),
            Hop("gateway, at most once", routed, False),
        ]
        # Ids made before an instance has run for a while can't be claimed.
        trio.run(trio.sleep, 3.0)
        for connections in (1, 16, 64):
            measure = functools.partial(_overhead, connections, seconds)
            for hop, samples in _in_rounds(hops, measure, rounds):
                means = [sum(each) / len(each) for each in zip(*samples)]
                rows.append([connections, hop.name, *means])
    return _table(
        "connections|hop|p50 ms|p99 ms|p99.9 ms|requests/s|"
        "processor ms/request",
        rows,
    )


def _in_rounds(
    hops: list[Hop],
    measure: Callable[[Hop], list[float]],
    rounds: int,
) -> list[tuple[Hop, list[list[float]]]]:
    """Measures all hops in turn, several times, in changing order."""
    samples: dict[Hop, list[list[float]]] = {hop: [] for hop in hops}
    generator = random.Random(1)
    for _ in range(rounds):
        for hop in generator.sample(hops, len(hops)):
            samples[hop].append(measure(hop))
    return list(samples.items())


def _overhead(connections: int, seconds: float, hop: Hop) -> list[float]:
    stream = load.RequestSpec(URGENT, idempotent=hop.idempotent)
    before = hop.server.processor_seconds()
    measured = trio.run(
        load.closed_loop, hop.server.address, stream, connections, seconds, 0.0
    )
    used = hop.server.processor_seconds() - before
    count = measured.answered.total_count
    if measured.refused.total_count:
        raise RuntimeError(f"{measured.refused.total_count} were refused")
    return [
        measured.milliseconds(50),
        measured.milliseconds(99),
        measured.milliseconds(99.9),
        measured.requests_per_second,
        used / count * 1000,
    ]


def overload(seconds: float) -> str:
    """Measures urgent requests at half, full and twice the capacity."""
    service_seconds, slots, servers = 0.1, 8, 2
    capacity = servers * slots / service_seconds
    rows = []
    with backends([service_seconds] * servers, slots) as running:
        for factor in (0.5, 1.0, 2.0):
            with gateway(running, slots) as routed:
                urgent, normal = trio.run(
                    _two_streams, routed.address, capacity * factor, seconds
                )
            for name, one in (("urgent", urgent), ("normal", normal)):
                rows.append([f"{factor} x", name, *_under_load(one)])
    return _table(
        f"load ({capacity:.0f} requests/s = 1 x)|customers|p50 ms|p99 ms|"
        "answered/s|refused/s|refusal p99 ms|broken",
        rows,
    )


async def _two_streams(
    address: str, rate: float, seconds: float
) -> tuple[load.LoadResult, load.LoadResult]:
    """Sends a quarter of the requests for urgent customers."""
    found: dict[str, load.LoadResult] = {}

    async def run(path: str, share: float, seed: int) -> None:
        stream = load.RequestSpec(path, deadline_seconds=2.0)
        found[path] = await load.open_loop(
            address, stream, rate * share, seconds, seed
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, URGENT, 0.25, 1)
        nursery.start_soon(run, NORMAL, 0.75, 2)
    return found[URGENT], found[NORMAL]


def _under_load(one: load.LoadResult) -> list[float]:
    refused = one.refused.get_value_at_percentile(99) / 1000
    return [
        one.milliseconds(50),
        one.milliseconds(99),
        one.requests_per_second,
        one.refused.total_count / one.seconds,
        refused if one.refused.total_count else 0.0,
        one.broken,
    ]


def slow_server(seconds: float) -> str:
    """Compares routing when one server of six is ten times slower."""
    usual, rate, slots = 0.02, 150.0, 8
    rows = []
    for name, first in (("none", usual), ("one", usual * 10)):
        with backends([first] + [usual] * 5, slots) as running:
            for routing in ("least_loaded", "round_robin", "random"):
                with gateway(running, slots, routing) as routed:
                    stream = load.RequestSpec(URGENT)
                    measured = trio.run(
                        load.open_loop, routed.address, stream, rate, seconds, 3
                    )
                rows.append([name, routing, *_under_load(measured)[:3]])
    return _table("slow servers|routing|p50 ms|p99 ms|answered/s", rows)


def rolling_upgrade() -> str:
    """Measures requests while all daemons and workers are upgraded."""
    rows = [list(phase) for phase in trio.run(upgrade.run)]
    return _table("phase|requests|p50 ms|p99 ms|refused|unknown|doubled", rows)


def _table(titles: str, rows: Sequence[Sequence[object]]) -> str:
    return tabulate.tabulate(
        rows, headers=titles.split("|"), tablefmt="github", floatfmt=".2f"
    )


def main(seconds: float = 4.0, rounds: int = 3, only: str = "") -> None:
    """Runs the benchmark.

    Args:
        seconds: How long each measurement takes.
        rounds: How often each hop is measured.
        only: `overhead`, `overload`, `slow_server` or `rolling_upgrade`; all
            by default.
    """
    print(f"{platform.machine()}, {os.cpu_count()} cores, load", end=" ")
    print(", ".join(f"{each:.1f}" for each in os.getloadavg()))
    parts: dict[str, Callable[[], str]] = {
        "overhead": lambda: overhead(seconds, rounds),
        "overload": lambda: overload(seconds * 3),
        "slow_server": lambda: slow_server(seconds * 3),
        "rolling_upgrade": rolling_upgrade,
    }
    for name, part in parts.items():
        if only in ("", name):
            print(f"\n{name}\n\n{part()}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
