"""Stand-in of one life of a platform worker, as a process of its own.

    python3 worker.py OPTIONS-AS-JSON

It follows the pages: it sends heartbeats, takes orders, keeps leases on its own
steady clock, obeys fencing tokens, and lists running tasks and ends.  What a
task does is said by its `spec`: `run SECONDS` or `run forever`.

SIGUSR1 begins a planned end: the worker reports `draining`; once that has been
acknowledged for `drain_seconds` and `linger_seconds` more, it deregisters
`last_pause_seconds` after its next heartbeat, and ends.  Without an
acknowledgement it ends `unacknowledged_seconds` later.

Every event is appended to `trail`, one JSON object a line; `at` is the steady
clock of the machine in seconds.
"""

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any

CALL_TIMEOUT_SECONDS = 1.0


class Worker:
    """One life of a worker.

    Attributes:
        options: See `main`.
        state: `ready` or `draining`.
        token: Highest fencing token seen.
        deadline_ms: End of the lease on the worker's clock.
        running: Runs at work, by the name of the task.
        ends: Rows of ends that were not acknowledged yet.
        floor: Highest run that was stopped or ended here, by task.
    """

    def __init__(self, options: dict[str, Any]):
        self.options = options
        self.began = time.monotonic()
        self.state = "ready"
        self.token = 0
        self.deadline_ms = 0
        self.running: dict[str, dict[str, Any]] = {}
        self.ends: list[list[Any]] = []
        self.ends_count = 0
        self.floor: dict[str, int] = {}
        self.sequence = 0
        self.drain_acknowledged_at = 0.0
        self.changed = asyncio.Event()
        self.acknowledged = asyncio.Event()
        self.leave = asyncio.Event()
        self.controls: list[str] = list(options["controls"])
        # Idle connections to control addresses, which are used again.
        self.connections: dict[str, Any] = {}

    def record(self, event: str, **fields: Any) -> None:
        """Append an event to the trail."""
        line = {
            "at": round(time.monotonic(), 4),
            "worker": self.options["id"],
            "event": event,
            **fields,
        }
        with open(self.options["trail"], "a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def clock_ms(self) -> int:
        """Return the worker's steady clock in ms."""
        return int((time.monotonic() - self.began) * 1000) + 5000

    # Runs.

    def end(self, task: str, how: str) -> None:
        """End a run."""
        run = self.running.pop(task)
        self.ends_count += 1
        self.ends.append([self.ends_count, task, run["run"], how, ""])
        self.floor[task] = max(self.floor.get(task, 0), run["run"])
        self.record("ended", task=task, run=run["run"], how=how)
        self.changed.set()

    def advance(self) -> None:
        """End the runs that are done, or all runs if the lease has expired."""
        now = time.monotonic()
        if self.running and self.clock_ms() >= self.deadline_ms:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if now >= run["until"]:
                self.end(task, "done")

    async def tick(self) -> None:
        """Keep the runs up to date."""
        while True:
            self.advance()
            await asyncio.sleep(0.02)

    def fenced(self, body: dict[str, Any]) -> bool:
        """Return whether the token of an order is too low."""
        token = body.get("fencing_token", 0)
        self.token = max(self.token, token)
        return token < self.token

    def extend(self, deadline_ms: int) -> None:
        """Extend the lease; a longer one than the maximum is shortened."""
        limit = self.clock_ms() + self.options["max_hold_ms"]
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out `run-start`."""
        task, run = body["task"], body["run"]
        if self.fenced(body):
            return 409, {"reason": "fence"}
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            return 200, {}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["deadline_ms"])
        if run <= self.floor.get(task, 0) or known is not None:
            return 409, {"reason": "old"}
        what = body["spec"].split()[-1]
        seconds = float("inf") if what == "forever" else float(what)
        self.running[task] = {"run": run, "until": time.monotonic() + seconds}
        self.record("started", task=task, run=run, spec=body["spec"])
        return 200, {}

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out `run-stop`."""
        task, run = body["task"], body["run"]
        if self.fenced(body):
            return 409, {"reason": "fence"}
        known = self.running.get(task)
        if known is not None and known["run"] <= run:
            self.end(task, "stopped")
        self.floor[task] = max(self.floor.get(task, 0), run)
        return 200, {}

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out `hold`."""
        if self.fenced(body):
            return 409, {"reason": "fence"}
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        acknowledged = body["acked_through"]
        self.ends = [row for row in self.ends if row[0] > acknowledged]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.clear()
            try:
                left = until - time.monotonic()
                await asyncio.wait_for(self.changed.wait(), max(left, 0.001))
            except asyncio.TimeoutError:
                pass
        self.advance()
        now = time.monotonic()
        rows = [
            [task, run["run"], "", self.percent(run, now), 1]
            for task, run in self.running.items()
        ]
        return 200, {"running": rows, "ended_runs": self.ends[:500]}

    def percent(self, run: dict[str, Any], now: float) -> int:
        """Return the progress of a run; it is spread over its time."""
        if run["until"] == float("inf"):
            return 100
        left = max(run["until"] - now, 0.0)
        total = run.setdefault("total", left or 1.0)
        return min(int(100 * (1 - left / total)), 99)

    # Calls of the system.

    async def serve(self, reader: Any, writer: Any) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                path = lines[0].split(" ")[1]
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:] if line
                    )
                }
                size = int(headers.get("content-length", "0"))
                data = await reader.readexactly(size)
                status, answer = await self.answer(path, headers, data)
                body = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(
        self, path: str, headers: dict[str, str], data: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Return status and body of the answer to a call."""
        if path == "/healthz":
            return 200, {}
        if headers.get("expect-instance", self.options["id"]) != (
            self.options["id"]
        ):
            return 421, {"clock_ms": self.clock_ms()}
        body = json.loads(data or b"{}")
        self.advance()
        if path == "/v1/run-start":
            status, answer = self.start(body)
        elif path == "/v1/run-stop":
            status, answer = self.stop(body)
        elif path == "/v1/hold":
            status, answer = await self.hold(body)
        elif path == "/v1/pace":
            status, answer = (
                (409, {"reason": "fence"}) if self.fenced(body) else (200, {})
            )
        else:
            status, answer = 404, {}
        return status, {"clock_ms": self.clock_ms(), **answer}

    # Calls to the system.

    async def call(self, control: str, path: str, document: Any) -> int:
        """Call a control address; return the status, 0 without an answer.

        A connection that is open is used again.
        """
        try:
            return await asyncio.wait_for(
                self.exchange(control, path, document), CALL_TIMEOUT_SECONDS
            )
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            # The connection is kept if it may still carry the request.
            return 0

    async def exchange(self, control: str, path: str, document: Any) -> int:
        """Send one request and return the status of the answer."""
        connection = self.connections.pop(control, None)
        if connection is None:
            host, _, port = control.rpartition(":")
            connection = await asyncio.open_connection(host, int(port))
        reader, writer = connection
        body = json.dumps(document).encode()
        writer.write(
            f"POST {path} HTTP/1.1\r\nhost: {control}\r\ncontent-type:"
            f" application/json\r\ncontent-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        try:
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            text = head.decode("latin-1").lower()
            size = int(text.split("content-length:")[1].split("\r\n")[0])
            await reader.readexactly(size)
        except BaseException:
            # Bytes that were sent are still delivered; the rest is not read.
            writer.close()
            raise
        if "connection: close" in text:
            writer.close()
        else:
            self.connections[control] = connection
        return int(text.split(" ")[1])

    async def call_any(self, path: str, document: Any) -> bool:
        """Call one control address after the other until one acknowledges."""
        for _ in range(len(self.controls)):
            control = self.controls[0]
            status = await self.call(control, path, document)
            if 200 <= status < 300:
                return True
            self.controls.append(self.controls.pop(0))
        return False

    def report(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.sequence += 1
        options = self.options
        return {
            "service": options["service"],
            "address": options.get("announced", options["address"]),
            "machine": options["machine"],
            "zone": options["zone"],
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": options["capacity"],
            "labels": ["a", options["rack"]],
            "clock_ms": self.clock_ms(),
            "seq": self.sequence,
        }

    async def heartbeats(self) -> None:
        """Send heartbeats until the worker ends."""
        path = f"/v1/instances/{self.options['id']}/heartbeat"
        while True:
            document = self.report()
            acknowledged = await self.call_any(path, document)
            if acknowledged and document["state"] == "draining":
                if not self.drain_acknowledged_at:
                    self.drain_acknowledged_at = time.monotonic()
                    self.record("draining acknowledged")
                self.acknowledged.set()
            await asyncio.sleep(self.options["heartbeat_ms"] / 1000)

    async def planned_end(self) -> None:
        """Drain, deregister and end, once asked for."""
        await self.leave.wait()
        self.state = "draining"
        self.record("draining")
        while not self.drain_acknowledged_at:
            await asyncio.sleep(0.02)
        await asyncio.sleep(
            self.options["drain_seconds"] + self.options["linger_seconds"]
        )
        self.acknowledged.clear()
        await self.acknowledged.wait()
        self.record("last heartbeat acknowledged")
        await asyncio.sleep(self.options["last_pause_seconds"])
        path = f"/v1/instances/{self.options['id']}/deregister"
        self.record("deregister sent", running=sorted(self.running))
        if await self.call_any(path, {}):
            self.record("deregister acknowledged")
        else:
            self.record("deregister not acknowledged")
            await asyncio.sleep(self.options["unacknowledged_seconds"])
        for task in list(self.running):
            self.record("terminated", task=task, run=self.running[task]["run"])
        self.record("ends")
        os._exit(0)

    async def run(self) -> None:
        """Serve until the process ends."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.leave.set)
        host, _, port = self.options["address"].rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        self.record("up", pid=os.getpid())
        async with server:
            await asyncio.gather(
                self.tick(), self.heartbeats(), self.planned_end()
            )


def main() -> None:
    """Run a worker with the options given as JSON."""
    asyncio.run(Worker(json.loads(sys.argv[1])).run())


if __name__ == "__main__":
    main()
