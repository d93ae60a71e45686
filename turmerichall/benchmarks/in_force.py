"""Measures how soon changes are in force and urgent work starts.

    python -m turmerichall.benchmarks.in_force

Three daemons and six stand-in workers run as processes.  A burst of changes of
configuration is sent; for each change the time is taken from its acceptance
until each instance shows it.  Within a second burst the leader is killed, and
the instances that are left count.  Then urgent jobs are submitted while
deferrable ones fill the workers; the time is taken from acceptance until a
worker starts them.  The targets are 3 s and 5.3 s.
"""

import math
import pathlib
import signal
import tempfile
import time
from collections.abc import Iterator
from typing import NamedTuple

import fire
import tabulate
import trio

from turmerichall.tests import local_cluster
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import operator

__all__ = ["main"]

BURST_CHANGES = 200
CONCURRENT_CHANGES = 20
URGENT_JOBS = 30
FILLING_TASKS = 400
POLL_SECONDS = 0.02
LIMIT_SECONDS = 120.0
IN_FORCE_TARGET_SECONDS = 3.0
URGENT_TARGET_SECONDS = 5.3


class Spread(NamedTuple):
    """Times of one measurement, in seconds."""

    what: str
    samples: int
    median: float
    p99: float
    longest: float
    target: float


def spread(what: str, seconds: list[float], target: float) -> Spread:
    """Sums up times.

    Examples:
        >>> spread("x", [0.1, 0.3, 0.2], 3.0).median
        0.2
    """
    ordered = sorted(seconds)

    def at(share: float) -> float:
        return ordered[math.ceil(share * len(ordered)) - 1]

    return Spread(what, len(ordered), at(0.5), at(0.99), ordered[-1], target)


