"""Tests of replica processes that are killed or paused by signals."""

import itertools
import json
import pathlib
import signal
import subprocess
import sys

import pytest
import trio

from turmerichall import outcomes
from turmerichall.agreement.tests import instance
from turmerichall.benchmarks import state_cluster
from turmerichall.peers import link
from turmerichall.peers import network

LIMIT_SECONDS = 60.0
CALL_SECONDS = 5.0
WRITES = 200
WRITERS = 40
RETRY_SECONDS = 0.02


class _Processes:
    """Three replica processes and a client."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.addresses = state_cluster.free_addresses(state_cluster.NAMES)
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.client = network.Network("client", instance.KEY, self.addresses)

    def start(self, name: str) -> None:
        """Start a replica with the data folder that it had before, if any."""
        module = "turmerichall.agreement.tests.instance"
        folder = str(self.folder / name)
        addresses = json.dumps(self.addresses)
        command = [sys.executable, "-m", module, name, folder, addresses]
        process = subprocess.Popen(command)  # pylint: disable=consider-using-with
        self.running[name] = process

    def signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def stop(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()

    async def ask(self, name: str, kind: str, body: bytes = b"") -> bytes:
        """Call an instance; return the answer, empty after a refusal."""
        answer = await self.client.call(name, kind, body, CALL_SECONDS)
        return b"" if isinstance(answer, outcomes.Refusal) else answer

    async def wait_for_leader(self, among: list[str]) -> str:
        """Wait until a given instance reports one of them as leader."""
        with trio.fail_after(LIMIT_SECONDS):
            while True:
                for name in among:
                    found = (await self.ask(name, "leader")).decode()
                    if found in among:
                        return found
                await trio.sleep(0.02)

    async def put(self, name: str, change: bytes) -> None:
        """Propose a change until it is accepted."""
        with trio.fail_after(LIMIT_SECONDS):
            while await self.ask(name, "put", change) != b"ok":
                await trio.sleep(0.02)

    async def read(self, name: str, key: bytes) -> bytes:
        """Read a key until the read succeeds."""
        with trio.fail_after(LIMIT_SECONDS):
            while not (value := await self.ask(name, "read", key)):
                await trio.sleep(0.02)
        return value


async def _start_processes(processes: _Processes, nursery: trio.Nursery) -> str:
    await nursery.start(processes.client.run, "127.0.0.1:0")
    for name in state_cluster.NAMES:
        processes.start(name)
    return await processes.wait_for_leader(list(state_cluster.NAMES))


@pytest.fixture(name="processes")
def fixture_processes(tmp_path: pathlib.Path):  # type: ignore[no-untyped-def]
    """Provide processes that are killed at the end of the test."""
    processes = _Processes(tmp_path)
    yield processes
    processes.stop()


class TestKill:

    @pytest.mark.parametrize("victim", ["leader", "follower"])
    async def test_accepted_writes_survive(
        self, processes: _Processes, nursery: trio.Nursery, victim: str
    ) -> None:
        leader = await _start_processes(processes, nursery)
        others = [name for name in state_cluster.NAMES if name != leader]
        killed = leader if victim == "leader" else others[0]
        accepted: list[int] = []

        async def write(first: int) -> None:
            for number in itertools.count(first, WRITERS):
                change = f"k{number}=1".encode()
                if await processes.ask(others[1], "put", change) == b"ok":
                    accepted.append(number)
                else:
                    await trio.sleep(RETRY_SECONDS)
                if len(accepted) >= WRITES:
                    return

        with trio.fail_after(LIMIT_SECONDS):
            async with trio.open_nursery() as writing:
                for first in range(WRITERS):
                    writing.start_soon(write, first)
                while len(accepted) < WRITES // 2:
                    await trio.sleep(0.002)
                processes.signal(killed, signal.SIGKILL)
        processes.running[killed].wait()
        processes.start(killed)
        await processes.put(others[1], b"last=1")
        for name in state_cluster.NAMES:
            for number in accepted:
                key = f"k{number}".encode()
                assert await processes.read(name, key) == b"1"


class TestPause:

    @pytest.mark.parametrize(
        "seconds", [3.0, link.RECEIVE_TIMEOUT_SECONDS + 1.0]
    )
    async def test_resumed_leader_gives_no_stale_answer(
        self, processes: _Processes, nursery: trio.Nursery, seconds: float
    ) -> None:
        old = await _start_processes(processes, nursery)
        rest = [name for name in state_cluster.NAMES if name != old]
        await processes.put(old, b"k=old")
        answers: list[bytes] = []
        processes.signal(old, signal.SIGSTOP)
        paused_at = trio.current_time()
        new = await processes.wait_for_leader(rest)
        await processes.put(new, b"k=new")

        async def read() -> None:
            # Stays in the socket buffer until the process is resumed.
            answers.append(await processes.ask(old, "read", b"k"))

        async with trio.open_nursery() as reading:
            await trio.sleep_until(paused_at + seconds)
            for _ in range(20):
                reading.start_soon(read)
            await trio.sleep(0.05)
            processes.signal(old, signal.SIGCONT)
        assert set(answers) <= {b"", b"new"}
        assert await processes.read(old, b"k") == b"new"
