"""Stand-in of a worker, a process of its own, as PROTOCOL.md describes it.

    python3 worker.py OPTIONS_AS_JSON

A task's text says how long its work takes: `work MS`, `lasts`, or, for the
members of a gang that are all started on this worker, `gang COUNT MS`; more
words may follow.  Each order that is carried out and each end is a JSON line on
standard output.  Lines on standard input change the worker:

* `busy` makes it answer 503 to starts, and do nothing, while its health check
  stays good; `well` ends that.
* After `fall MS`, the next start that arrives finds the worker down: it is
  silent for that time, then it starts again under its id and knows nothing of
  before; `stand` takes that back.
* `drain` makes it report at once that it is draining.
"""

import asyncio
import json
import sys
import time
from typing import Any

import wire

MAX_HOLD_MS = 10_000
STOP_GRACE_MS = 400
HEARTBEAT_SECONDS = 1.1
MAX_ENDS = 500
STARTUP_SECONDS = 0.3
GANG_WAIT_SECONDS = 3.0


class Run:
    """One run of a task.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        cpu: Processors that it asks for, in thousandths of a core.
        began_at: Time of its start, on the steady clock.
        seconds: How long its work takes; infinite if it lasts.
        percent: Share at which it may work.
        stopping: Whether it is being stopped.
    """

    def __init__(self, task: str, number: int, cpu: int, seconds: float):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.began_at = time.monotonic()
        self.seconds = seconds
        self.percent = 100
        self.stopping = False

    def progress(self) -> int:
        """Return its progress in percent."""
        age = time.monotonic() - self.began_at
        if self.seconds == float("inf"):
            return 100 if age >= STARTUP_SECONDS else 0
        return min(99, int(100 * age / self.seconds))


