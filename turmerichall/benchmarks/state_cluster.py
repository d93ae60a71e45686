"""Measurement of the resources that three replica processes use under load."""

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
    "ResourceUsage",
    "TrafficCounter",
    "free_addresses",
    "measure",
    "measure_phase",
]

NAMES = ("a", "b", "c")
KEY = b"benchmark"
SETTLE_SECONDS = 4.0
ZONE = "z1"


class Phase(NamedTuple):
    """A constant load on the leader and the time for which it is measured.

    Attributes:
        name: Name of the phase.
        changes_per_second: Rate at which the leader proposes changes.
        starts_per_change: Number of task starts in each change.
        seconds: Length of the measurement.
    """

    name: str
    changes_per_second: float
    starts_per_change: int
    seconds: float


class ResourceUsage(NamedTuple):
    """Resources that one instance used in one phase.

    Attributes:
        phase: Name of the phase.
        instance: Name of the instance.
        role: Role of the replica at the start of the phase.
        processor_ms: Milliseconds of processor time used a second.
        sent_bytes: Bytes a second passed to TCP, without TCP/IP headers.
        writes: Number of writes to connections a second.
        changes: Number of log entries applied a second.
    """

    phase: str
    instance: str
    role: str
    processor_ms: float
    sent_bytes: float
    writes: float
    changes: float


class TrafficCounter:
    """A counter of the bytes and writes that this process sends to peers."""

    def __init__(self) -> None:
        self.sent = 0
        self.writes = 0

    def install(self) -> None:
        """Patch the connection class so that its writes are counted."""
        send = envelope.Connection.send

        async def counted(connection: envelope.Connection, data: bytes) -> None:
            self.sent += len(data)
            self.writes += 1
            await send(connection, data)

        envelope.Connection.send = counted  # type: ignore[method-assign,assignment]


class _ProcessArguments(NamedTuple):
    """Arguments of the process of one replica.

    Attributes:
        name: Name of the instance.
        addresses: Addresses of all replicas by name.
        folder: Folder for the replicas' data.
        phases: Phases to measure, in order.
        starts_at: Wall-clock time at which the first phase starts.
    """

    name: str
    addresses: dict[str, str]
    folder: str
    phases: tuple[Phase, ...]
    starts_at: float


def _encoded_starts(phase: Phase, number: int) -> bytes:
    starts = [
        changes.Start(f"j{number}/{each}", 1, f"worker-{each}", 1, "fits")
        for each in range(phase.starts_per_change)
    ]
    return changes.encode(changes.StartTasks(ZONE, 0, 1.0, starts))


async def _propose_load(
    replica: replicas.Replica, phase: Phase, on_result: Callable[[bytes], None]
) -> None:
    """Propose changes at an even rate, without waiting for their results."""
    started_at = trio.current_time()

    async def propose(number: int) -> None:
        result = await replica.propose(_encoded_starts(phase, number))
        if isinstance(result, bytes):
            on_result(result)

    async with trio.open_nursery() as nursery:
        for number in range(int(phase.changes_per_second * phase.seconds)):
            due = started_at + number / phase.changes_per_second
            await trio.sleep_until(due)
            nursery.start_soon(propose, number)


async def measure_phase(
    replica: replicas.Replica,
    phase: Phase,
    traffic: TrafficCounter,
    name: str,
    on_result: Callable[[bytes], None] = lambda _: None,
) -> ResourceUsage:
    """Measure the resources that one instance uses in one phase.

    If its replica leads, it also proposes the changes of the load.

    Args:
        replica: The instance's replica.
        phase: The phase, with its load and length.
        traffic: Counter of this process's writes.
        name: Name of the instance.
        on_result: Called with the result of each committed proposal.
    """
    processor = time.process_time()
    sent, writes = traffic.sent, traffic.writes
    applied = replica.status().applied
    role = replica.status().role
    with trio.move_on_after(phase.seconds):
        if role == replica_state.Role.LEADER and phase.changes_per_second:
            await _propose_load(replica, phase, on_result)
        await trio.sleep_forever()
    seconds = phase.seconds
    return ResourceUsage(
        phase.name,
        name,
        role.value,
        (time.process_time() - processor) * 1000 / seconds,
        (traffic.sent - sent) / seconds,
        (traffic.writes - writes) / seconds,
        (replica.status().applied - applied) / seconds,
    )


async def _instance(arguments: _ProcessArguments) -> list[ResourceUsage]:
    traffic = TrafficCounter()
    traffic.install()
    peers = {
        k: v for k, v in arguments.addresses.items() if k != arguments.name
    }
    network = networks.Network(arguments.name, KEY, peers)
    replica = replicas.Replica(
        arguments.name,
        pathlib.Path(arguments.folder) / arguments.name,
        network,
        machines.StateMachine(),
        arguments.addresses,
    )
    usage = []
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run, arguments.addresses[arguments.name])
        await nursery.start(replica.run)
        starts_at = arguments.starts_at
        for phase in arguments.phases:
            await trio.sleep(starts_at - time.time())
            usage.append(
                await measure_phase(replica, phase, traffic, arguments.name)
            )
            starts_at += phase.seconds + SETTLE_SECONDS
        await trio.sleep(SETTLE_SECONDS)
        nursery.cancel_scope.cancel()
    return usage


def _process(arguments: _ProcessArguments) -> list[ResourceUsage]:
    return trio.run(_instance, arguments)


def free_addresses(names: tuple[str, ...]) -> dict[str, str]:
    """Return an address with a free local port for each name."""
    sockets: list[socket.socket] = []
    addresses = {}
    for name in names:
        bound_socket = socket.socket()
        bound_socket.bind(("127.0.0.1", 0))
        sockets.append(bound_socket)
        addresses[name] = f"127.0.0.1:{bound_socket.getsockname()[1]}"
    for bound_socket in sockets:
        bound_socket.close()
    return addresses


def measure(
    phases: tuple[Phase, ...],
    get_context: Callable[[str], multiprocessing.context.BaseContext] = (
        multiprocessing.get_context
    ),
) -> list[ResourceUsage]:
    """Run three replica processes through phases of load.

    Args:
        phases: The phases, in order.
        get_context: Returns the multiprocessing context that starts processes.

    Returns:
        The resources that each instance used in each phase.
    """
    addresses = free_addresses(NAMES)
    with tempfile.TemporaryDirectory() as folder:
        starts_at = time.time() + 2 * SETTLE_SECONDS
        all_arguments = [
            _ProcessArguments(name, addresses, folder, phases, starts_at)
            for name in NAMES
        ]
        with get_context("spawn").Pool(len(NAMES)) as pool:
            results = pool.map(_process, all_arguments, chunksize=1)
    return [each for usage in results for each in usage]
