"""Processor time of a leader's input and output, by operation.

    python -m turmerichall.benchmarks.control_io [--profile OPERATION]

The counterparts run in a process of their own, so that only the leader's side
is charged: its sessions with workers over HTTP, the handler of heartbeats, the
log, and the replication of the log to seven followers.  Each cost is the least
of several repeats.  The last column weighs it with the counts of a played day
of 50 s at 246 workers.  An entry is measured as if each end of a run had one of
its own, and an end as it is committed, together with others.  `--profile`
prints where one operation spends its time.
"""

import contextlib
import cProfile
import functools
import json
import os
import pathlib
import pstats
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import IO, NamedTuple, cast

import tabulate
import trio

from turmerichall.agreement import replica as replicas
from turmerichall.benchmarks import control_io_peers as peers
from turmerichall.dispatch import end_commits
from turmerichall.dispatch import leadership as leaderships
from turmerichall.dispatch import replica_daemon
from turmerichall.dispatch import run_state
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.outcomes import Refusal
from turmerichall.platform import control_requests
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.storage import files as storage_files
from turmerichall.telemetry import logs

__all__ = ["OPERATIONS", "measure"]

REPEATS = 5
# Sessions that call at the same time, and calls of each.
SESSIONS = 32
CALLS = 40
HEARTBEATS = 1500
LOG_LINES = 800
# Rate of the ends of runs, as on the played day.
ENDS_PER_SECOND = 430
REPLICATION_SECONDS = 3.0
FOLLOWERS = 7
# Longer than a stall of a busy machine.
LEADER_ELECTION_SECONDS = 3.0
SPEC = "x" * 200
# Later operations go on logging to the files of earlier ones.
_OPEN_FILES = contextlib.ExitStack()


class Operation(NamedTuple):
    """An operation of the leader that is measured.

    Attributes:
        measure: Returns its processor time in seconds, once.
        day_count: How often a played day has it.
    """

    measure: Callable[[], float]
    day_count: int


