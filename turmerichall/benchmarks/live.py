"""Measures what daemons cost as processes, over real sockets."""

import os
import pathlib
import resource
import tempfile
import time

import httpcore
import trio

from turmerichall import documents
from turmerichall.benchmarks import populations
from turmerichall.benchmarks import slopes
from turmerichall.tests import local_cluster

__all__ = ["measure"]

IDLE_SECONDS = 10.0
ANNOUNCEMENTS = 600
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
                await _announcements(cluster),
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


async def _announcements(
    cluster: local_cluster.LocalCluster,
) -> slopes.Slope:
    instance = next(iter(cluster.instances.values()))
    pid = cluster.processes[instance.name].pid
    headers = [("Authorization", f"Bearer {local_cluster.WORKERS_KEY}")]
    before = processor_seconds(pid)
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        for number in range(ANNOUNCEMENTS):
            worker = number % populations.ZONE_WORKERS
            told = populations.announced(worker, number + 1)
            response = await pool.request(
                "POST",
                f"http://{instance.operators}/v1/workers/announce",
                headers=headers,
                content=documents.encode(told),
            )
            assert response.status == 200, response.content
    used = processor_seconds(pid) - before
    return slopes.Slope(
        "announcement_http",
        used / ANNOUNCEMENTS,
        "s",
        "an announcement over HTTP, all of the daemon's work",
    )


async def _command(cluster: local_cluster.LocalCluster) -> list[slopes.Slope]:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    for _ in range(COMMANDS):
        code, printed = await cluster.command("status")
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
