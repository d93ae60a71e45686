"""Three replicas as processes: what each spends when idle and under load."""

import multiprocessing
import pathlib
import socket
import tempfile
import time
from collections.abc import Callable
from typing import NamedTuple

import trio

from turmerichall.agreement import replica as replicas
from turmerichall.agreement import replica_state
from turmerichall.peers import envelope
from turmerichall.peers import network as networks
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

__all__ = [
    "Phase",
    "Spent",
    "Traffic",
    "free_addresses",
    "measure",
    "measure_phase",
]

NAMES = ("a", "b", "c")
KEY = b"benchmark"
SETTLE_SECONDS = 4.0
ZONE = "z1"


class Phase(NamedTuple):
    """A load to measure under.

    Attributes:
        name: What to call it.
        changes_per_second: Changes that the leader is given.
        starts_per_change: Starts of tasks in each change.
        seconds: How long to measure.
    """

    name: str
    changes_per_second: float
    starts_per_change: int
    seconds: float


class Spent(NamedTuple):
    """What one instance spent in one phase.

    Attributes:
        phase: Name of the phase.
        instance: Name of the instance.
        role: Leader or follower.
        processor_ms: Processor milliseconds a second.
        sent_bytes: Bytes a second handed to TCP, without headers.
        writes: Writes a second.
        changes: Changes a second that were applied.
    """

    phase: str
    instance: str
    role: str
    processor_ms: float
    sent_bytes: float
    writes: float
    changes: float


class Traffic:
    """Counts what this process writes to its peers."""

    def __init__(self) -> None:
        self.sent = 0
        self.writes = 0

    def install(self) -> None:
        """Counts each write of a connection from here on."""
        send = envelope.Connection.send

        async def counted(connection: envelope.Connection, data: bytes) -> None:
            self.sent += len(data)
            self.writes += 1
            await send(connection, data)

        envelope.Connection.send = counted  # type: ignore[method-assign,assignment]


class _Job(NamedTuple):
    """What one process is told."""

    name: str
    addresses: dict[str, str]
    folder: str
    phases: tuple[Phase, ...]
    begins_at: float


def _load(phase: Phase, number: int) -> bytes:
    starts = [
        changes.Start(f"j{number}/{each}", 1, f"worker-{each}", 1, "fits")
        for each in range(phase.starts_per_change)
    ]
    return changes.encode(changes.StartTasks(ZONE, 0, 1.0, starts))


async def _offer(
    replica: replicas.Replica, phase: Phase, note: Callable[[bytes], None]
) -> None:
    """Proposes at an even rate."""
    began = trio.current_time()

    async def propose(number: int) -> None:
        result = await replica.propose(_load(phase, number))
        if isinstance(result, bytes):
            note(result)

    async with trio.open_nursery() as nursery:
        for number in range(int(phase.changes_per_second * phase.seconds)):
            due = began + number / phase.changes_per_second
            await trio.sleep_until(due)
            nursery.start_soon(propose, number)


async def measure_phase(
    replica: replicas.Replica,
    phase: Phase,
    traffic: Traffic,
    name: str,
    note: Callable[[bytes], None] = lambda _: None,
) -> Spent:
    """Measures one instance in one phase; the leader proposes the load.

    Args:
        replica: The instance's replica.
        phase: The load.
        traffic: Counts what this process writes.
        name: Name of the instance.
        note: Called with the result of each change.
    """
    processor = time.process_time()
    sent, writes = traffic.sent, traffic.writes
    applied = replica.status().applied
    role = replica.status().role
    with trio.move_on_after(phase.seconds):
        if role == replica_state.Role.LEADER and phase.changes_per_second:
            await _offer(replica, phase, note)
        await trio.sleep_forever()
    seconds = phase.seconds
    return Spent(
        phase.name,
        name,
        role.value,
        (time.process_time() - processor) * 1000 / seconds,
        (traffic.sent - sent) / seconds,
        (traffic.writes - writes) / seconds,
        (replica.status().applied - applied) / seconds,
    )


async def _instance(job: _Job) -> list[Spent]:
    traffic = Traffic()
    traffic.install()
    others = {k: v for k, v in job.addresses.items() if k != job.name}
    network = networks.Network(job.name, KEY, others)
    replica = replicas.Replica(
        job.name,
        pathlib.Path(job.folder) / job.name,
        network,
        machines.StateMachine(),
        job.addresses,
    )
    spent = []
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run, job.addresses[job.name])
        await nursery.start(replica.run)
        begins_at = job.begins_at
        for phase in job.phases:
            await trio.sleep(begins_at - time.time())
            spent.append(await measure_phase(replica, phase, traffic, job.name))
            begins_at += phase.seconds + SETTLE_SECONDS
        await trio.sleep(SETTLE_SECONDS)
        nursery.cancel_scope.cancel()
    return spent


def _process(job: _Job) -> list[Spent]:
    return trio.run(_instance, job)


def free_addresses(names: tuple[str, ...]) -> dict[str, str]:
    """Finds a free local port for each name."""
    sockets: list[socket.socket] = []
    found = {}
    for name in names:
        opened = socket.socket()
        opened.bind(("127.0.0.1", 0))
        sockets.append(opened)
        found[name] = f"127.0.0.1:{opened.getsockname()[1]}"
    for opened in sockets:
        opened.close()
    return found


def measure(
    phases: tuple[Phase, ...],
    spawn: Callable[[str], multiprocessing.context.BaseContext] = (
        multiprocessing.get_context
    ),
) -> list[Spent]:
    """Runs three replicas as processes through some phases.

    Args:
        phases: The loads, one after the other.
        spawn: Gives the way in which processes are started.

    Returns:
        What each instance spent in each phase.
    """
    addresses = free_addresses(NAMES)
    with tempfile.TemporaryDirectory() as folder:
        begins_at = time.time() + 2 * SETTLE_SECONDS
        jobs = [
            _Job(name, addresses, folder, phases, begins_at) for name in NAMES
        ]
        with spawn("spawn").Pool(len(NAMES)) as pool:
            results = pool.map(_process, jobs, chunksize=1)
    return [each for spent in results for each in spent]
