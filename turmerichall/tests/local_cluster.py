"""A cluster of daemons and stand-in workers as local processes."""

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
START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.1
PORT_RANGE = (10_000, 32_000)
PORTS_PER_BLOCK = 200


class Instance(NamedTuple):
    """An entry instance and its listening addresses, as `host:port`.

    Attributes:
        name: Name of the instance.
        zone: Availability zone.
        callers: Address for callers.
        operators: Address for operators and workers.
        peers: Address for the other instances.
        disk: Whether the instance has a data folder.
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
        folder: Folder of settings, data, logs and audit trails.
        extra_settings: Text appended to the settings file of each instance.
        instances: Entry instances by name.
        processes: Running processes by name of the instance or worker.
        workers: Addresses of workers by name, as `host:port`.
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
        """Write the settings file of an instance and return its path."""
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
        """Start daemons and workers and wait until the daemons are ready."""
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
        """Start the daemon of an instance."""
        path = self.write_settings(self.instances[name])
        command = [sys.executable, "-m", "turmerichall.daemon", str(path)]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(  # pylint: disable=consider-using-with
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def start_worker(
        self, name: str, zone: str, rack: str, *extra_arguments: str
    ) -> str:
        """Start a stand-in worker.

        Args:
            name: Name of the worker.
            zone: Availability zone of the worker.
            rack: Rack of the worker.
            *extra_arguments: Further command-line arguments of the stand-in.

        Returns:
            The address that the worker listens on, as `host:port`.
        """
        entries = self._operator_addresses(zone)
        command = [sys.executable, "-m", "turmerichall.tests.standins.worker"]
        command += ["--name", name, "--zone", zone, "--rack", rack]
        command += ["--entries", entries, "--key", WORKERS_KEY]
        command += [
            "--ledger",
            str(self.folder / f"{name}.trail"),
            *extra_arguments,
        ]
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(  # pylint: disable=consider-using-with
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self.processes[name] = process
        assert process.stdout is not None
        with trio.fail_after(START_TIMEOUT_SECONDS):
            line = await trio.to_thread.run_sync(process.stdout.readline)
        address: str = msgspec.json.decode(line)["address"]
        self.workers[name] = address
        return address

    def _operator_addresses(self, zone: str) -> str:
        own = [i for i in self.instances.values() if i.zone == zone]
        others = [i for i in self.instances.values() if i.zone != zone]
        return ",".join(i.operators for i in own + others)

    async def wait_ready(self, name: str) -> None:
        """Wait until the readiness check of an instance succeeds."""
        address = self.instances[name].operators
        with trio.fail_after(START_TIMEOUT_SECONDS):
            while await _get_status(f"http://{address}/readyz") != 200:
                assert (
                    self.processes[name].poll() is None
                ), f"{name} exited before it was ready"
                await trio.sleep(POLL_SECONDS)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    async def stop(self, name: str, number: int = signal.SIGTERM) -> int:
        """Signal a process to stop and return its exit code.

        It is killed if it has not exited within `STOP_TIMEOUT_SECONDS`.
        """
        process = self.processes.pop(name)
        process.send_signal(number)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while process.poll() is None:
                await trio.sleep(POLL_SECONDS)
        if process.poll() is None:
            process.kill()
        return await trio.to_thread.run_sync(process.wait)

    def kill_all(self) -> None:
        """Kill all running processes, including those paused by SIGSTOP."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes.clear()

    def cli_environment(self) -> dict[str, str]:
        """Return the environment variables for the operators' command line."""
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
        """Run the operators' command line.

        Args:
            *arguments: Arguments of the command line.

        Returns:
            The exit code and the output, standard output before errors.
        """
        completed = await trio.run_process(
            [sys.executable, "-m", "turmerichall.cli", *arguments],
            env=self.cli_environment(),
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        return (
            completed.returncode,
            (completed.stdout + completed.stderr).decode(),
        )


class _PortAllocator:
    """Allocator of ports that test processes on one machine never share.

    The ports lie below the range of ephemeral ports, so that no outgoing
    connection occupies one before a server listens on it.  A process claims a
    block of ports by keeping the first one bound until the process ends.

    Attributes:
        claimed: Sockets bound to the first ports of claimed blocks.
        unused: Ports of the last claimed block not yet allocated.
    """

    def __init__(self) -> None:
        self.claimed: list[socket.socket] = []
        self.unused: list[int] = []

    def allocate(self) -> int:
        """Return a free port that was not allocated before."""
        while True:
            if not self.unused:
                self._claim_block()
            port = self.unused.pop()
            bound_socket = _try_bind(port)
            if bound_socket is not None:
                bound_socket.close()
                return port

    def _claim_block(self) -> None:
        starts = list(range(*PORT_RANGE, PORTS_PER_BLOCK))
        offset = os.getpid() % len(starts)
        for start in starts[offset:] + starts[:offset]:
            bound_socket = _try_bind(start)
            if bound_socket is not None:
                self.claimed.append(bound_socket)
                self.unused = list(range(start + 1, start + PORTS_PER_BLOCK))
                return
        raise RuntimeError("all blocks of ports are claimed by other processes")


_PORT_ALLOCATOR = _PortAllocator()


def _try_bind(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None if the port is in use."""
    bound_socket = socket.socket()
    try:
        bound_socket.bind(("127.0.0.1", port))
    except OSError:
        bound_socket.close()
        return None
    return bound_socket


def free_ports(count: int) -> list[int]:
    """Return free ports that no other test process is given."""
    return [_PORT_ALLOCATOR.allocate() for _ in range(count)]


async def _get_status(url: str) -> int:
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