@contextlib.contextmanager
def _peer(*arguments: str) -> Iterator[str]:
    """Run a counterpart in a child process; yields the line that it prints."""
    command = [sys.executable, "-m", peers.__name__, *arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        try:
            assert child.stdout is not None
            yield child.stdout.readline().strip()
        finally:
            child.terminate()


def _make_leadership(cluster: fakes.FakeCluster) -> leaderships.Leadership:
    leader_api = cluster.leader_api
    leadership = leaderships.Leadership(
        cluster.replica,  # type: ignore[arg-type]
        cluster.queue_state,
        1,
        http_worker_client.HttpWorkerClient,
        leader_api.freshness,
        cluster.log,
        leader_api._durations,  # pylint: disable=protected-access
        leader_api._interference_model,  # pylint: disable=protected-access
        leader_api._metrics_registry,  # pylint: disable=protected-access
    )
    leader_api.leadership = leadership
    return leadership


def _step(task: str) -> demands.StepDemand:
    kind = task[14]
    return demands.StepDemand(
        4,
        cpu=1600,
        memory_mb=500,
        estimate_ms=60_000,
        image=kind,
        lasting=kind == "a",
        target_ms=18 if kind == "a" else 0,
        fills=kind == "b",
    )


def _make_session(
    leadership: leaderships.Leadership, number: int, address: str
) -> sessions.WorkerSession:
    """Return a session with a worker that runs what its counterpart lists."""
    record = changes.WorkerRecord(
        f"i-{number:08x}",
        f"m-{number}",
        address,
        "desk",
        "z",
        "r1",
        ("a", "r1"),
        16000,
        32768,
        0,
    )
    worker = worker_state.Worker(
        record, http_worker_client.HttpWorkerClient(record), 0.0
    )
    for name, _ in peers.RUNS:
        task = http_worker_client.task_from_wire(name)
        assert task is not None
        run = run_state.Run(task, 1, _step(name), "batch")
        run.phase = run_state.Phase.ORDERED
        run.start_spawned = True
        worker.add(run)
    return sessions.WorkerSession(leadership, worker)


Call = Callable[[sessions.WorkerSession, int], Awaitable[object]]


async def _poll(session: sessions.WorkerSession, _: int) -> None:
    await session._poll_once()  # pylint: disable=protected-access


async def _start(session: sessions.WorkerSession, number: int) -> None:
    task = changes.TaskName(f"{number:016x}", 0, 0, 0)
    run = run_state.Run(task, 1, _step("c" * 16), "batch")
    run.phase = run_state.Phase.ORDERED
    session.worker.add(run)
    await session.start(run, worker_client.Order(task, 1, SPEC))
    assert run.phase == run_state.Phase.RUNNING
    session.worker.remove(run)


async def _pace(session: sessions.WorkerSession, number: int) -> None:
    order = worker_client.Order(changes.TaskName("b" * 16, 0, 0, number), 1)
    result = await session.worker.client.pace(order, 50, 1)
    assert result.verdict == worker_client.Verdict.DONE


async def _repeat(call: Call, session: sessions.WorkerSession) -> None:
    for number in range(CALLS):
        await call(session, number)


async def _call_workers(call: Call, address: str) -> float:
    leadership = _make_leadership(fakes.FakeCluster())
    made = [
        _make_session(leadership, number, address) for number in range(SESSIONS)
    ]
    for session in made:
        # The first poll reads the worker's clock, the second lists its runs.
        await _poll(session, 0)
        await _poll(session, 0)
        assert session.worker.in_touch
    began = time.process_time()
    async with trio.open_nursery() as nursery:
        for session in made:
            nursery.start_soon(_repeat, call, session)
    spent = time.process_time() - began
    for session in made:
        session.worker.client.close()
    return spent / (SESSIONS * CALLS)


def _measure_calls(call: Call) -> float:
    with _peer("workers") as address:
        return trio.run(_call_workers, call, address)


async def _receive_heartbeats() -> float:
    cluster = fakes.FakeCluster()
    leadership = _make_leadership(cluster)
    for number in range(peers.WORKERS):
        body = json.dumps(peers.heartbeat(number, 0)).encode()
        heartbeat = control_requests.heartbeat_from_wire(
            f"i-{number:08x}", body
        )
        assert isinstance(heartbeat, worker_client.Heartbeat)
        record = heartbeat.worker
        cluster.replica.apply(changes.RegisterWorker(record))
        client = http_worker_client.HttpWorkerClient(record)
        leadership.workers[record.id] = worker_state.Worker(record, client, 0.0)
    control = server.Server(
        functools.partial(_answer_heartbeat, cluster),
        lambda: replica_daemon.CONTROL_LIMITS,
    )
    async with trio.open_nursery() as nursery:
        address = await nursery.start(control.run, "127.0.0.1:0")
        command = [sys.executable, "-m", peers.__name__, "heartbeats", address]
        began = time.process_time()
        await trio.run_process([*command, str(HEARTBEATS)])
        spent = time.process_time() - began
        nursery.cancel_scope.cancel()
    return spent / HEARTBEATS


async def _answer_heartbeat(
    cluster: fakes.FakeCluster, request: message.Request
) -> message.Response:
    answer = await control_requests.handle(
        cluster.leader_api, request, "127.0.0.1:8080", cluster.log
    )
    assert not isinstance(answer, Refusal)
    return answer


def _measure_log() -> float:
    target = _OPEN_FILES.enter_context(open(os.devnull, "w", encoding="utf-8"))
    stream = logs.NonBlockingStream(target, 10 * LOG_LINES)
    logs.configure(stream=cast(IO[str], stream), instance="replica-1")
    log = logs.Log("dispatch")
    began = time.process_time()
    for number in range(LOG_LINES):
        log.info("step done", job="a" * 16, occurrence=0, step=1, age_ms=number)
    stream.drain(10.0)
    return (time.process_time() - began) / LOG_LINES


def _free_addresses(count: int) -> list[str]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]


