"""Small model of the platform for review scripts: workers, clients, operator.

Everything listens on loopback addresses and runs on the real clock.  The model
follows the users' pages; where a page is silent it behaves soundly.  All times
are seconds on the monotonic clock unless a name says otherwise.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
ZONES = ("zone-1", "zone-2", "zone-3")
CONTROL_PORT, PEER_PORT, READY_PORT, FRONT_PORT = 8166, 7720, 8167, 8161
MAX_HOLD_MS = 10_000
STOP_GRACE_SECONDS = 0.1
GANG_WAIT_SECONDS = 3.0
CHECKPOINT_SECONDS = 0.5
RESTORE_SECONDS = 0.25
HEARTBEAT_SECONDS = 1.5
MAX_ENDS = 500


class Record:
    """Log of what was sent, answered and run; one JSON line an event."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.events = []

    def add(self, what, **fields):
        """Write an event; returns nothing."""
        event = {"at": round(time.monotonic() - self.began, 3), "what": what}
        event.update(fields)
        self.events.append(event)
        self.file.write(json.dumps(event) + "\n")
        self.file.flush()


async def read_message(reader):
    """Read one HTTP message; return first line, headers and body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Make one HTTP call on a connection of its own.

    Returns:
        Status and body; (0, b"") if there was no complete answer in time.
    """
    host, _, port = address.rpartition(":")
    data = b""
    if body is not None:
        data = json.dumps(body, separators=(",", ":")).encode()
    lines = [f"{method} {path} HTTP/1.1", "Content-Type: application/json"]
    fields = {"Host": address, **(headers or {})}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(data)}", "Connection: close", "", ""]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode("latin-1") + data)
            answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.LimitOverrunError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return 0, b""
    return int(answer[0].split()[1]), answer[2]


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, spec, checkpoint, work):
        self.task = task
        self.number = number
        self.spec = spec
        self.work = work
        self.seconds = work["seconds"]
        self.saved = checkpoint
        self.done_seconds = 0.0
        self.began = time.monotonic()
        self.at_work = None
        self.stopping = False