class Worker:
    """The worker."""

    def __init__(self, options: dict[str, Any]):
        self.options = options
        self.id: str = options["id"]
        self.busy = False
        # Keeps the tasks of the event loop from being collected.
        self.tasks: set[asyncio.Task[None]] = set()
        # How long the worker is silent after the next start; 0 for no fall.
        self.fall_ms = 0
        # Number of the life; connections of an earlier one stay silent.
        self.life = 0
        self.down = False
        self.draining = False
        self.report_now = asyncio.Event()
        self.begin()

    def begin(self) -> None:
        """Begin a life, which holds and knows nothing of before."""
        self.began = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.lease_ms = 0
        self.runs: dict[str, Run] = {}
        # Highest run that was stopped or ended, by task.
        self.closed: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.changed = asyncio.Event()
        self.sequence = 0

    def clock_ms(self) -> int:
        """Return the worker's clock, in ms."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    def birth(self) -> dict[str, int]:
        """Return the time of the start, if the worker may keep its id."""
        keeps_id = self.options.get("keeps_id")
        return {"born": self.born_ms} if keeps_id else {}

    def note(self, what: str, **fields: Any) -> None:
        """Write a line for the test."""
        print(
            json.dumps({"at": time.time(), "what": what, **fields}), flush=True
        )

    def end(self, run: Run, how: str) -> None:
        """End a run."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.note("end", task=run.task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self, run: Run) -> None:
        """Let a run work to its end."""
        if run.seconds != float("inf"):
            await asyncio.sleep(run.seconds)
            if not run.stopping:
                self.end(run, "done")

    def members(self, run: Run) -> list[Run]:
        """Return the runs of the gang of a run that are present."""
        step = run.task.rpartition(".")[0]
        return [
            each
            for each in self.runs.values()
            if each.task.rpartition(".")[0] == step
            and each.number == run.number
        ]

    async def work_together(self, run: Run, count: int) -> None:
        """Let a member of a gang wait for the others and work with them."""
        waited = 0.0
        while len(self.members(run)) < count:
            if self.runs.get(run.task) is not run:
                return
            if waited > GANG_WAIT_SECONDS:
                self.end(run, "alone")
                return
            await asyncio.sleep(0.02)
            waited += 0.02
        await asyncio.sleep(run.seconds)
        for each in self.members(run):
            self.end(each, "done")

    async def stop_later(self, run: Run) -> None:
        """End a run that is being stopped."""
        stop_ms = self.options.get("stop_ms", STOP_GRACE_MS / 4)
        await asyncio.sleep(stop_ms / 1000)
        self.end(run, "stopped")

    async def fall(self) -> None:
        """Go down without a word, and start again under the same id."""
        self.down = True
        self.life += 1
        self.runs.clear()
        self.note("down")
        seconds, self.fall_ms = self.fall_ms / 1000, 0
        await asyncio.sleep(seconds)
        self.begin()
        self.down = False
        self.note("up", id=self.id, born=self.born_ms)

    async def watch_lease(self) -> None:
        """Kill all runs when the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def extend(self, deadline_ms: int) -> None:
        """Extend the lease to a time on the worker's clock."""
        most = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, most))

    def refuse(self, reason: str) -> bytes:
        """Return the answer to an order that is rejected."""
        answer = {"clock_ms": self.clock_ms(), "reason": reason}
        return wire.response(409, answer)

    def start(self, body: dict[str, Any]) -> bytes:
        """Carry out `POST /v1/run-start`."""
        if self.busy:
            self.note("answers 503", task=body["task"], run=body["run"])
            return wire.response(503, {"clock_ms": self.clock_ms()})
        task, number = body["task"], body["run"]
        deadline_ms = body["deadline_ms"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self.extend(deadline_ms)
            return wire.response(200, {"clock_ms": self.clock_ms()})
        if deadline_ms < self.clock_ms():
            return self.refuse("late")
        if number <= self.closed.get(task, 0) or known is not None:
            self.extend(deadline_ms)
            return self.refuse("old")
        verb, *amounts = body["spec"].split()
        place = 1 if verb == "gang" else 0
        cpu = int(self.options["cpu_asked"])
        if sum(each.cpu for each in self.runs.values()) + cpu > (
            self.options["cpu"]
        ):
            self.extend(deadline_ms)
            return self.refuse("room")
        self.extend(deadline_ms)
        lasts = verb == "lasts"
        seconds = float("inf") if lasts else int(amounts[place]) / 1000
        run = self.runs[task] = Run(task, number, cpu, seconds)
        self.note("start", task=task, run=number)
        if verb == "gang":
            work = self.work_together(run, int(amounts[0]))
        else:
            work = self.work(run)
        self.tasks.add(asyncio.create_task(work))
        return wire.response(200, {"clock_ms": self.clock_ms()})

    def stop(self, body: dict[str, Any]) -> bytes:
        """Carry out `POST /v1/run-stop`."""
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            if not run.stopping:
                run.stopping = True
                self.note("stop", task=task, run=number)
                self.tasks.add(asyncio.create_task(self.stop_later(run)))
        else:
            self.closed[task] = max(self.closed.get(task, 0), number)
        return wire.response(200, {"clock_ms": self.clock_ms()})

    async def hold(self, body: dict[str, Any]) -> bytes:
        """Carry out `POST /v1/hold`."""
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        acked = body.get("acked_through", 0)
        noted = [row for row in self.ends if row[0] <= acked]
        for _, task, number, how, _ in noted:
            self.note("noted", task=task, run=number, how=how)
        self.ends = [row for row in self.ends if row[0] > acked]
        if not self.ends and body.get("wait_ms"):
            changed = self.changed
            try:
                async with asyncio.timeout(min(body["wait_ms"], 2000) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        return wire.response(
            200,
            {
                **self.birth(),
                "clock_ms": self.clock_ms(),
                "running": [
                    [run.task, run.number, "", run.progress(), run.cpu]
                    for run in self.runs.values()
                ],
                "ended_runs": self.ends[:MAX_ENDS],
            },
        )

    async def answer(self, message: wire.Message) -> bytes:
        """Answer an order."""
        path = message.start[1]
        if path == "/healthz":
            return wire.response(200, {})
        if message.headers.get("expect-instance", self.id) != self.id:
            return wire.response(421, {"clock_ms": self.clock_ms()})
        body = message.document()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if path == "/v1/run-start":
            return self.start(body)
        if path == "/v1/run-stop":
            return self.stop(body)
        if path == "/v1/hold":
            return await self.hold(body)
        if path == "/v1/pace":
            run = self.runs.get(body["task"])
            if run is not None and run.number == body["run"]:
                run.percent = body["percent"]
            return wire.response(200, {"clock_ms": self.clock_ms()})
        return wire.response(404, {})

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        life = self.life
        try:
            while True:
                message = await wire.read_message(reader)
                is_start = message.start[1] == "/v1/run-start"
                if is_start and self.fall_ms and not self.down:
                    self.tasks.add(asyncio.create_task(self.fall()))
                    await asyncio.sleep(0)
                answer = b""
                if life == self.life and not self.down:
                    answer = await self.answer(message)
                if life != self.life or self.down:
                    # Nobody is there who could read this or answer it.
                    await asyncio.sleep(60.0)
                    return
                writer.write(answer)
                await writer.drain()
        except (wire.Broken, OSError):
            pass
        finally:
            writer.close()

    async def send_heartbeats(self) -> None:
        """Report to the scheduler, to the next of its machines on a failure."""
        options = self.options
        seeds: list[str] = options["controls"]
        index = sum(self.id.encode()) % len(seeds)
        while True:
            self.sequence += 1
            report = {
                "service": options["service"],
                "address": options["address"],
                "machine": options["machine"],
                "zone": options["zone"],
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": {
                    "cpu": options["cpu"],
                    "mem_mb": 64_000,
                    "gpu": 0,
                },
                "labels": options["labels"],
                "clock_ms": self.clock_ms(),
                "seq": self.sequence,
                **self.birth(),
            }
            for _ in [] if self.down else seeds:
                answer = await wire.call(
                    seeds[index % len(seeds)],
                    "POST",
                    f"/v1/instances/{self.id}/heartbeat",
                    "control",
                    report,
                    1.0,
                )
                if answer is not None and answer.status // 100 == 2:
                    if report["state"] == "draining":
                        self.note("drain acknowledged", seq=report["seq"])
                    break
                index += 1
            try:
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    await self.report_now.wait()
                self.report_now.clear()
            except TimeoutError:
                pass

    async def obey(self) -> None:
        """Carry out what the test asks for on standard input."""
        loop = asyncio.get_running_loop()
        while True:
            line = await loop.run_in_executor(None, sys.stdin.readline)
            if not line:
                return
            word = line.strip()
            self.note("told", word=word)
            if word == "busy":
                self.busy = True
            elif word == "well":
                self.busy = False
            elif word.startswith("fall"):
                self.fall_ms = int(word.split()[1])
            elif word == "stand":
                self.fall_ms = 0
            elif word == "drain":
                self.draining = True
                self.report_now.set()

    async def run(self) -> None:
        """Work until the process is killed."""
        host, _, port = self.options["address"].rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        self.note("up", id=self.id)
        async with server:
            await asyncio.gather(
                self.watch_lease(), self.send_heartbeats(), self.obey()
            )


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
