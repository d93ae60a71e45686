"""Three replicas and an entry instance as processes on loopback addresses."""

import pathlib
import signal
import subprocess
import sys
from typing import NamedTuple

import trio

__all__ = ["Deployment", "End", "Program"]

RESTART_SECONDS = 0.5
WATCH_SECONDS = 0.1
MAX_LINES = 20
MAX_LINE_CHARS = 400
KEY = "key-of-the-fuzzed-instances"
CONTROL_PORT, PEER_PORT, METRICS_PORT = 8166, 7720, 9101
CLIENT_PORT, READY_PORT = 8161, 8167


class End(NamedTuple):
    """An end of a process that nobody asked for.

    Attributes:
        name: Name of the instance.
        status: Exit status.
        at_seconds: Time since the start of the deployment.
        lines: Last lines of its log.
    """

    name: str
    status: int
    at_seconds: float
    lines: list[str]


class Program:
    """One instance, which is started again after it ends.

    Attributes:
        name: Name of the instance.
        host: Its loopback address.
        ports: Ports on which it listens.
        process: The running process; None before the start.
        peak_mb: Highest resident memory seen, in MB.
        tree: Folder of the source that it runs; None for this one.
        settings: Further settings for that source.
        is_replaced: Whether its process was told to end, for another one.
    """

    def __init__(self, name: str, host: str, ports: tuple[int, ...]):
        self.name = name
        self.host = host
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None
        self.peak_mb = 0.0
        self.tree: pathlib.Path | None = None
        self.settings = ""
        self.is_replaced = False

    def replace(
        self, tree: pathlib.Path | None, settings: str, number: signal.Signals
    ) -> None:
        """End the process, so that one of another source follows it."""
        self.tree, self.settings, self.is_replaced = tree, settings, True
        if self.process is not None:
            self.process.send_signal(number)

    def measure(self) -> None:
        """Update the highest resident memory."""
        if self.process is None:
            return
        try:
            path = pathlib.Path(f"/proc/{self.process.pid}/statm")
            pages = int(path.read_text(encoding="ascii").split()[1])
        except (OSError, IndexError):
            # The process has just ended.
            return
        self.peak_mb = max(self.peak_mb, pages * 4096 / 1e6)


class Deployment:
    """The instances, with their settings, data and logs in one folder.

    Attributes:
        folder: The folder.
        replicas: The replicas.
        entries: The entry instances.
        ends: Ends of processes that nobody asked for.
    """

    def __init__(self, folder: pathlib.Path, network: str, entries: int = 1):
        """Create a deployment.

        Args:
            folder: An empty folder.
            network: First three numbers of the addresses, such as `127.9.8`.
            entries: Number of entry instances.
        """
        self.folder = folder
        self.replicas = [
            Program(
                f"replica-{number}",
                f"{network}.{number}",
                (CONTROL_PORT, PEER_PORT, METRICS_PORT),
            )
            for number in (1, 2, 3)
        ]
        self.entries = [
            Program(
                f"entry-{number}",
                f"{network}.{8 + number}",
                (CLIENT_PORT, READY_PORT, METRICS_PORT),
            )
            for number in range(1, entries + 1)
        ]
        self.ends: list[End] = []
        self._began_at = trio.current_time()

    @property
    def entry(self) -> Program:
        """The first entry instance."""
        return self.entries[0]

    @property
    def programs(self) -> list[Program]:
        """All instances."""
        return [*self.replicas, *self.entries]

    async def run(self) -> None:
        """Run the instances until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                for program in self.programs:
                    nursery.start_soon(self._keep, program)
        finally:
            for program in self.programs:
                if program.process is not None:
                    program.process.kill()
                    program.process.wait()

    async def _keep(self, program: Program) -> None:
        while True:
            self._start(program)
            process = program.process
            assert process is not None
            while process.poll() is None:
                program.measure()
                await trio.sleep(WATCH_SECONDS)
            if program.is_replaced:
                program.is_replaced = False
                continue
            elapsed = trio.current_time() - self._began_at
            lines = self._last_lines(program)
            self.ends.append(
                End(program.name, process.returncode, elapsed, lines)
            )
            await trio.sleep(RESTART_SECONDS)

    def _start(self, program: Program) -> None:
        settings = self.folder / f"{program.name}.ini"
        text = self._settings(program) + program.settings
        settings.write_text(text, encoding="utf-8")
        with open(self.folder / f"{program.name}.log", "ab") as log:
            # The process outlives this call.
            # pylint: disable-next=consider-using-with
            program.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "turmerichall.queue_daemon",
                    str(settings),
                ],
                cwd=program.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self, program: Program) -> str:
        host = program.host
        seeds = ",".join(each.host for each in self.replicas)
        common = f"""
[replicas]
seeds = {seeds}
port = {PEER_PORT}
key = {KEY}
"""
        if program in self.entries:
            return f"""[instance]
name = {program.name}
zone = z
role = entry

[listen]
clients = {host}:{CLIENT_PORT}
ready = {host}:{READY_PORT}
metrics = {host}:{METRICS_PORT}
{common}"""
        return f"""[instance]
name = {program.name}
zone = z
role = replica
data_folder = {self.folder / program.name}

[listen]
control = {host}:{CONTROL_PORT}
peers = {host}:{PEER_PORT}
metrics = {host}:{METRICS_PORT}
{common}bootstrap = true
"""

    def _last_lines(self, program: Program) -> list[str]:
        path = self.folder / f"{program.name}.log"
        text = path.read_text(encoding="utf-8", errors="replace")
        lines = text.splitlines()[-MAX_LINES:]
        return [line[:MAX_LINE_CHARS] for line in lines]
