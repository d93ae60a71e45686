"""Benchmark of how soon changes are in force and urgent jobs start.

    python -m turmerichall.benchmarks.in_force

Three daemons and six stand-in workers run as processes.  A burst of
configuration changes is sent, and for each change the time from its acceptance
until every instance shows it (until it is in force) is measured.  During a
second burst the leader is killed; only the surviving instances are measured.
Then urgent jobs are submitted while deferrable tasks fill the workers, and the
time from their acceptance until a worker starts them is measured.  The targets
are 3 s for changes and 5.3 s for urgent jobs.
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
BACKGROUND_TASKS = 400
POLL_SECONDS = 0.02
TIMEOUT_SECONDS = 120.0
IN_FORCE_TARGET_SECONDS = 3.0
URGENT_TARGET_SECONDS = 5.3


class Spread(NamedTuple):
    """Distribution of the times of one measurement, in seconds."""

    what: str
    samples: int
    median: float
    p99: float
    longest: float
    target: float


def summarize(what: str, seconds: list[float], target: float) -> Spread:
    """Return the distribution of the times `seconds`.

    Examples:
        >>> summarize("x", [0.1, 0.3, 0.2], 3.0).median
        0.2
    """
    ordered = sorted(seconds)

    def quantile(fraction: float) -> float:
        return ordered[math.ceil(fraction * len(ordered)) - 1]

    return Spread(
        what, len(ordered), quantile(0.5), quantile(0.99), ordered[-1], target
    )


class Benchmark:
    """The benchmark on one cluster.

    Attributes:
        cluster: The processes of the daemons and workers.
        servers: Addresses of the instances' operator listeners.
        operator: Client that sends changes through all instances.
        accepted_at: Monotonic time at which each customer's change or each
            urgent job was accepted, by name.
        first_shown_at: Monotonic time at which an instance first listed each
            customer, by address of the instance and name of the customer.
    """

    def __init__(self, cluster: local_cluster.LocalCluster):
        self.cluster = cluster
        self.servers = tuple(i.operators for i in cluster.instances.values())
        self.operator = self._new_operator("bench")
        self.accepted_at: dict[str, float] = {}
        self.first_shown_at: dict[str, dict[str, float]] = {}

    def _new_operator(self, name: str) -> operator.Operator:
        return operator.Operator(
            name, local_cluster.OPERATORS_KEY, self.servers
        )

    async def put(self, path: str, body: dict[str, object]) -> None:
        """Create an entry of the configuration; fail if it is not accepted."""
        document = {"base_version": 0, "body": body}
        reply = await self.operator.change("PUT", path, document)
        assert reply.status == 200, reply

    async def put_customer(self, name: str, urgency: str) -> None:
        """Create a customer; fail if it is not accepted."""
        body: dict[str, object] = {
            "name": name,
            "team": "desk",
            "urgency": urgency,
            "zones": ["z1", "z2", "z3"],
            "services": {},
        }
        await self.put(f"/v1/customers/{name}", body)

    async def measure_burst(self, prefix: str, victim: str = "") -> Spread:
        """Send a burst of changes and measure when each is in force.

        Args:
            prefix: Prefix of the customers' names.
            victim: Name of an instance to kill during the burst, or empty.
        """
        names = [f"{prefix}{number}" for number in range(BURST_CHANGES)]
        queue = iter(names)
        instances = self.cluster.instances.values()
        servers = [i.operators for i in instances if i.name != victim]
        async with trio.open_nursery() as observers:
            for server in servers:
                observers.start_soon(self._watch_customers, server, names)
            async with trio.open_nursery() as senders:
                for _ in range(CONCURRENT_CHANGES):
                    senders.start_soon(self._send_burst, queue)
                if victim:
                    senders.start_soon(self._kill_during_burst, victim, names)
        seconds = [
            max(0.0, self.first_shown_at[server][name] - self.accepted_at[name])
            for server in servers
            for name in names
        ]
        what = f"burst of {BURST_CHANGES} changes, in force everywhere"
        if victim:
            what = f"{what}, leader killed within"
        return summarize(what, seconds, IN_FORCE_TARGET_SECONDS)

    async def _kill_during_burst(self, victim: str, names: list[str]) -> None:
        """Kill an instance once a quarter of the changes are accepted."""
        while sum(name in self.accepted_at for name in names) < len(names) / 4:
            await trio.sleep(POLL_SECONDS)
        await self.cluster.stop(victim, signal.SIGKILL)

    async def measure_burst_with_failover(self) -> Spread:
        """Measure a burst in which the leader is killed, then restart it."""
        leader = ""
        while not leader:
            shown = await self.operator.read(self.servers[0], "/v1/status")
            leader = (shown or {}).get("replica", {}).get("leader", "")
        summary = await self.measure_burst("again", leader)
        self.cluster.start_daemon(leader)
        await self.cluster.wait_ready(leader)
        return summary

    async def _send_burst(self, queue: Iterator[str]) -> None:
        for name in queue:
            await self.put_customer(name, "normal")
            self.accepted_at[name] = time.monotonic()

    async def _watch_customers(self, server: str, names: list[str]) -> None:
        shown = self.first_shown_at.setdefault(server, {})
        with trio.fail_after(TIMEOUT_SECONDS):
            while not shown.keys() >= set(names):
                document = await self.operator.read(server, "/v1/customers")
                now = time.monotonic()
                for item in (document or {}).get("items", []):
                    shown.setdefault(item["name"], now)
                await trio.sleep(POLL_SECONDS)

    async def measure_urgent_jobs(self) -> Spread:
        """Measure when urgent jobs start while other tasks fill the workers."""
        await self.put("/v1/templates/fill", _batch_template("fill", 1.0, 60.0))
        await self.put(
            "/v1/templates/quick", _batch_template("quick", 1.0, 1.0)
        )
        await self.put_customer("deferrable", "deferrable")
        await self.put_customer("urgent", "urgent")
        await self._submit("filling", "deferrable", "fill", BACKGROUND_TASKS)
        await self._wait_for_starts("filling", 40)
        for number in range(URGENT_JOBS):
            name = f"urgent{number}"
            await self._submit(name, "urgent", "quick", 1)
            self.accepted_at[name] = time.monotonic()
            await trio.sleep(0.2)
        seconds = []
        for number in range(URGENT_JOBS):
            name = f"urgent{number}"
            started_at = await self._wait_for_starts(name, 1)
            seconds.append(max(0.0, started_at - self.accepted_at[name]))
        what = f"{URGENT_JOBS} urgent jobs on full workers, started"
        return summarize(what, seconds, URGENT_TARGET_SECONDS)

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

    async def _wait_for_starts(self, job_id: str, count: int) -> float:
        """Wait for `count` task starts of a job; return when the first was."""
        with trio.fail_after(TIMEOUT_SECONDS):
            while True:
                started = self._start_times(job_id)
                if len(started) >= count:
                    return min(started)
                await trio.sleep(0.2)

    def _start_times(self, job_id: str) -> list[float]:
        return [
            record.monotonic
            for path in self.cluster.folder.glob("w*.trail")
            for record in audit_trail.read(path)
            if record.event == "task_start"
            and record.fields["task"].startswith(f"{job_id}/")
        ]


def _batch_template(
    name: str, processors: float, seconds: float
) -> dict[str, object]:
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
            bench = Benchmark(cluster)
            return [
                await bench.measure_burst("burst"),
                await bench.measure_burst_with_failover(),
                await bench.measure_urgent_jobs(),
            ]
        finally:
            cluster.kill_all()


def measure() -> None:
    """Run the benchmark on a local cluster and print a table."""
    rows = trio.run(_measure)
    print(tabulate.tabulate(rows, headers=Spread._fields, floatfmt=".3f"))


def main() -> None:
    """Run the benchmark from the command line."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
