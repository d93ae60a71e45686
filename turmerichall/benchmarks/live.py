"""Measures what daemons cost as processes, over real sockets."""

import functools
import os
import pathlib
import resource
import tempfile
import time

import httpcore
import trio

from turmerichall import documents
from turmerichall.benchmarks import announcing
from turmerichall.benchmarks import populations
from turmerichall.benchmarks import slopes
from turmerichall.tests import local_cluster

__all__ = ["measure"]

IDLE_SECONDS = 10.0
UPDATES = 600
COMMANDS = 5
_TICK = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICK


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


async def measure() -> list[slopes.Slope]:
    """Starts three daemons and measures them, idle and under announcements."""
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


class Relay:
    """Passes connections on to one address, and counts their bytes.

    Attributes:
        host: Host of the address.
        port: Its port.
        passed: Bytes passed on, both ways.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.passed = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serves one connection until either end closes it."""
        onward = await trio.open_tcp_stream(self.host, self.port)
        async with onward, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass, onward, stream)
            await self._pass(stream, onward)
            nursery.cancel_scope.cancel()

    async def _pass(
        self, source: trio.SocketStream, target: trio.SocketStream
    ) -> None:
        async for data in source:
            self.passed += len(data)
            await target.send_all(data)


async def _announcements(
    cluster: local_cluster.LocalCluster,
) -> list[slopes.Slope]:
    """Sends updates of workers that run nothing, which need the least work."""
    instance = next(iter(cluster.instances.values()))
    pid = cluster.processes[instance.name].pid
    told = populations.announced(0, 1)._replace(tasks=(), zone=instance.zone)
    bodies = announcing.made_updates(told, UPDATES, moved=False)
    relay = Relay(instance.operators)
    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(
            functools.partial(trio.serve_tcp, relay.handle, 0, host="127.0.0.1")
        )
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            await _post(pool, address, "announce", documents.encode(told))
            relay.passed = 0
            before = processor_seconds(pid)
            answered = 0
            for body in bodies:
                answer = await _post(pool, address, "update", body)
                assert b'"whole"' not in answer, answer
                answered += len(answer)
            used = processor_seconds(pid) - before
        nursery.cancel_scope.cancel()
    documents_bytes = sum(map(len, bodies)) + answered
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
            (relay.passed - documents_bytes) / UPDATES,
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
