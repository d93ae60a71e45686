"""A small deployment of the scheduler, with stand-ins, on loopback addresses.

Three replicas and entry instances are the project's own program, started with
the command of the deploy file and with its templates filled in.  Workers are
processes of `worker.py`.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

import wire

__all__ = [
    "CouldNotRun",
    "Deployment",
    "HOST",
    "Process",
    "job_id",
    "main",
    "route",
    "wait_until",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-1", "zone-2", "zone-3")
HOST = "desk.example"
START_SECONDS = 25.0


class CouldNotRun(Exception):
    """The case can't run here."""


class Process:
    """A process that the test started.

    Attributes:
        name: Its name in the record.
        events: Lines that it wrote, decoded.
        process: The process; None before the start.
    """

    def __init__(self, deployment: "Deployment", name: str):
        self.name = name
        self.events: list[dict[str, Any]] = []
        self.process: asyncio.subprocess.Process | None = None
        self._deployment = deployment
        self._reader: asyncio.Task[None] | None = None

    async def start(
        self, command: list[str], environment: dict[str, str], cwd: pathlib.Path
    ) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=cwd,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            limit=1 << 22,
        )
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            try:
                event = json.loads(line)
            except ValueError:
                event = {"message": line.decode("utf-8", "replace").rstrip()}
            self.events.append(event)
            self._deployment.observe(self, event)

    def tell(self, word: str) -> None:
        """Write a line to its standard input."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(f"{word}\n".encode())

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it has not ended."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if self._reader is not None:
            await self._reader


class Deployment:
    """The deployment of one case.

    Attributes:
        record_path: File to which everything is written that was sent,
            answered and run.
        workers: Workers by name; a worker that starts again has a new id.
        replicas: The replicas.
        entries: The entry instances.
        queues: Path prefixes of the queues.
        on_event: Called for each line of a worker.
    """

    def __init__(self, record_path: pathlib.Path):
        self.record_path = record_path
        self._record = open(record_path, "w", encoding="utf-8")
        self._began = time.time()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.workers: dict[str, Process] = {}
        self.replicas: list[Process] = []
        self.entries: list[Process] = []
        self.on_event: list[Callable[[Process, dict[str, Any]], None]] = []
        self._options: dict[str, dict[str, Any]] = {}
        self._processes: list[Process] = []
        self._net = self._free_net()
        self.controls = [f"{self._net}.{n}:8166" for n in (11, 12, 13)]
        self._settings_of: dict[str, dict[str, str]] = {}

    # Record.

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the beginning."""
        self._record.write(f"{time.time() - self._began:9.3f} {text}\n")
        self._record.flush()

    def observe(self, process: Process, event: dict[str, Any]) -> None:
        """Take note of a line of a process."""
        if process.name.startswith("worker"):
            self.note(f"{process.name}: {json.dumps(event)}")
            for function in self.on_event:
                function(process, event)
        elif event.get("level") in ("warning", "error") or any(
            word in str(event.get("message"))
            for word in (
                "leader",
                "term",
                "worker",
                "job",
                "run",
                "start",
                "placed",
                "configuration",
            )
        ):
            kept = {
                key: value
                for key, value in event.items()
                if key
                not in ("task_uuid", "task_level", "timestamp", "message_type")
            }
            self.note(f"{process.name} log: {json.dumps(kept)[:600]}")

    # Addresses.

    @staticmethod
    def _free_net() -> str:
        for _ in range(50):
            net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
            try:
                for host, port in ((11, 8166), (11, 7720), (21, 8161)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            except OSError:
                continue
            return net
        raise CouldNotRun("no free loopback addresses")

    # The project's own programs.

    def _environment(self, settings: pathlib.Path) -> dict[str, str]:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TURMERICHALL_BOOT": str(settings),
            "TURMERICHALL_DISK_MB": "128",
            "TURMERICHALL_MEMORY_MB": "296",
        }
        return environment

    def _fill(self, template: str, values: dict[str, str]) -> str:
        text = (ROOT / template).read_text(encoding="utf-8")
        text = text.replace("{{#zones}}{{@}}{{,}}{{/zones}}", ",".join(ZONES))
        return re.sub(
            r"\{\{([a-z_.0-9]+)\}\}", lambda found: values[found[1]], text
        )

    async def start_role(
        self, role: str, name: str, host: int, zone: str, bootstrap: bool
    ) -> Process:
        """Start a process of a role of the deploy file."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            deploy = tomllib.load(file)["roles"][role]
        ip = f"{self._net}.{host}"
        data = self.folder / f"data-{name}"
        values = {
            "node_name": name,
            "zone": zone,
            "ip": ip,
            "listen.front": f"{ip}:8161",
            "listen.ready": f"{ip}:8167",
            "listen.control": f"{ip}:8166",
            "seeds": ",".join(self.controls),
            "internal_ports.0": "7720",
            "bootstrap": "true" if bootstrap else "false",
            "fault_tolerance.machines": "1",
            "bounds.grace_s": "6",
            "data_dir": str(data),
            "advice": "",
        }
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            self._fill(deploy["template"], values), encoding="utf-8"
        )
        process = Process(self, name)
        self._processes.append(process)
        self.note(f"start {name}: {deploy['run']}")
        await process.start(
            deploy["run"].split(), self._environment(settings), ROOT
        )
        return process

    async def start(self, entries: int = 1) -> None:
        """Start the replicas and the entry instances."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CouldNotRun("the build of the deploy file has not run")
        for number, zone in enumerate(ZONES):
            self.replicas.append(
                await self.start_role(
                    "replica", f"core-{number + 1}", 11 + number, zone, True
                )
            )
        for number in range(entries):
            self.entries.append(
                await self.start_role(
                    "entry",
                    f"edge-{number + 1}",
                    21 + number,
                    ZONES[number % 3],
                    True,
                )
            )

    def front(self, number: int = 0) -> str:
        """Address at which an entry instance takes clients' requests."""
        return f"{self._net}.{21 + number}:8161"

    # Workers.

    async def start_worker(self, name: str, **options: Any) -> Process:
        """Start a worker; or start it again, with a new id.

        Args:
            name: Its name in the record, which begins with `worker`.
            **options: Options that differ from those of its first start.
        """
        known = self._options.setdefault(
            name,
            {
                "address": f"{self._net}.{100 + len(self._options)}:8080",
                "machine": f"m-{secrets.token_hex(3)}",
                "zone": ZONES[len(self._options) % 3],
                "service": "desk",
                "labels": ["a", "r1-1"],
                "cpu": 16_000,
                "cpu_asked": 2_000,
                "controls": self.controls,
            },
        )
        known.update(options)
        known["id"] = f"i-{secrets.token_hex(4)}"
        process = Process(self, name)
        self.workers[name] = process
        self._processes.append(process)
        self.note(f"start {name}: id {known['id']} at {known['address']}")
        await process.start(
            [
                sys.executable,
                "-u",
                str(pathlib.Path(__file__).with_name("worker.py")),
                json.dumps(known),
            ],
            dict(os.environ),
            self.folder,
        )
        return process

    def options(self, name: str) -> dict[str, Any]:
        """Return the options of the latest life of a worker."""
        return self._options[name]

    # Operator and clients.

    async def configure(
        self, version: int, routes: list[dict[str, Any]], **fields: Any
    ) -> None:
        """Send a configuration until it is acknowledged.

        Raises:
            CouldNotRun: It was not acknowledged in time.
        """
        names = sorted({route["service"] for route in routes})
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": True,
                    "standby": False,
                }
                for name in names
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        } | fields
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            for control in self.controls:
                answer = await wire.call(
                    control,
                    "POST",
                    "/v1/config/replace",
                    "control",
                    document,
                    1.0,
                )
                status = answer.status if answer else None
                self.note(f"operator: version {version} to {control}: {status}")
                if status == 200:
                    return
            await asyncio.sleep(0.3)
        raise CouldNotRun("the configuration was not acknowledged")

    async def wait_ready(self) -> None:
        """Wait until the entry instances report that they are ready.

        Raises:
            CouldNotRun: They did not in time.
        """
        deadline = time.monotonic() + START_SECONDS
        for number in range(len(self.entries)):
            address = self.front(number).replace(":8161", ":8167")
            while True:
                answer = await wire.call(
                    address, "GET", "/v1/readyz", "ready", None, 1.0
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CouldNotRun("an entry instance is not ready")
                await asyncio.sleep(0.2)

    async def client(
        self,
        method: str,
        path: str,
        document: Any = None,
        entry: int = 0,
        timeout_seconds: float = 3.0,
    ) -> wire.Message | None:
        """Send a client's request once; return the response or None."""
        answer = await wire.call(
            self.front(entry),
            method,
            path,
            HOST,
            document,
            timeout_seconds,
            {"deadline": str(int(timeout_seconds * 1000))},
        )
        said = "no answer"
        if answer is not None:
            said = f"{answer.status} {answer.body.decode('latin-1')}"
        self.note(f"client: {method} {path} {json.dumps(document)}: {said}")
        return answer

    async def submit(self, path: str, document: Any) -> None:
        """Hand a job in until it is accepted.

        Raises:
            CouldNotRun: It was not accepted in time.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            answer = await self.client("POST", path, document)
            if answer is not None and answer.status // 100 == 2:
                return
            await asyncio.sleep(0.5)
        raise CouldNotRun("a job was not accepted")

    async def state(self, path: str) -> str:
        """Return the state of a job, or the status of another response."""
        answer = await self.client("GET", path)
        if answer is None:
            return "none"
        if answer.status != 200:
            return str(answer.status)
        return str(answer.document().get("state"))

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for process in self._processes:
            await process.end()
        self._folder.cleanup()
        self._record.close()


def job_id() -> str:
    """Return a new id of a job."""
    return secrets.token_hex(8)


def route(name: str, prefix: str, service: str, **fields: Any) -> Any:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": 2,
        "service": service,
        "max_attempts": 3,
        "stretch": 2.0,
    } | fields


async def wait_until(
    condition: Callable[[], bool], seconds: float, step: float = 0.02
) -> bool:
    """Wait until a condition holds; return whether it came to hold."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(step)
    return True


def main(
    folder: pathlib.Path,
    play: Callable[[Deployment, bool], Awaitable[str]],
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if neither.

    Args:
        folder: Folder of the case, to which the record is written.
        play: Plays the case, with or without the disruption, and returns what
            broke the rule; an empty text if nothing did.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        deployment = Deployment(folder / "record.txt")
        try:
            async with asyncio.timeout(110):
                broken = await play(deployment, trouble)
            deployment.note(f"result: {broken or 'the rule held'}")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (CouldNotRun, TimeoutError, OSError) as error:
            deployment.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.close()

    try:
        status = asyncio.run(run())
    except CouldNotRun as error:
        print(f"could not run: {error}")
        status = 2
    sys.exit(status)
