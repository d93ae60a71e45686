"""What a test of failures waits for and audits in a faulty cluster."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import msgspec
import trio

from turmerichall.tests import audit
from turmerichall.tests import faulty_cluster
from turmerichall.tests import load as loads
from turmerichall.tests import local_cluster
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import caller

__all__ = ["Harness", "PATIENCE_SECONDS"]

PATIENCE_SECONDS = 150.0
POLL_SECONDS = 0.2
MAX_CONNECTIONS = 64
RESENDS = 1


class Harness(faulty_cluster.FaultyCluster):
    """A faulty cluster, conditions to wait for and the audit.

    Attributes:
        settled_jobs: Jobs that were accepted when all had last finished.
    """

    settled_jobs: tuple[str, ...] = ()

    async def start(
        self, workers_per_zone: int = faulty_cluster.WORKERS_PER_ZONE
    ) -> None:
        """Starts the cluster and waits until every instance serves."""
        await super().start(workers_per_zone)
        await self.wait_alike()
        for name in self.instances:
            await self.wait_served(1, name)

    async def wait(
        self, what: str, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        """Waits until a condition holds."""
        with trio.move_on_after(PATIENCE_SECONDS):
            while not await condition():
                await trio.sleep(POLL_SECONDS)
            return
        raise AssertionError(
            f"waited {PATIENCE_SECONDS} s in vain until {what}"
        )

    async def wait_served(self, count: int, *via: str) -> None:
        """Waits until so many more requests ran, through given gateways."""
        gateways = {self.instances[name].callers for name in via}
        path = self.folder / "caller.trail"

        def ran() -> int:
            return sum(
                record.event == "answered"
                and record.fields["outcome"] == caller.RAN
                and (not gateways or record.fields["gateway"] in gateways)
                for record in audit_trail.read(path)
            )

        before = ran()

        async def enough() -> bool:
            return ran() >= before + count

        await self.wait(f"{count} more requests ran via {via}", enough)

    async def wait_accepted(self, count: int = 1) -> None:
        """Waits until so many more changes of configuration are accepted."""
        before = self.load.accepted_version

        async def accepted() -> bool:
            return self.load.accepted_version >= before + count

        await self.wait("a change is accepted", accepted)

    async def wait_alike(self) -> None:
        """Waits until every daemon shows what is accepted now, or later."""
        wanted = self.load.accepted_version

        async def alike() -> bool:
            held = [
                await self.load.observe(instance)
                for instance in self.instances.values()
            ]
            return min(held) >= wanted

        await self.wait(f"version {wanted} shows everywhere", alike)

    async def status(self, name: str) -> dict[str, Any]:
        """Returns the status that a daemon shows, or nothing."""
        address = self.instances[name].operators
        return await self.load.operator.read(address, "/v1/status") or {}

    async def grant(self, zone: str) -> tuple[str, int]:
        """Returns holder and highest epoch of a zone's grant, as known."""
        best = ("", 0)
        for name in self.instances:
            if not self.is_up(name):
                continue
            with trio.move_on_after(1.0):
                for grant in (await self.status(name)).get("grants", []):
                    if grant["zone"] == zone and grant["epoch"] > best[1]:
                        best = (grant["holder"], grant["epoch"])
        return best

    async def wait_taken_over(self, zone: str, epoch: int) -> None:
        """Waits until a zone's grant has a later epoch."""

        async def taken() -> bool:
            return (await self.grant(zone))[1] > epoch

        await self.wait(f"the grant of {zone} passes epoch {epoch}", taken)

    def _just_started(self) -> list[audit.Run]:
        since = time.monotonic() - loads.RUN_SECONDS / 4
        return [
            run
            for name in self.worker_names()
            for run in audit.runs_of(self.read_trail(name))
            if run.start > since and not run.task.startswith("svc:")
        ]

    async def wait_started(self) -> audit.Run:
        """Waits until a batch task starts somewhere, and returns that run."""
        started: list[audit.Run] = []

        async def starts() -> bool:
            started.extend(self._just_started())
            return bool(started)

        await self.wait("a task starts", starts)
        return started[-1]

    async def wait_moved(self, run: audit.Run) -> None:
        """Waits until a later attempt of a task was started somewhere."""

        async def moved() -> bool:
            return any(
                later.task == run.task and later.attempt > run.attempt
                for name in self.worker_names()
                for later in audit.runs_of(self.read_trail(name))
            )

        await self.wait(f"{run.task} moves on from {run.worker}", moved)

    async def wait_finished(self, job_id: str) -> None:
        """Waits until a job has finished."""

        async def finished() -> bool:
            return (await self.load.jobs()).get(job_id) == "finished"

        await self.wait(f"{job_id} has finished", finished)

    async def wait_decided(self, job_id: str, reason: str) -> None:
        """Waits until a decision about a job names a reason."""
        path = f"/v1/jobs/{job_id}/explain"

        async def decided() -> bool:
            for instance in self.instances.values():
                shown = await self.load.operator.read(instance.operators, path)
                if shown is None:
                    return False
                if reason not in str(shown["item"]["decisions"]):
                    return False
            return True

        await self.wait(f"{job_id} is told {reason}", decided)

    async def wait_leader(self, *besides: str) -> str:
        """Waits until another daemon that is up leads; returns its name."""
        leaders: list[str] = []

        async def led() -> bool:
            for name in self.instances:
                if self.is_up(name) and name not in besides:
                    shown = (await self.status(name)).get("replica", {})
                    if shown.get("role") == "leader":
                        leaders.append(name)
            return bool(leaders)

        await self.wait("a replica leads", led)
        return leaders[0]

    async def wait_voters(self, count: int) -> None:
        """Waits until the leader counts so many voters and no learner."""

        async def counted() -> bool:
            for name in self.instances:
                shown = (await self.status(name)).get("replica", {})
                if shown.get("role") == "leader":
                    voters = len(shown["members"])
                    return voters == count and not shown["learners"]
            return False

        await self.wait(f"{count} replicas vote", counted)

    async def set_intention(self, worker: str, verb: str) -> None:
        """Has an operator drain or resume a backend server."""
        path = f"/v1/backend-servers/{worker}/{verb}"
        reply = await self.load.operator.change("POST", path)
        assert reply.status == 200, reply

    async def wait_takes_work(self, worker: str, takes: bool = True) -> None:
        """Waits until all daemons give a worker new work, or none does."""

        async def agreed() -> bool:
            for instance in self.instances.values():
                shown = await self.load.operator.read(
                    instance.operators, "/v1/backend-servers"
                )
                items = {} if shown is None else shown["items"]
                if not any(
                    item["name"] == worker and item["takes_new_work"] == takes
                    for item in items
                ):
                    return False
            return True

        await self.wait(f"{worker} takes work: {takes}", agreed)

    async def set_worker_faults(
        self, worker: str, shown: dict[str, Any]
    ) -> None:
        """Switches the faults of a stand-in worker."""
        key = local_cluster.WORKERS_KEY
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"http://{self.workers[worker]}/v1/faults",
                headers=[("Authorization", f"Bearer {key}")],
                content=msgspec.json.encode(shown),
            )
        assert response.status == 200, response.content

    async def wait_steady(self, count: int) -> None:
        """Waits until so many requests ran one after the other."""

        async def steady() -> bool:
            last = self._answers()[-count:]
            ran = [r.fields["outcome"] == caller.RAN for r in last]
            return len(ran) == count and all(ran)

        await self.wait(f"{count} requests in a row ran", steady)

    def failed_requests(self) -> set[str]:
        """Returns ids of requests that failed.

        Their outcome was unknown once, or they did not run though they were
        sent again.
        """
        answers: dict[str, list[str]] = {}
        for record in self._answers():
            known = answers.setdefault(record.fields["request"], [])
            known.append(record.fields["outcome"])
        return {
            request
            for request, known in answers.items()
            if caller.UNKNOWN in known
            or (len(known) > RESENDS and known[-1] != caller.RAN)
        }

    def _answers(self) -> list[audit_trail.Record]:
        records = self.read_trail("caller")
        return [record for record in records if record.event == "answered"]

    def worker_names(self) -> list[str]:
        """Returns the names of all workers that ever ran."""
        return [path.stem for path in sorted(self.folder.glob("w*.trail"))]

    def read_trail(self, name: str) -> list[audit_trail.Record]:
        """Reads the trail of a worker or of the caller."""
        return audit_trail.read(self.folder / f"{name}.trail")

    async def settle(self) -> None:
        """Waits until every accepted job has finished."""
        async with self.load.paused():
            await self.wait("all jobs have finished", self._all_finished)
            await self.wait_alike()

    async def _all_finished(self) -> bool:
        # A job that is accepted during the reading is left to the next one.
        accepted = tuple(self.load.accepted_jobs)
        lost = audit.jobs_lost(accepted, await self.load.jobs())
        self.settled_jobs = accepted
        return not lost

    async def audit(self) -> list[str]:
        """Waits until all is quiet, and returns every violation."""
        await self.settle()
        found = audit.audit(
            map(self.read_trail, self.worker_names()),
            [self.read_trail("caller")],
        )
        found += audit.jobs_lost(self.settled_jobs, await self.load.jobs())
        found += audit.versions_reverted(self.load.observed)
        for name, made in self.proxies.items():
            if (
                name.startswith("worker:")
                and made.max_open_connections > MAX_CONNECTIONS
            ):
                found.append(
                    f"{name} had {made.max_open_connections} connections"
                )
        return found
