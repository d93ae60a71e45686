"""A small deployment on loopback addresses, for the scripts of the review.

It starts the project's programs with the commands and templates of the deploy
file, and plays the platform, the operator and the clients.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
WORKER = pathlib.Path(__file__).resolve().parent / "worker.py"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ("kingston-hall", "portmore-hall", "spanish-town")
HOST = "nony24.example"
# Bounds of the site, in seconds or ms as their names say.
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "recovery_s": 12,
    "max_hold_ms": 10000,
    "finish_s": 14,
    "catch_up_s": 4,
}
HEARTBEAT_MS = 1100
CONTROL_PORT, PEER_PORT, METRICS_PORT = 8166, 7720, 9101
FRONT_PORT, READY_PORT = 8161, 8167
# Time after which the platform starts a process again that has ended.
RESTART_SECONDS = 0.5


class CouldNotRun(Exception):
    """The case could not be played."""


class Program:
    """One process of the project, and its machine.

    Attributes:
        name: Name of the machine.
        ip: Its address.
        role: `replica` or `entry`.
        process: The process; None while the machine is down.
        keep: Whether the platform starts the process again if it ends.
        ends: Times and exit codes of ends that the platform did not cause.
    """

    def __init__(self, lab: "Lab", name: str, ip: str, role: str, zone: str):
        self.lab = lab
        self.name = name
        self.ip = ip
        self.role = role
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.keep = False
        self.ends: list[tuple[float, int]] = []
        self.data = lab.folder / f"data-{name}"

    @property
    def control(self) -> str:
        """Address for workers and operators."""
        return f"{self.ip}:{CONTROL_PORT}"

    def settings(self, seeds: list[str], bootstrap: bool) -> pathlib.Path:
        """Write the settings file from the template; return its path."""
        lab = self.lab
        fields: dict[str, Any] = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "data_dir": str(self.data),
            "seeds": ",".join(seeds),
            "bootstrap": "true" if bootstrap else "false",
            "internal_ports.0": str(PEER_PORT),
            "listen.control": f"{self.ip}:{CONTROL_PORT}",
            "listen.front": f"{self.ip}:{FRONT_PORT}",
            "listen.ready": f"{self.ip}:{READY_PORT}",
            "fault_tolerance.machines": "1",
            "bounds.grace_s": str(BOUNDS["grace_s"]),
            "advice": "",
        }
        role = lab.deploy["roles"][self.role]
        text = (ROOT / role["template"]).read_text()
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", ",".join(ZONES), text)
        text = re.sub(
            r"\{\{([a-z_0-9.]+)\}\}", lambda match: fields[match[1]], text
        )
        path = lab.folder / f"{self.name}.ini"
        path.write_text(text)
        return path

    def start(self, seeds: list[str], bootstrap: bool = False) -> None:
        """Start the process; it is started again if it ends by itself."""
        path = self.settings(seeds, bootstrap)
        if self.role == "replica":
            self.data.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TURMERICHALL_BOOT": str(path),
        }
        command = self.lab.deploy["roles"][self.role]["run"].split()
        log = open(self.lab.folder / f"{self.name}.log", "ab")
        with log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.lab.note(f"{self.name} starts ({self.ip}, {self.role})")
        if not self.keep:
            self.keep = True
            threading.Thread(
                target=self._watch, args=(seeds,), daemon=True
            ).start()

    def _watch(self, seeds: list[str]) -> None:
        while self.keep:
            process = self.process
            if process is not None and process.poll() is not None:
                if not self.keep:
                    return
                self.ends.append((time.monotonic(), process.returncode))
                self.lab.note(
                    f"{self.name} ended by itself, exit code"
                    f" {process.returncode}"
                )
                time.sleep(RESTART_SECONDS)
                if self.keep:
                    self.start(seeds)
            time.sleep(0.02)

    def kill(self) -> None:
        """End the process with SIGKILL; the machine stays down."""
        self.keep = False
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.lab.note(f"{self.name} is killed")
        self.process = None

    def terminate(self) -> None:
        """Stop the process as the platform does; the machine stays down."""
        self.keep = False
        process = self.process
        if process is None:
            return
        self.lab.note(f"{self.name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.lab.note(f"{self.name} has ended")
        self.process = None

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines of the log."""
        found = []
        path = self.lab.folder / f"{self.name}.log"
        if path.exists():
            for line in path.read_text(errors="replace").splitlines():
                try:
                    found.append(json.loads(line))
                except ValueError:
                    pass
        return found