class Bench:
    """One cluster and what was measured on it.

    Attributes:
        cluster: The processes.
        operator: Sends changes through all instances.
        accepted: Customers by when their change was accepted, monotonic.
        shown: By instance, when each customer was first shown, monotonic.
    """

    def __init__(self, cluster: local_cluster.LocalCluster):
        self.cluster = cluster
        self.servers = tuple(i.operators for i in cluster.instances.values())
        self.operator = self._new_operator("bench")
        self.accepted: dict[str, float] = {}
        self.shown: dict[str, dict[str, float]] = {}

    def _new_operator(self, name: str) -> operator.Operator:
        return operator.Operator(
            name, local_cluster.OPERATORS_KEY, self.servers
        )

    async def put(self, path: str, body: dict[str, object]) -> None:
        """Sends a new entry of the configuration, which must be accepted."""
        document = {"base_version": 0, "body": body}
        reply = await self.operator.change("PUT", path, document)
        assert reply.status == 200, reply

    async def put_customer(self, name: str, urgency: str) -> None:
        """Sets a new customer."""
        body: dict[str, object] = {
            "name": name,
            "team": "desk",
            "urgency": urgency,
            "zones": ["z1", "z2", "z3"],
            "services": {},
        }
        await self.put(f"/v1/customers/{name}", body)

    async def burst(self, prefix: str, victim: str = "") -> Spread:
        """Sends a burst of changes and times when each is in force.

        Args:
            prefix: What the names of the changed customers begin with.
            victim: Name of an instance to kill within the burst, or empty.
        """
        names = [f"{prefix}{number}" for number in range(BURST_CHANGES)]
        queue = iter(names)
        instances = self.cluster.instances.values()
        servers = [i.operators for i in instances if i.name != victim]
        async with trio.open_nursery() as observers:
            for server in servers:
                observers.start_soon(self._observe, server, names)
            async with trio.open_nursery() as senders:
                for _ in range(CONCURRENT_CHANGES):
                    senders.start_soon(self._send_burst, queue)
                if victim:
                    senders.start_soon(self._kill_within, victim, names)
        seconds = [
            max(0.0, self.shown[server][name] - self.accepted[name])
            for server in servers
            for name in names
        ]
        what = f"burst of {BURST_CHANGES} changes, in force everywhere"
        if victim:
            what = f"{what}, leader killed within"
        return spread(what, seconds, IN_FORCE_TARGET_SECONDS)

    async def _kill_within(self, victim: str, names: list[str]) -> None:
        """Kills an instance once a quarter of the changes are accepted."""
        while sum(name in self.accepted for name in names) < len(names) / 4:
            await trio.sleep(POLL_SECONDS)
        await self.cluster.stop(victim, signal.SIGKILL)

    async def burst_without_leader(self) -> Spread:
        """Kills the leader within a burst, and starts it again after that."""
        leader = ""
        while not leader:
            shown = await self.operator.read(self.servers[0], "/v1/status")
            leader = (shown or {}).get("replica", {}).get("leader", "")
        found = await self.burst("again", leader)
        self.cluster.start_daemon(leader)
        await self.cluster.wait_ready(leader)
        return found

    async def _send_burst(self, queue: Iterator[str]) -> None:
        for name in queue:
            await self.put_customer(name, "normal")
            self.accepted[name] = time.monotonic()

    async def _observe(self, server: str, names: list[str]) -> None:
        shown = self.shown.setdefault(server, {})
        with trio.fail_after(LIMIT_SECONDS):
            while not shown.keys() >= set(names):
                document = await self.operator.read(server, "/v1/customers")
                now = time.monotonic()
                for item in (document or {}).get("items", []):
                    shown.setdefault(item["name"], now)
                await trio.sleep(POLL_SECONDS)

    async def urgent(self) -> Spread:
        """Fills the workers and times when urgent jobs start."""
        await self.put("/v1/templates/fill", _batch("fill", 1.0, 60.0))
        await self.put("/v1/templates/quick", _batch("quick", 1.0, 1.0))
        await self.put_customer("deferrable", "deferrable")
        await self.put_customer("urgent", "urgent")
        await self._submit("filling", "deferrable", "fill", FILLING_TASKS)
        await self._wait_started("filling", 40)
        for number in range(URGENT_JOBS):
            name = f"urgent{number}"
            await self._submit(name, "urgent", "quick", 1)
            self.accepted[name] = time.monotonic()
            await trio.sleep(0.2)
        seconds = []
        for number in range(URGENT_JOBS):
            name = f"urgent{number}"
            started_at = await self._wait_started(name, 1)
            seconds.append(max(0.0, started_at - self.accepted[name]))
        what = f"{URGENT_JOBS} urgent jobs on full workers, started"
        return spread(what, seconds, URGENT_TARGET_SECONDS)

    async def _submit(
        self, job_id: str, customer: str, template: str, tasks: int
    ) -> None:
        document = {
            "customer": customer,
            "template": template,
            "tasks": tasks,
            "deadline_wall_seconds": time.time() + 3600.0,
            "job_id": job_id,
        }
        reply = await self.operator.change("POST", "/v1/jobs", document)
        assert reply.status == 200, reply

    async def _wait_started(self, job_id: str, count: int) -> float:
        """Waits for so many starts of a job; returns the first one's time."""
        with trio.fail_after(LIMIT_SECONDS):
            while True:
                started = self._starts(job_id)
                if len(started) >= count:
                    return min(started)
                await trio.sleep(0.2)

    def _starts(self, job_id: str) -> list[float]:
        return [
            record.monotonic
            for path in self.cluster.folder.glob("w*.trail")
            for record in audit_trail.read(path)
            if record.event == "task_start"
            and record.fields["task"].startswith(f"{job_id}/")
        ]


def _batch(name: str, processors: float, seconds: float) -> dict[str, object]:
    return {
        "name": name,
        "kind": "batch",
        "size": {"processors": processors, "memory_mb": 1000},
        "run_seconds": seconds,
    }


async def _measure() -> list[Spread]:
    with tempfile.TemporaryDirectory(prefix="turmerichall-") as folder:
        cluster = local_cluster.LocalCluster(pathlib.Path(folder))
        try:
            await cluster.start()
            bench = Bench(cluster)
            return [
                await bench.burst("burst"),
                await bench.burst_without_leader(),
                await bench.urgent(),
            ]
        finally:
            cluster.kill_all()


def measure() -> None:
    """Measures on a local cluster and prints a table."""
    rows = trio.run(_measure)
    print(tabulate.tabulate(rows, headers=Spread._fields, floatfmt=".3f"))


def main() -> None:
    """Entry point."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
