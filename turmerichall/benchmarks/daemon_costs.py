"""Costs of daemon processes, measured over real sockets."""

import functools
import os
import pathlib
import resource
import tempfile
import time

import httpcore
import trio

from turmerichall import documents
from turmerichall.benchmarks import announcement_costs
from turmerichall.benchmarks import synthetic_state
from turmerichall.benchmarks import slopes
from turmerichall.tests import local_cluster

__all__ = ["measure"]

IDLE_SECONDS = 10.0
UPDATES = 600
COMMANDS = 5
_TICK = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid: int) -> float:
    """Return the processor time used by a process so far, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICK


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


async def measure() -> list[slopes.Slope]:
    """Measure three daemons and an operator's command.

    The daemons are measured idle and while they receive announcements.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = local_cluster.LocalCluster(pathlib.Path(folder))
        try:
            await cluster.start(workers_per_zone=0)
            return [
                *await _idle(cluster),
                *await _announcements(cluster),
                *await _command(cluster),
            ]
        finally:
            cluster.kill_all()


def _pids(cluster: local_cluster.LocalCluster) -> list[int]:
    return [process.pid for process in cluster.processes.values()]


async def _idle(cluster: local_cluster.LocalCluster) -> list[slopes.Slope]:
    pids = _pids(cluster)
    await trio.sleep(IDLE_SECONDS)
    before = sum(map(processor_seconds, pids))
    started = time.monotonic()
    await trio.sleep(IDLE_SECONDS)
    elapsed = time.monotonic() - started
    used = sum(map(processor_seconds, pids)) - before
    return [
        slopes.Slope(
            "idle_daemon",
            used / elapsed / len(pids),
            "s/s",
            "an idle daemon of three",
        ),
        slopes.Slope(
            "daemon_memory",
            max(map(resident_bytes, pids)),
            "B",
            "resident memory of a daemon that holds nothing",
        ),
    ]


class CountingProxy:
    """A TCP proxy to one address that counts the bytes it forwards.

    Attributes:
        host: Host of the address.
        port: Port of the address.
        relayed_bytes: Bytes forwarded in both directions.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.relayed_bytes = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection until either end closes it."""
        upstream = await trio.open_tcp_stream(self.host, self.port)
        async with upstream, trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, upstream, stream)
            await self._forward(stream, upstream)
            nursery.cancel_scope.cancel()

    async def _forward(
        self, source: trio.SocketStream, target: trio.SocketStream
    ) -> None:
        async for data in source:
            self.relayed_bytes += len(data)
            await target.send_all(data)


async def _announcements(
    cluster: local_cluster.LocalCluster,
) -> list[slopes.Slope]:
    """Measure the updates of a worker without tasks, the cheapest updates."""
    instance = next(iter(cluster.instances.values()))
    pid = cluster.processes[instance.name].pid
    announced = synthetic_state.make_announcement(0, 1)._replace(
        tasks=(), zone=instance.zone
    )
    bodies = announcement_costs.encoded_updates(announced, UPDATES, moved=False)
    proxy = CountingProxy(instance.operators)
    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(
            functools.partial(trio.serve_tcp, proxy.handle, 0, host="127.0.0.1")
        )
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            await _post(pool, address, "announce", documents.encode(announced))
            proxy.relayed_bytes = 0
            before = processor_seconds(pid)
            reply_bytes = 0
            for body in bodies:
                reply = await _post(pool, address, "update", body)
                assert b'"whole"' not in reply, reply
                reply_bytes += len(reply)
            used = processor_seconds(pid) - before
        nursery.cancel_scope.cancel()
    document_bytes = sum(map(len, bodies)) + reply_bytes
    return [
        slopes.Slope(
            "exchange_http",
            used / UPDATES,
            "s",
            "an update of a worker that runs nothing over HTTP, all of the"
            " daemon's work",
        ),
        slopes.Slope(
            "exchange_head_bytes",
            (proxy.relayed_bytes - document_bytes) / UPDATES,
            "B",
            "heads of HTTP of an update and its answer",
        ),
    ]


async def _post(
    pool: httpcore.AsyncConnectionPool, address: str, what: str, body: bytes
) -> bytes:
    response = await pool.request(
        "POST",
        f"http://{address}/v1/workers/{what}",
        headers=[("Authorization", f"Bearer {local_cluster.WORKERS_KEY}")],
        content=body,
    )
    assert response.status == 200, response.content
    return response.content


async def _command(cluster: local_cluster.LocalCluster) -> list[slopes.Slope]:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    for _ in range(COMMANDS):
        code, printed = await cluster.run_cli("status")
        assert code == 0, printed
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return [
        slopes.Slope(
            "command",
            used / COMMANDS,
            "s",
            "one operator's command, its start included",
        ),
        slopes.Slope(
            "command_memory",
            after.ru_maxrss * 1024,
            "B",
            "resident memory of an operator's command, or of a daemon if more",
        ),
    ]