class Worker:
    """One machine, whose lives follow each other at the same address."""

    def __init__(self, world, number, address, zone, rack, cpu, memory_mb):
        self.world = world
        self.number = number
        self.address = address
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.up = False
        self.draining = False
        self.server = None
        self.writers = set()
        self.tasks = []
        self.life = ""
        # Hooks: seconds by which an order is carried out late, unanswered.
        self.late = lambda path, body: 0.0

    def clock_ms(self):
        """Return the worker's steady clock in ms."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def start(self):
        """Begin a new life."""
        self.life = f"i-{random.getrandbits(40):010x}"
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.ends = []
        self.next_end = 1
        self.highest = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.heartbeat_address = ""
        host, _, port = self.address.rpartition(":")
        self.up = True
        self.draining = False
        self.server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]
        self.world.record.add("worker starts", worker=self.life, n=self.number)

    async def crash(self):
        """End without a word; everything that runs is lost."""
        if not self.up:
            return
        self.up = False
        self.world.record.add(
            "worker crashes",
            worker=self.life,
            n=self.number,
            runs=[[run.task, run.number] for run in self.runs.values()],
        )
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for run in list(self.runs.values()):
            self.world.gone(self, run)
        self.runs = {}

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.8, 1.2))

    async def beat_once(self):
        """Send a heartbeat until a replica has acknowledged it."""
        self.sequence += 1
        body = {
            "service": "desk",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.memory_mb, "gpu": 0},
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(),
            "seq": self.sequence,
        }
        targets = random.sample(self.world.controls, len(self.world.controls))
        if self.heartbeat_address:
            targets.insert(0, self.heartbeat_address)
        for target in targets:
            status, answer = await call(
                target,
                "POST",
                f"/v1/instances/{self.life}/heartbeat",
                body,
                timeout=1.0,
            )
            if 200 <= status < 300:
                url = json.loads(answer or b"{}").get("heartbeat_url", "")
                if url.startswith("http://"):
                    self.heartbeat_address = url[7:].partition("/")[0]
                return True
            self.heartbeat_address = ""
        return False

    async def _tick(self):
        """Let time pass for what runs here."""
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                self._advance(run)

    def _advance(self, run):
        now = time.monotonic()
        gang = self.world.gang_of(run)
        if gang is not None and not gang["complete"]:
            if now - run.began > GANG_WAIT_SECONDS:
                self.end(run, "alone")
            return
        if run.at_work is None:
            run.at_work = now + (RESTORE_SECONDS if run.saved else 0.0)
            run.base = self.world.progress.get((run.task, run.saved), 0.0)
        run.done_seconds = run.base + max(0.0, now - run.at_work)
        if run.work["checkpoints"]:
            number = int(run.done_seconds / CHECKPOINT_SECONDS)
            if number > getattr(run, "saves", -1) and number:
                run.saves = number
                self._save(run)
        if run.seconds and run.done_seconds >= run.seconds:
            self.end(run, self.world.outcome(self, run))

    def _save(self, run):
        run.saved = f"{random.getrandbits(64):016x}"
        self.world.progress[(run.task, run.saved)] = run.done_seconds
        self.world.saved.add((run.task.rpartition(".")[0], run.saved))

    def end(self, run, how):
        """End a run, and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if how == "stopped" and run.work["checkpoints"] and run.done_seconds:
            self._save(run)
        self.ends.append(
            [self.next_end, run.task, run.number, how, run.saved]
        )
        self.next_end += 1
        self.highest[run.task] = max(
            run.number, self.highest.get(run.task, 0)
        )
        self.world.ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                line, headers, body = request
                _, path, _ = line.split(" ", 2)
                status, answer = await self._answer(path, headers, body)
                if status == 0:
                    await asyncio.sleep(30)
                    return
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, body):
        if path == "/healthz":
            return 200, {}
        expected = headers.get("expect-instance", self.life)
        if expected != self.life:
            return 421, {}
        document = json.loads(body)
        delay = self.late(path, document)
        if delay:
            life = self.life
            self.world.record.add(
                "order held back", worker=life, path=path, body=document
            )

            async def later():
                await asyncio.sleep(delay)
                if self.up and self.life == life:
                    result = await self._carry_out(path, document)
                    self.world.record.add(
                        "late order", worker=life, path=path, result=result[0]
                    )

            self.world.spawn(later())
            return 0, {}
        return await self._carry_out(path, document)

    async def _carry_out(self, path, document):
        token = document.get("fencing_token", 0)
        if token < self.token:
            self.world.record.add(
                "fenced", worker=self.life, path=path, token=token
            )
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/v1/hold":
            return 200, await self._hold(document)
        task, number = document["task"], document["run"]
        run = self.runs.get(task)
        if path == "/v1/run-stop":
            self.highest[task] = max(number, self.highest.get(task, 0))
            if run is not None and run.number == number and not run.stopping:
                run.stopping = True

                async def stop():
                    await asyncio.sleep(STOP_GRACE_SECONDS)
                    self.end(run, "stopped")

                self.world.spawn(stop())
            return 200, {"clock_ms": self.clock_ms()}
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock_ms()}
        if path != "/v1/run-start":
            return 404, {}
        refusal = self._start(document, run)
        clock = {"clock_ms": self.clock_ms()}
        if refusal:
            self.world.record.add(
                "start refused",
                worker=self.life,
                task=task,
                run=number,
                reason=refusal,
            )
            return 409, {**clock, "reason": refusal}
        return 200, clock

    def _take_lease(self, deadline_ms):
        most = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, most))

    def _start(self, document, run):
        """Start a run; return why it is refused, or nothing."""
        task, number = document["task"], document["run"]
        if document["deadline_ms"] < self.clock_ms():
            return "late"
        if run is not None and run.number == number:
            return ""
        if run is not None or number <= self.highest.get(task, 0):
            self._take_lease(document["deadline_ms"])
            return "old"
        work = self.world.work_of(task)
        if work is None:
            self.world.broke("UNASKED", f"start of unknown task {task}")
            return "room"
        if not work["fills"]:
            used = sum(
                each.work["cpu"]
                for each in self.runs.values()
                if not each.work["fills"]
            )
            if used + work["cpu"] > self.cpu:
                self._take_lease(document["deadline_ms"])
                return "room"
        used = sum(each.work["mem_mb"] for each in self.runs.values())
        if used + work["mem_mb"] > self.memory_mb:
            self._take_lease(document["deadline_ms"])
            return "room"
        reason = self.world.ticket_refusal(self, task, document)
        if reason:
            return reason
        self._take_lease(document["deadline_ms"])
        run = Run(
            task,
            number,
            document["spec"],
            document.get("checkpoint", ""),
            work,
        )
        self.runs[task] = run
        self.world.started(self, run)
        return ""

    async def _hold(self, document):
        acked = document["acked_through"]
        for end in self.ends:
            if end[0] <= acked:
                self.world.noted(self, end)
        self.ends = [end for end in self.ends if end[0] > acked]
        if "deadline_ms" in document:
            self._take_lease(document["deadline_ms"])
        wait = min(document.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except TimeoutError:
                pass
        return {
            "clock_ms": self.clock_ms(),
            "running": [
                [
                    run.task,
                    run.number,
                    run.saved,
                    100
                    if not run.seconds
                    else min(99, int(100 * run.done_seconds / run.seconds)),
                    run.work["cpu"] if run.seconds else 1,
                ]
                for run in self.runs.values()
            ],
            "ended_runs": self.ends[:MAX_ENDS],
        }


class World:
    """The whole small deployment."""

    def __init__(self, folder, seed=1):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.random = random.Random(seed)
        base = 10 + os.getpid() % 200
        self.net = f"127.{base}.{self.random.randrange(1, 250)}"
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.replicas = {}
        self.entries = {}
        self.controls = []
        self.fronts = []
        self.workers = []
        self.jobs = {}
        self.progress = {}
        self.saved = set()
        self.gangs = {}
        self.running = {}
        self.done = {}
        self.failed_ends = {}
        self.history = []
        self.broken = []
        self.background = set()
        self.advice = ""
        self.check_ticket = lambda worker, task, document: ""
        self.outcome = lambda worker, run: "done"

    def spawn(self, coroutine):
        """Run a coroutine in the background; return its task."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    def broke(self, rule, detail):
        """Record that a rule was broken."""
        self.broken.append((rule, detail))
        self.record.add("RULE BROKEN", rule=rule, detail=detail)

    # The project's own programs.

    def _settings(self, name, template, address, extra):
        zone = ZONES[(len(self.replicas) + len(self.entries)) % 3]
        path = os.path.join(self.temporary, f"{name}.ini")
        with open(
            os.path.join(ROOT, "deploy", template), encoding="utf-8"
        ) as file:
            text = file.read()
        values = {
            "node_name": name,
            "zone": zone,
            "data_dir": os.path.join(self.temporary, name),
            "listen.control": f"{address}:{CONTROL_PORT}",
            "listen.front": f"{address}:{FRONT_PORT}",
            "listen.ready": f"{address}:{READY_PORT}",
            "ip": address,
            "seeds": ",".join(self.controls),
            "internal_ports.0": str(PEER_PORT),
            "bootstrap": "true",
            "fault_tolerance.machines": "1",
            "bounds.grace_s": "6",
            "advice": self.advice,
            **extra,
        }
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        text = text.replace(
            "{{#zones}}{{@}}{{,}}{{/zones}}", ",".join(ZONES)
        )
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        os.makedirs(os.path.join(self.temporary, name), exist_ok=True)
        return path

    def launch(self, name, path):
        """Start a program of the deploy file; return the process."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ
        }
        environment.update(
            TURMERICHALL_BOOT=path,
            PYTHONPATH=os.path.join(ROOT, "target", "deps"),
            TURMERICHALL_MEMORY_MB="296",
            PYTHONDONTWRITEBYTECODE="1",
        )
        if "core" in name:
            environment["TURMERICHALL_DISK_MB"] = "128"
        log = open(os.path.join(self.temporary, f"{name}.log"), "ab")
        return subprocess.Popen(
            [sys.executable, "-m", "turmerichall.platform.start"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )

    def start_programs(self, replicas=3, entries=1):
        """Start replicas and entry instances."""
        addresses = [f"{self.net}.{n + 1}" for n in range(replicas)]
        self.controls = [f"{each}:{CONTROL_PORT}" for each in addresses]
        for number, address in enumerate(addresses):
            name = f"core-{number + 1}"
            path = self._settings(name, "replica.ini", address, {})
            self.replicas[name] = [path, self.launch(name, path)]
        for number in range(entries):
            name = f"edge-{number + 1}"
            address = f"{self.net}.{replicas + number + 1}"
            path = self._settings(name, "entry.ini", address, {})
            self.entries[name] = [path, self.launch(name, path)]
            self.fronts.append(f"{address}:{FRONT_PORT}")

    def restart(self, name):
        """Start a program again that has ended."""
        programs = self.replicas if name in self.replicas else self.entries
        programs[name][1] = self.launch(name, programs[name][0])

    def leader(self):
        """Return the name of the replica that logged last that it leads."""
        found = ("", "")
        for name in self.replicas:
            path = os.path.join(self.temporary, f"{name}.log")
            with open(path, encoding="utf-8") as file:
                for line in file:
                    if "dispatch: term begins" in line:
                        row = json.loads(line)
                        found = max(found, (row["term"], name), key=str)
        return found[1]

    def end_programs(self):
        """End all programs that were started, and remove their files."""
        for path, process in [
            *self.replicas.values(),
            *self.entries.values(),
        ]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temporary, ignore_errors=True)

    async def start_workers(self, count, cpu=32_000, memory_mb=128_000):
        """Start workers, three racks."""
        for number in range(count):
            address = f"{self.net}.{100 + number}:9000"
            zone = ZONES[number % 3]
            worker = Worker(
                self, number, address, zone, f"r-{number % 3}", cpu, memory_mb
            )
            self.workers.append(worker)
            await worker.start()

    async def configure(self, version=1, queues=(("batch", 2, 2),), **fields):
        """Send a configuration until it is acknowledged.

        Args:
            version: Its version.
            queues: Name, priority and maximum number of attempts of each.
            fields: Further fields of each route.
        """
        document = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": "desk.example",
                    "path_prefix": f"/{name}/",
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "priority": priority,
                    "service": "desk",
                    "max_attempts": attempts,
                    "stretch": 2.0,
                    **fields.get(name, {}),
                }
                for name, priority, attempts in queues
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
        while True:
            for control in self.controls:
                status, _ = await call(
                    control, "POST", "/v1/config/replace", document
                )
                if status == 200:
                    self.record.add("configuration in force", version=version)
                    return
            await asyncio.sleep(0.3)

    async def wait_ready(self, seconds=30):
        """Wait until the entry instances are ready; return whether they are."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answers = [
                await call(
                    front.replace(str(FRONT_PORT), str(READY_PORT)),
                    "GET",
                    "/v1/readyz",
                )
                for front in self.fronts
            ]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    # Clients.

    async def submit(self, queue, steps, work=None, tries=8, **fields):
        """Hand a job in; return its id, or nothing if it was not accepted."""
        job = f"{self.random.getrandbits(64):016x}"
        body = {"spec": f"spec of {job}", "steps": steps, **fields}
        self.jobs[job] = {
            "queue": queue,
            "body": body,
            "work": work or [None] * len(steps),
            "accepted": None,
            "canceled": None,
            "sent": time.monotonic(),
        }
        for _ in range(tries):
            front = self.random.choice(self.fronts)
            status, answer = await call(
                front,
                "POST",
                f"/{queue}/{job}",
                body,
                {"Host": "desk.example", "Deadline": "3000"},
            )
            self.record.add("submitted", job=job, status=status)
            if 200 <= status < 300:
                self.jobs[job]["accepted"] = time.monotonic()
                return job
            if status in (400, 404, 413):
                return ""
            await asyncio.sleep(0.3)
        return ""

    async def state(self, job):
        """Ask for a job's state; return it, or the status as text."""
        queue = self.jobs[job]["queue"]
        status, answer = await call(
            self.random.choice(self.fronts),
            "GET",
            f"/{queue}/{job}",
            headers={"Host": "desk.example", "Deadline": "3000"},
        )
        state = json.loads(answer)["state"] if status == 200 else str(status)
        self.record.add("state", job=job, state=state)
        return state

    async def cancel(self, job, tries=10):
        """Cancel a job; return whether this was acknowledged."""
        queue = self.jobs[job]["queue"]
        for _ in range(tries):
            status, _ = await call(
                self.random.choice(self.fronts),
                "DELETE",
                f"/{queue}/{job}",
                headers={"Host": "desk.example", "Deadline": "3000"},
            )
            self.record.add("canceled", job=job, status=status)
            if 200 <= status < 300 or status == 410:
                self.jobs[job]["canceled"] = time.monotonic()
                return True
            await asyncio.sleep(0.2)
        return False

    # What the workers ask and tell.

    def work_of(self, task):
        """Return what a task needs; None if no client sent it."""
        job, occurrence, step, index = task.split(".")
        known = self.jobs.get(job)
        if known is None or int(step) >= len(known["body"]["steps"]):
            return None
        demand = known["body"]["steps"][int(step)]
        times = known["body"].get("repeat_count", 0) or 1
        if int(index) >= demand["count"] or int(occurrence) >= times:
            return None
        seconds = known["work"][int(step)]
        if seconds is None:
            seconds = demand.get("est_duration_ms", 1000) / 1000
        return {
            "cpu": demand.get("cpu", 0),
            "mem_mb": demand.get("mem_mb", 0),
            "fills": demand.get("fills", False),
            "checkpoints": demand.get("checkpoints", False),
            "gang": demand.get("gang", False),
            "count": demand["count"],
            "seconds": 0 if demand.get("long_running") else seconds,
        }

    def ticket_refusal(self, worker, task, document):
        """Return why a start is refused for its ticket, or nothing."""
        return self.check_ticket(worker, task, document)

    def gang_of(self, run):
        """Return the gang of a run; None if it has none."""
        if not run.work["gang"]:
            return None
        return self.gangs[(run.task.rpartition(".")[0], run.number)]

    def started(self, worker, run):
        """Record the start of a run, and check the rules on starts."""
        now = time.monotonic()
        self.record.add(
            "start",
            worker=worker.life,
            n=worker.number,
            task=run.task,
            run=run.number,
            token=worker.token,
        )
        job, occurrence, step, _ = run.task.split(".")
        known = self.jobs[job]
        body = known["body"]
        demand = body["steps"][int(step)]
        if run.spec != body["spec"]:
            self.broke("UNASKED", f"{run.task} has another spec")
        if run.saved and (run.task.rpartition(".")[0], run.saved) not in (
            self.saved
        ):
            self.broke("UNASKED", f"{run.task} has a foreign checkpoint")
        if known["canceled"] and now > known["canceled"] + 3.0:
            self.broke("UNASKED", f"{run.task} starts after its cancel")
        others = self.running.setdefault(run.task, [])
        if others and not demand.get("speculative"):
            self.broke("TWICE", f"{run.task} runs twice: {others}")
        if run.task in self.done and not demand.get("speculative"):
            noted = self.done[run.task]["noted"]
            if noted:
                self.broke("TWICE", f"{run.task} starts after its end")
            self.done[run.task]["again"] = True
        others.append([worker.life, run.number])
        for earlier in demand.get("after", ()):
            count = body["steps"][earlier]["count"]
            for index in range(count):
                if f"{job}.{occurrence}.{earlier}.{index}" not in self.done:
                    self.broke("ORDER", f"{run.task} before step {earlier}")
                    break
        if body.get("repeat_count"):
            due = body["start_at_ms"] + int(occurrence) * body["interval_ms"]
            if time.time() * 1000 < due - 250:
                self.broke("ORDER", f"{run.task} before its time")
        most = demand.get("max_per_server", 0)
        if most:
            prefix = f"{job}.{occurrence}.{step}."
            here = sum(each.startswith(prefix) for each in worker.runs)
            if here > most:
                self.broke("ROUTE", f"{here} of {prefix} on one worker")
        label = demand.get("required_label", "")
        if label and label not in ("a", worker.rack):
            self.broke("ROUTE", f"{run.task} without label {label}")
        if run.work["gang"]:
            key = (run.task.rpartition(".")[0], run.number)
            gang = self.gangs.setdefault(
                key, {"members": {}, "complete": False, "over": False}
            )
            gang["members"][run.task] = (worker, run)
            if len(gang["members"]) == run.work["count"]:
                gang["complete"] = True

    def _left(self, worker, run):
        others = self.running.get(run.task, [])
        if [worker.life, run.number] in others:
            others.remove([worker.life, run.number])

    def gone(self, worker, run):
        """Record that a run ended with its worker."""
        self._left(worker, run)
        self._break_gang(run)

    def _break_gang(self, run, how="broken"):
        gang = self.gang_of(run)
        if gang is None or gang["over"]:
            return
        gang["over"] = True
        for task, (worker, other) in list(gang["members"].items()):
            if task != run.task and worker.runs.get(task) is other:
                worker.end(other, how)

    def ended(self, worker, run, how):
        """Record the end of a run."""
        self._left(worker, run)
        self.record.add(
            "end",
            worker=worker.life,
            task=run.task,
            run=run.number,
            how=how,
        )
        if how == "done":
            names = [run.task]
            if run.work["gang"]:
                prefix = run.task.rpartition(".")[0]
                names = [f"{prefix}.{n}" for n in range(run.work["count"])]
            for name in names:
                if name in self.done and self.done[name]["again"]:
                    self.record.add("done again", task=name)
                self.done.setdefault(name, {"noted": False, "again": False})
        if how == "failed":
            self.failed_ends[run.task] = self.failed_ends.get(run.task, 0) + 1
        self.history.append((time.monotonic(), run.task, run.number, how))
        if run.work["gang"] and how != "alone":
            self._break_gang(run, "done" if how == "done" else "broken")

    def noted(self, worker, end):
        """Record that an end was taken note of."""
        if end[3] == "done" and end[1] in self.done:
            self.done[end[1]]["noted"] = True
            if self.done[end[1]]["again"]:
                self.broke("TWICE", f"{end[1]} had started after its end")


def run_case(main, seconds=115):
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 on a failure.

    Args:
        main: Coroutine function that gets the world and whether there is
            trouble; it returns whether the case could run.
        seconds: Time limit.
    """
    folder = sys.argv[1] if len(sys.argv) > 1 else "."
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder, int(os.environ.get("SEED", "1")))
    world.record.add("begin", trouble=trouble)

    async def whole():
        async with asyncio.timeout(seconds):
            return await main(world, trouble)

    status = 2
    loop = asyncio.new_event_loop()
    try:
        if loop.run_until_complete(whole()):
            status = 1 if world.broken else 0
    except (TimeoutError, OSError, AssertionError) as error:
        world.record.add("could not run", reason=repr(error))
    finally:
        world.end_programs()
        world.record.add("end of case", status=status)
    for rule, detail in world.broken[:10]:
        print(f"{rule}: {detail}")
    print(f"exit status {status}", flush=True)
    # Tasks of stand-ins that still wait are of no interest.
    os._exit(status)
