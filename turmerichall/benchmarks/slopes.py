"""Costs of control operations, measured within one process.

Processor times are medians over rounds of repeated calls; the memory of an
object is the allocated size of many objects, divided by their number.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from turmerichall import documents
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory
from turmerichall.backend_servers import dissemination
from turmerichall.benchmarks import synthetic_state
from turmerichall.peers import network
from turmerichall.state import change as changes
from turmerichall.state import job_store
from turmerichall.state import machine as machines

__all__ = ["Slope", "measure"]

ROUNDS = 5
STARTS_PER_CHANGE = 16
OLDER_JOBS = 1000
MESSAGES = 1000
MESSAGE_BYTES = 2000


class Slope(NamedTuple):
    """The measured cost of one operation, object or message.

    Attributes:
        key: Short name, used by the capacity model.
        value: The cost.
        unit: "s" for seconds, "B" for bytes, "s/s" for a share of a core.
        what: The operation, object or message.
    """

    key: str
    value: float
    unit: str
    what: str


def median_processor_seconds(
    call: Callable[[int], object], repeats: int
) -> float:
    """Return the processor time of one call, in seconds.

    It is the median over rounds of the mean in each round.

    Args:
        call: Function to measure; its argument is the number of the call:
            1, 2 and so on.
        repeats: Number of calls in one round.
    """
    rounds = []
    number = 0
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(repeats):
            number += 1
            call(number)
        rounds.append((time.process_time() - started) / repeats)
    return statistics.median(rounds)


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the allocated size of the object that `build` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    allocated = build()
    gc.collect()
    allocated_size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del allocated
    return float(allocated_size)


def measure() -> list[Slope]:
    """Measure the costs in the capacity model that need no cluster."""
    return [
        trio.run(_scheduler_step),
        *_change_costs(),
        *_dissemination_costs(),
        trio.run(_peer_message),
        *_memory_costs(),
        *_snapshot_costs(),
    ]


async def _scheduler_step() -> Slope:
    zone = synthetic_state.populated_zone()
    started = time.process_time()
    steps = 20
    for _ in range(steps):
        await zone.scheduler.step()
    step = (time.process_time() - started) / steps
    return Slope(
        "placing_step",
        step,
        "s",
        f"one step of an authority with {synthetic_state.ZONE_WORKERS}"
        f" workers and {synthetic_state.WAITING_TASKS} waiting tasks that find"
        " no room",
    )


def _change_costs() -> list[Slope]:
    machine = synthetic_state.machine_with_waiting_jobs(
        jobs=200, tasks_per_job=100
    )
    names = list(machine.job_store.waiting)
    batch_size = STARTS_PER_CHANGE
    batches = [
        names[at : at + batch_size] for at in range(0, len(names), batch_size)
    ]
    starts = [
        changes.encode(synthetic_state.first_starts(batch)) for batch in batches
    ]
    ends = [
        changes.encode(synthetic_state.first_ends(batch)) for batch in batches
    ]
    repeats = len(batches) // ROUNDS

    def apply_seconds(encoded: list[bytes]) -> float:
        def apply(number: int) -> None:
            machine.apply(machine.applied_index + 1, encoded[number - 1])

        return median_processor_seconds(apply, repeats) / STARTS_PER_CHANGE

    def set_intention(number: int) -> None:
        machine.apply(
            machine.applied_index + 1,
            changes.encode(synthetic_state.intention_change(number)),
        )

    def renew(_: int) -> None:
        machine.apply(
            machine.applied_index + 1,
            changes.encode(synthetic_state.grant_renewal()),
        )

    batch_note = f"one of {STARTS_PER_CHANGE} in a change"
    return [
        Slope(
            "apply_start",
            apply_seconds(starts),
            "s",
            f"apply a start, {batch_note}",
        ),
        Slope(
            "apply_end",
            apply_seconds(ends),
            "s",
            f"apply an end, {batch_note}",
        ),
        Slope(
            "start_bytes",
            len(starts[0]) / STARTS_PER_CHANGE,
            "B",
            f"a start in the log, {batch_note}",
        ),
        Slope(
            "end_bytes",
            len(ends[0]) / STARTS_PER_CHANGE,
            "B",
            f"an end in the log, {batch_note}",
        ),
        Slope(
            "apply_change",
            median_processor_seconds(set_intention, 300),
            "s",
            "encode and apply a change of configuration",
        ),
        Slope(
            "apply_renewal",
            median_processor_seconds(renew, 300),
            "s",
            "encode and apply a renewal of a grant",
        ),
        Slope(
            "renewal_bytes",
            len(changes.encode(synthetic_state.grant_renewal())),
            "B",
            "a renewal of a grant in the log",
        ),
        Slope(
            "change_bytes",
            len(changes.encode(synthetic_state.customer_change())),
            "B",
            "a revision of a customer in the log",
        ),
    ]


def _dissemination_costs() -> list[Slope]:
    announced = synthetic_state.make_announcement(0, 1)
    run = time.time_ns()
    changed = dissemination.TableUpdate(
        run, 1, (dissemination.strip_for_routing(announced),)
    )
    heartbeat = dissemination.TableUpdate(run, 1)
    server_directory = directory.Directory(
        machines.StateMachine().configuration
    )

    def accept(number: int) -> None:
        server_directory.accept(
            synthetic_state.make_announcement(0, number), 0.0
        )

    return [
        Slope(
            "changed_bytes",
            len(msgspec.msgpack.encode(changed)),
            "B",
            "a change of one backend server, passed on",
        ),
        Slope(
            "heartbeat_bytes",
            len(msgspec.msgpack.encode(heartbeat)),
            "B",
            "a heartbeat between two instances",
        ),
        Slope(
            "directory_hear",
            median_processor_seconds(accept, 300),
            "s",
            "make an announcement and take it into the directory",
        ),
    ]


async def _peer_message() -> Slope:
    """Measure the processor time of a one-way message between two peers.

    It is the mean of the times of the sender and the receiver.
    """
    body = b"x" * MESSAGE_BYTES
    received = 0

    async def accept(_: str, __: bytes) -> None:
        nonlocal received
        received += 1

    sender = network.Network("a", b"key")
    receiver = network.Network("b", b"key")
    receiver.handle("kind", accept)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(receiver.run, "127.0.0.1:0")
        sender.addresses = {"b": address}
        await nursery.start(sender.run, "127.0.0.1:0")
        started = 0.0
        sent = 0
        while received < MESSAGES:
            if sender.send("b", "kind", body):
                started = started or time.process_time()
                sent += 1
            await trio.sleep(0.001)
        used = (time.process_time() - started) / sent
        nursery.cancel_scope.cancel()
    return Slope(
        "peer_message",
        used / 2,
        "s",
        f"send or take a message of {MESSAGE_BYTES} bytes between instances",
    )


def _memory_costs() -> list[Slope]:
    jobs = 200
    tasks = 20_000
    waiting = allocated_bytes(
        lambda: synthetic_state.machine_with_waiting_jobs(
            jobs=jobs, tasks_per_job=tasks // jobs
        )
    )
    single = allocated_bytes(
        lambda: synthetic_state.machine_with_waiting_jobs(
            jobs=jobs, tasks_per_job=1
        )
    )
    detailed = job_store.MAX_DETAILED_JOBS
    ended = allocated_bytes(
        lambda: synthetic_state.machine_with_ended_jobs(detailed, 100)
    )
    few = allocated_bytes(
        lambda: synthetic_state.machine_with_ended_jobs(detailed, 1)
    )
    older = allocated_bytes(
        lambda: synthetic_state.machine_with_ended_jobs(
            detailed + OLDER_JOBS, 1
        )
    )
    servers = 200

    def fill() -> directory.Directory:
        server_directory = directory.Directory(
            machines.StateMachine().configuration
        )
        for number in range(servers):
            body = documents.encode(
                synthetic_state.make_announcement(number, 1)
            )
            announced = documents.decode(body, announcement.Announcement)
            server_directory.accept(announced, 0.0)
        return server_directory

    per_task = (waiting - single) / (tasks - jobs)
    return [
        Slope("task_memory", per_task, "B", "a waiting task in memory"),
        Slope(
            "ended_task_memory",
            ended / detailed / 100,
            "B",
            "an ended task with its decisions in memory",
        ),
        Slope(
            "ended_job_memory",
            (older - few) / OLDER_JOBS,
            "B",
            "totals of a job that ended long ago in memory",
        ),
        Slope("job_memory", single / jobs, "B", "a job of one task in memory"),
        Slope(
            "server_memory",
            allocated_bytes(fill) / servers,
            "B",
            "a backend server in the directory",
        ),
    ]


def _snapshot_costs() -> list[Slope]:
    tasks = 10_000
    machine = synthetic_state.machine_with_waiting_jobs(
        jobs=100, tasks_per_job=tasks // 100
    )
    size = len(machine.snapshot())
    detailed = job_store.MAX_DETAILED_JOBS
    few = len(synthetic_state.machine_with_ended_jobs(detailed, 1).snapshot())
    older = len(
        synthetic_state.machine_with_ended_jobs(
            detailed + OLDER_JOBS, 1
        ).snapshot()
    )
    taken = median_processor_seconds(lambda _: machine.snapshot(), 2)
    return [
        Slope("snapshot_task", taken / tasks, "s", "a task in a snapshot"),
        Slope("snapshot_bytes", size / tasks, "B", "a task in a snapshot"),
        Slope(
            "snapshot_job_bytes",
            (older - few) / OLDER_JOBS,
            "B",
            "totals of a job that ended long ago in a snapshot",
        ),
    ]
