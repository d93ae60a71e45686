"""Measures what each piece of control work costs, in one process.

Processor times are medians over rounds of a loop; memory is what the
allocator holds for a number of objects, divided by that number.
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
    """One measured cost.

    Attributes:
        key: Short name, used by the capacity model.
        value: The cost.
        unit: Its unit.
        what: What it is the cost of.
    """

    key: str
    value: float
    unit: str
    what: str


def median_processor_seconds(
    call: Callable[[int], object], repeats: int
) -> float:
    """Returns the median processor time of one call, in seconds.

    Args:
        call: Called with a number that grows with each call.
        repeats: Calls in one round.
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


def allocated_bytes(make: Callable[[], object]) -> float:
    """Returns how many bytes stay allocated for what `make` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del made
    return float(held)


def measure() -> list[Slope]:
    """Measures every slope of the capacity model that needs no cluster."""
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
    width = STARTS_PER_CHANGE
    batches = [names[at : at + width] for at in range(0, len(names), width)]
    starts = [
        changes.encode(synthetic_state.first_starts(batch)) for batch in batches
    ]
    ends = [
        changes.encode(synthetic_state.first_ends(batch)) for batch in batches
    ]
    repeats = len(batches) // ROUNDS

    def apply_of(encoded: list[bytes]) -> float:
        def apply(number: int) -> None:
            machine.apply(machine.applied_index + 1, encoded[number - 1])

        return median_processor_seconds(apply, repeats) / STARTS_PER_CHANGE

    def intend(number: int) -> None:
        machine.apply(
            machine.applied_index + 1,
            changes.encode(synthetic_state.intention_change(number)),
        )

    def renew(_: int) -> None:
        machine.apply(
            machine.applied_index + 1,
            changes.encode(synthetic_state.grant_renewal()),
        )

    per = f"one of {STARTS_PER_CHANGE} in a change"
    return [
        Slope("apply_start", apply_of(starts), "s", f"apply a start, {per}"),
        Slope("apply_end", apply_of(ends), "s", f"apply an end, {per}"),
        Slope(
            "start_bytes",
            len(starts[0]) / STARTS_PER_CHANGE,
            "B",
            f"a start in the log, {per}",
        ),
        Slope(
            "end_bytes",
            len(ends[0]) / STARTS_PER_CHANGE,
            "B",
            f"an end in the log, {per}",
        ),
        Slope(
            "apply_change",
            median_processor_seconds(intend, 300),
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
    told = synthetic_state.make_announcement(0, 1)
    run = time.time_ns()
    changed = dissemination.TableUpdate(
        run, 1, (dissemination.strip_for_routing(told),)
    )
    beat = dissemination.TableUpdate(run, 1)
    known = directory.Directory(machines.StateMachine().configuration)

    def hear(number: int) -> None:
        known.accept(synthetic_state.make_announcement(0, number), 0.0)

    return [
        Slope(
            "changed_bytes",
            len(msgspec.msgpack.encode(changed)),
            "B",
            "a change of one backend server, passed on",
        ),
        Slope(
            "heartbeat_bytes",
            len(msgspec.msgpack.encode(beat)),
            "B",
            "a heartbeat between two instances",
        ),
        Slope(
            "directory_hear",
            median_processor_seconds(hear, 300),
            "s",
            "make an announcement and take it into the directory",
        ),
    ]


async def _peer_message() -> Slope:
    """Measures one-way messages between two instances, both ends of them."""
    body = b"x" * MESSAGE_BYTES
    heard = 0

    async def hear(_: str, __: bytes) -> None:
        nonlocal heard
        heard += 1

    sender = network.Network("a", b"key")
    receiver = network.Network("b", b"key")
    receiver.handle("kind", hear)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(receiver.run, "127.0.0.1:0")
        sender.addresses = {"b": address}
        await nursery.start(sender.run, "127.0.0.1:0")
        started = 0.0
        sent = 0
        while heard < MESSAGES:
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
        known = directory.Directory(machines.StateMachine().configuration)
        for number in range(servers):
            body = documents.encode(
                synthetic_state.make_announcement(number, 1)
            )
            told = documents.decode(body, announcement.Announcement)
            known.accept(told, 0.0)
        return known

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