class Proxy:
    """Passes connections on, and can be cut in one direction or both.

    What is sent in a direction that is cut is held until the cut heals.  A
    connection that is opened during a cut carries nothing until then, as its
    handshake could not be completed.

    Attributes:
        address: Where it listens.
        target: Where it passes connections on to.
        cut: Directions that are cut: `forward` is towards the target.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.cut: set[str] = set()
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(caller,), daemon=True
            ).start()

    def _serve(self, caller: socket.socket) -> None:
        while self.cut:
            time.sleep(0.01)
        host, _, port = self.target.rpartition(":")
        try:
            target = socket.create_connection((host, int(port)), 2.0)
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        for args in ((caller, target, "forward"), (target, caller, "back")):
            threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, direction: str
    ) -> None:
        try:
            while data := source.recv(65536):
                while direction in self.cut:
                    time.sleep(0.01)
                sink.sendall(data)
        except OSError:
            pass
        while direction in self.cut:
            time.sleep(0.01)
        for each in (source, sink):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()


class Lab:
    """The deployment of one script.

    Attributes:
        folder: Temporary folder of settings, data, logs and trails.
        trouble: Whether the disruption is played.
    """

    def __init__(self, case: pathlib.Path):
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        self.lines: list[str] = []
        self._lock = threading.Lock()
        self.net = self._free_net()
        self.programs: list[Program] = []
        self.workers: list[subprocess.Popen[bytes]] = []
        self.version = 0
        self.note(f"disruption: {'played' if self.trouble else 'left out'}")

    def _free_net(self) -> str:
        """Return a range of loopback addresses on which the ports are free."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for host in (11, 12, 13, 14, 21):
                    for port in (CONTROL_PORT, PEER_PORT, FRONT_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CouldNotRun("no free addresses")

    def note(self, text: str) -> None:
        """Add a line to the record."""
        with self._lock:
            line = f"{time.monotonic() - self.began:8.3f} {text}"
            self.lines.append(line)
            print(line, flush=True)

    def sleep(self, seconds: float) -> None:
        """Wait."""
        time.sleep(seconds)

    # Machines.

    def program(self, name: str, host: int, role: str, zone: str) -> Program:
        """Return a machine of the project that is not started yet."""
        made = Program(self, name, f"{self.net}.{host}", role, zone)
        self.programs.append(made)
        return made

    def start_core(self) -> tuple[list[Program], Program]:
        """Start three replicas and an entry instance; return them."""
        replicas = [
            self.program(f"core-{n}", 10 + n, "replica", ZONES[n - 1])
            for n in (1, 2, 3)
        ]
        seeds = [each.control for each in replicas]
        for each in replicas:
            each.start(seeds, bootstrap=True)
        entry = self.program("edge-1", 21, "entry", ZONES[0])
        entry.start(seeds)
        return replicas, entry

    def leader(self, replicas: list[Program]) -> Program:
        """Return the replica that leads, by its metrics."""
        for each in replicas:
            try:
                connection = http.client.HTTPConnection(
                    each.ip, METRICS_PORT, timeout=1
                )
                connection.request("GET", "/metrics")
                text = connection.getresponse().read().decode()
                connection.close()
            except OSError:
                continue
            for line in text.splitlines():
                if "lead" in line and line.rstrip().endswith((" 1", " 1.0")):
                    return each
        raise CouldNotRun("no replica says that it leads")

    # Calls.

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = 3.0,
    ) -> tuple[int, Any]:
        """Make one call; return status and body, or 0 without an answer."""
        host, _, port = address.rpartition(":")
        data = b"" if body is None else json.dumps(body).encode()
        try:
            connection = http.client.HTTPConnection(
                host, int(port), timeout=timeout
            )
            connection.request(
                method,
                path,
                data,
                {"content-type": "application/json", **(headers or {})},
            )
            response = connection.getresponse()
            answer = response.read()
            connection.close()
        except (OSError, http.client.HTTPException):
            return 0, None
        try:
            return response.status, json.loads(answer)
        except ValueError:
            return response.status, None

    def configure(self, controls: list[str], seconds: float = 20.0) -> int:
        """Send a configuration until it is acknowledged; return its version."""
        self.version += 7
        version = self.version
        document = {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "host": HOST,
                    "path_prefix": "/lohu930/",
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "priority": 0,
                    "service": "desk",
                    "max_attempts": 2,
                    "stretch": 2.0,
                }
            ],
            "services": [
                {
                    "name": "desk",
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": True,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for control in controls:
                status, _ = self.call(
                    "POST", control, "/v1/config/replace", document, timeout=1.0
                )
                if status == 200:
                    self.note(f"operator: version {version} is acknowledged")
                    return version
                time.sleep(0.1)
        raise CouldNotRun("the configuration was not acknowledged")

    def client(
        self, method: str, entry: Program, job: str, body: Any = None
    ) -> tuple[int, Any]:
        """Make one call of a client about a job."""
        status, answer = self.call(
            method,
            f"{entry.ip}:{FRONT_PORT}",
            f"/lohu930/{job}",
            body,
            {"host": HOST, "deadline": "3000"},
            timeout=3.2,
        )
        self.note(f"client: {method} {job or '(queue)'} -> {status} {answer}")
        return status, answer

    def submit(
        self, entry: Program, job: str, spec: str, step: dict[str, Any]
    ) -> None:
        """Hand a job in, again after no clear answer, until it is accepted."""
        body = {"spec": spec, "steps": [step]}
        for _ in range(12):
            status, _ = self.client("POST", entry, job, body)
            if 200 <= status < 300:
                return
            time.sleep(1.0)
        raise CouldNotRun("a job was not accepted")

    # Workers.

    def start_worker(
        self,
        number: int,
        life: int,
        controls: list[str],
        announced: str = "",
        **options: Any,
    ) -> subprocess.Popen[bytes]:
        """Start one life of a worker."""
        address = f"{self.net}.{100 + number}:8080"
        settings = {
            "id": f"i-{number:02d}{life:02d}{random.randrange(16**6):06x}",
            "service": "desk",
            "address": address,
            "announced": announced or address,
            "machine": f"m-{number:05d}",
            "zone": ZONES[number % 3],
            "rack": f"r{number % 3 + 1}-1",
            "capacity": {"cpu": 64000, "mem_mb": 256000, "gpu": 0},
            "controls": controls,
            "heartbeat_ms": HEARTBEAT_MS,
            "max_hold_ms": BOUNDS["max_hold_ms"],
            "drain_seconds": BOUNDS["drain_ms"] / 1000,
            "linger_seconds": 0.5,
            "last_pause_seconds": 0.5,
            "unacknowledged_seconds": 4.0,
            "trail": str(self.folder / "trail"),
            **options,
        }
        process = subprocess.Popen(
            [sys.executable, str(WORKER), json.dumps(settings)],
            stdin=subprocess.DEVNULL,
        )
        process.worker_id = settings["id"]  # type: ignore[attr-defined]
        self.workers.append(process)
        self.note(f"worker {settings['id']} starts on machine {number}")
        return process

    def trail(self) -> list[dict[str, Any]]:
        """Return the events of all workers."""
        path = self.folder / "trail"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def wait_for(self, what: str, condition: Any, seconds: float) -> Any:
        """Wait for a condition and return its value.

        Raises:
            CouldNotRun: It did not come true in time.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            value = condition()
            if value:
                return value
            time.sleep(0.1)
        raise CouldNotRun(f"not in time: {what}")

    # End.

    def close(self) -> None:
        """End all processes that were started."""
        for each in self.programs:
            each.keep = False
        for each in self.programs:
            if each.process is not None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        for process in self.workers:
            process.kill()
            process.wait()

    def write_record(self) -> None:
        """Write the record of the run, with what the workers ran."""
        lines = list(self.lines)
        lines.append("")
        lines.append("what the workers saw:")
        for event in self.trail():
            at = event.pop("at") - self.began
            lines.append(f"{at:8.3f} {json.dumps(event)}")
        (self.case / "record.txt").write_text("\n".join(lines) + "\n")


def play(case: pathlib.Path, script: Any) -> None:
    """Play a case and exit with its status.

    Args:
        case: Folder of the case.
        script: Function of a lab; returns whether the rule held.
    """
    lab = Lab(case)
    status = COULD_NOT_RUN
    try:
        held = script(lab)
        status = HELD if held else BROKEN
        lab.note("the rule held" if held else "THE RULE WAS BROKEN")
    except CouldNotRun as error:
        lab.note(f"could not run: {error}")
    finally:
        lab.close()
        lab.write_record()
        if os.environ.get("REVIEW_KEEP"):
            print(lab.folder)
        else:
            shutil.rmtree(lab.folder, ignore_errors=True)
    sys.exit(status)