Commit = Callable[[changes.EndedRun], Awaitable[object]]


async def _commit_end(
    commit: Commit, number: int, latencies: list[float]
) -> None:
    began = trio.current_time()
    task = changes.TaskName(f"{number:016x}", 0, 1, 3)
    await commit(changes.EndedRun(task, 1, changes.Ending.DONE, ""))
    latencies.append(trio.current_time() - began)


async def _propose(replica: replicas.Replica, change: changes.Change) -> None:
    answer = await replica.propose_in_term(
        changes.encode(change), replica.leader_term(), 5.0
    )
    assert isinstance(answer, bytes), answer


async def _replicate(seeds: list[str], batched: bool) -> float:
    count = int(ENDS_PER_SECOND * REPLICATION_SECONDS)
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            replica = await peers.start_replica(
                nursery,
                seeds[0],
                seeds,
                storage_files.DiskFiles(pathlib.Path(folder)),
                replica_daemon.TIMING._replace(
                    election_seconds=LEADER_ELECTION_SECONDS
                ),
            )
            with trio.fail_after(30.0):
                while not replica.leader_term():
                    await trio.sleep(0.1)
            await trio.sleep(1.0)
            propose = functools.partial(_propose, replica)
            ends = end_commits.EndCommits(states.QueueState(), propose)
            nursery.start_soon(ends.run)
            latencies: list[float] = []
            began, spent = trio.current_time(), time.process_time()
            async with trio.open_nursery() as proposals:
                for number in range(count):
                    proposals.start_soon(
                        _commit_end,
                        (lambda row: ends.commit([row]))
                        if batched
                        else (lambda row: propose(changes.EndRuns((row,)))),
                        number,
                        latencies,
                    )
                    await trio.sleep_until(began + number / ENDS_PER_SECOND)
            spent = time.process_time() - spent
            median = statistics.median(latencies) * 1000
            print(f"median latency of a commit: {median:.1f} ms")
            nursery.cancel_scope.cancel()
    return spent / count


def _measure_replication(batched: bool) -> float:
    # The replica with the first name founds the cluster.
    seeds = sorted(_free_addresses(1 + FOLLOWERS))
    with _peer("followers", *seeds):
        return trio.run(_replicate, seeds, batched)


OPERATIONS = {
    "poll": Operation(functools.partial(_measure_calls, _poll), 41_300),
    "start": Operation(functools.partial(_measure_calls, _start), 21_400),
    "pace order": Operation(functools.partial(_measure_calls, _pace), 13_700),
    "heartbeat": Operation(lambda: trio.run(_receive_heartbeats), 11_200),
    "log line": Operation(_measure_log, 10_000),
    "entry": Operation(functools.partial(_measure_replication, False), 21_400),
    "end": Operation(functools.partial(_measure_replication, True), 21_400),
}


def measure(name: str, repeats: int = REPEATS) -> float:
    """Return the processor time of an operation in seconds; the least."""
    return min(OPERATIONS[name].measure() for _ in range(repeats))


def main() -> None:
    """Print the table, or the profile of one operation."""
    if sys.argv[1:2] == ["--profile"]:
        profile = cProfile.Profile()
        profile.runcall(OPERATIONS[sys.argv[2]].measure)
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)
        return
    rows = []
    for name in sys.argv[1:] or OPERATIONS:
        seconds, count = measure(name), OPERATIONS[name].day_count
        rows.append((name, seconds * 1e6, count, seconds * count))
    headers = ("operation", "processor us", "a day", "seconds a day")
    print(tabulate.tabulate(rows, headers, tablefmt="github", floatfmt=".1f"))


if __name__ == "__main__":
    main()
