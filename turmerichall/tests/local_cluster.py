"""Starts daemons and stand-in workers as processes on this machine."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import NamedTuple

import httpcore
import msgspec
import trio

__all__ = ["Instance", "LocalCluster", "free_ports"]

CLUSTER_KEY = "cluster-key-of-local-processes"
OPERATORS_KEY = "operators-key-of-local-processes"
WORKERS_KEY = "workers-key-of-local-processes"
START_SECONDS = 60.0
STOP_SECONDS = 60.0
POLL_SECONDS = 0.1
PORTS = (10_000, 32_000)
PORTS_IN_RANGE = 200


class Instance(NamedTuple):
    """One entry instance and where it listens.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        callers: Address for callers, `host:port`.
        operators: Address for operators and workers.
        peers: Address for the other instances.
        disk: Whether it has a data folder.
    """

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    disk: bool = True


class LocalCluster:
    """A cluster on loopback addresses.

    Attributes:
        folder: Holds settings, data, logs and audit trails.
        instances: Entry instances by name.
        processes: Running processes by name of the instance or worker.
        workers: Addresses of workers by name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        zones: tuple[str, ...] = ("z1", "z2", "z3"),
        extra_settings: str = "",
    ):
        self.folder = folder
        self.extra_settings = extra_settings
        ports = iter(free_ports(3 * len(zones)))
        self.instances = {}
        for number, zone in enumerate(zones, 1):
            name = f"i{number}"
            callers, operators, peers = (
                f"127.0.0.1:{next(ports)}" for _ in range(3)
            )
            self.instances[name] = Instance(
                name, zone, callers, operators, peers
            )
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: dict[str, str] = {}

    def write_settings(self, instance: Instance) -> pathlib.Path:
        """Writes the settings file of an instance and returns its path."""
        seeds = ", ".join(
            f"{other.name}@{other.peers}"
            for other in self.instances.values()
            if other.name != instance.name
        )
        data = self.folder / f"data-{instance.name}"
        disk = f"data_folder = {data}" if instance.disk else ""
        path = self.folder / f"{instance.name}.ini"
        path.write_text(
            f"[instance]\nname = {instance.name}\nregion = r1\n"
            f"zone = {instance.zone}\n{disk}\n"
            f"[listen]\ncallers = {instance.callers}\n"
            f"operators = {instance.operators}\npeers = {instance.peers}\n"
            f"[peers]\nseeds = {seeds}\nbootstrap = true\n"
            f"[keys]\ncluster = {CLUSTER_KEY}\noperators = {OPERATORS_KEY}\n"
            f"workers = {WORKERS_KEY}\n{self.extra_settings}"
        )
        return path

    async def start(self, workers_per_zone: int = 2) -> None:
        """Starts every daemon and worker, and waits until all are ready."""
        for instance in self.instances.values():
            self.start_daemon(instance.name)
        number = 0
        for instance in self.instances.values():
            for rack in range(workers_per_zone):
                number += 1
                await self.start_worker(
                    f"w{number}", instance.zone, f"{instance.zone}-r{rack}"
                )
        for name in self.instances:
            await self.wait_ready(name)

    def start_daemon(self, name: str) -> None:
        """Starts the daemon of an instance."""
        path = self.write_settings(self.instances[name])
        command = [sys.executable, "-m", "turmerichall.daemon", str(path)]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(  # pylint: disable=consider-using-with
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def start_worker(
        self, name: str, zone: str, rack: str, *more: str
    ) -> str:
        """Starts a stand-in worker.

        Args:
            name: Name of the worker.
            zone: Its availability zone.
            rack: Its rack.
            *more: Further arguments of the stand-in.

        Returns:
            The address that it listens on.
        """
        entries = self._entries_of(zone)
        command = [sys.executable, "-m", "turmerichall.tests.standins.worker"]
        command += ["--name", name, "--zone", zone, "--rack", rack]
        command += ["--entries", entries, "--key", WORKERS_KEY]
        command += ["--ledger", str(self.folder / f"{name}.trail"), *more]
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(  # pylint: disable=consider-using-with
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self.processes[name] = process
        assert process.stdout is not None
        with trio.fail_after(START_SECONDS):
            line = await trio.to_thread.run_sync(process.stdout.readline)
        address: str = msgspec.json.decode(line)["address"]
        self.workers[name] = address
        return address

    def _entries_of(self, zone: str) -> str:
        own = [i for i in self.instances.values() if i.zone == zone]
        others = [i for i in self.instances.values() if i.zone != zone]
        return ",".join(i.operators for i in own + others)

    async def wait_ready(self, name: str) -> None:
        """Waits until an instance says that it may be sent requests."""
        address = self.instances[name].operators
        with trio.fail_after(START_SECONDS):
            while await _status(f"http://{address}/readyz") != 200:
                assert self.processes[name].poll() is None, f"{name} ended"
                await trio.sleep(POLL_SECONDS)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    async def stop(self, name: str, number: int = signal.SIGTERM) -> int:
        """Stops a process and returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(number)
        with trio.move_on_after(STOP_SECONDS):
            while process.poll() is None:
                await trio.sleep(POLL_SECONDS)
        if process.poll() is None:
            process.kill()
        return await trio.to_thread.run_sync(process.wait)

    def kill_all(self) -> None:
        """Ends every process that is left, frozen ones included."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes.clear()

    def cli_environment(self) -> dict[str, str]:
        """Returns the environment for the operators' command line."""
        servers = [i.operators for i in self.instances.values()]
        return {
            **os.environ,
            "TURMERICHALL_SERVERS": ",".join(servers),
            "TURMERICHALL_KEY": OPERATORS_KEY,
            "TURMERICHALL_CALLERS": ",".join(
                i.callers for i in self.instances.values()
            ),
        }

    async def run_cli(self, *arguments: str) -> tuple[int, str]:
        """Runs the operators' command line.

        Args:
            *arguments: Its arguments.

        Returns:
            Its exit code and what it printed.
        """
        done = await trio.run_process(
            [sys.executable, "-m", "turmerichall.cli", *arguments],
            env=self.cli_environment(),
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        return done.returncode, (done.stdout + done.stderr).decode()


class _Ports:
    """Ports that no other process on this machine gives out.

    They lie below those that the system gives to outgoing connections, so
    that none of these takes one before it is listened on.  The first port of a
    range is held for the life of the process, which claims the others.

    Attributes:
        held: Sockets that hold the first ports of claimed ranges.
        unused: Ports of the claimed range that were not given out.
    """

    def __init__(self) -> None:
        self.held: list[socket.socket] = []
        self.unused: list[int] = []

    def take(self) -> int:
        """Returns a port that was not given out before and is free."""
        while True:
            if not self.unused:
                self._claim()
            port = self.unused.pop()
            holder = _bound(port)
            if holder is not None:
                holder.close()
                return port

    def _claim(self) -> None:
        starts = list(range(*PORTS, PORTS_IN_RANGE))
        first = os.getpid() % len(starts)
        for start in starts[first:] + starts[:first]:
            holder = _bound(start)
            if holder is not None:
                self.held.append(holder)
                self.unused = list(range(start + 1, start + PORTS_IN_RANGE))
                return
        raise RuntimeError("every range of ports is claimed")


_PORTS = _Ports()


def _bound(port: int) -> socket.socket | None:
    """Returns a socket that holds a port, or None if it is taken."""
    made = socket.socket()
    try:
        made.bind(("127.0.0.1", port))
    except OSError:
        made.close()
        return None
    return made


def free_ports(count: int) -> list[int]:
    """Returns ports that are free and that nobody else is given."""
    return [_PORTS.take() for _ in range(count)]


async def _status(url: str) -> int:
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            with trio.fail_after(2.0):
                response = await pool.request("GET", url)
            return response.status
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        trio.TooSlowError,
    ):
        return 0
