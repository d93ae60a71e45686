"""Waiting for conditions in a faulty cluster, and auditing the cluster."""

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

__all__ = ["Harness", "WAIT_TIMEOUT_SECONDS"]

WAIT_TIMEOUT_SECONDS = 150.0
POLL_SECONDS = 0.2
MAX_CONNECTIONS_PER_WORKER = 64
MAX_RESENDS = 1


class Harness(faulty_cluster.FaultyCluster):
    """A faulty cluster with conditions to wait for and an audit.

    Attributes:
        finished_jobs: Ids of the jobs that had been accepted when `quiesce`
            last found every accepted job finished.
    """

    finished_jobs: tuple[str, ...] = ()

    async def start(
        self, workers_per_zone: int = faulty_cluster.WORKERS_PER_ZONE
    ) -> None:
        """Start the cluster and wait until every instance serves requests."""
        await super().start(workers_per_zone)
        await self.wait_converged()
        for name in self.instances:
            await self.wait_served(1, name)

    async def wait_until(
        self, description: str, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        """Wait until a condition holds; raise `AssertionError` on time-out."""
        with trio.move_on_after(WAIT_TIMEOUT_SECONDS):
            while not await condition():
                await trio.sleep(POLL_SECONDS)
            return
        raise AssertionError(
            f"condition not met within {WAIT_TIMEOUT_SECONDS} s: {description}"
        )

    async def wait_served(self, count: int, *via: str) -> None:
        """Wait until `count` more requests ran, via given instances or any."""
        gateways = {self.instances[name].callers for name in via}
        path = self.folder / "caller.trail"

        def ran() -> int:
            return sum(
                record.event == "answered"
                and record.fields["outcome"] == caller.RAN
                and (not gateways or record.fields["gateway"] in gateways)
                for record in audit_trail.read(path)
            )

        initial = ran()

        async def served_enough() -> bool:
            return ran() >= initial + count

        await self.wait_until(
            f"{count} more requests run via {via}", served_enough
        )

    async def wait_accepted(self, count: int = 1) -> None:
        """Wait until `count` more revisions of the customer are accepted."""
        initial = self.load.accepted_version

        async def accepted() -> bool:
            return self.load.accepted_version >= initial + count

        await self.wait_until("a revision is accepted", accepted)

    async def wait_converged(self) -> None:
        """Wait until every daemon shows at least the version accepted now."""
        version = self.load.accepted_version

        async def converged() -> bool:
            versions = [
                await self.load.observe(instance)
                for instance in self.instances.values()
            ]
            return min(versions) >= version

        await self.wait_until(
            f"every daemon shows version {version} or later", converged
        )

    async def status(self, name: str) -> dict[str, Any]:
        """Return a daemon's status document; empty if it does not answer."""
        address = self.instances[name].operators
        return await self.load.operator.read(address, "/v1/status") or {}

    async def find_grant(self, zone: str) -> tuple[str, int]:
        """Return the holder and the highest known epoch of a zone's grant."""
        newest = ("", 0)
        for name in self.instances:
            if not self.is_up(name):
                continue
            with trio.move_on_after(1.0):
                for grant in (await self.status(name)).get("grants", []):
                    if grant["zone"] == zone and grant["epoch"] > newest[1]:
                        newest = (grant["holder"], grant["epoch"])
        return newest

    async def wait_takeover(self, zone: str, epoch: int) -> None:
        """Wait until a zone's grant has a higher epoch than `epoch`."""

        async def taken_over() -> bool:
            return (await self.find_grant(zone))[1] > epoch

        await self.wait_until(
            f"the grant of {zone} has an epoch above {epoch}", taken_over
        )

    def _recent_batch_runs(self) -> list[audit.Run]:
        since = time.monotonic() - loads.RUN_SECONDS / 4
        return [
            run
            for name in self.worker_names()
            for run in audit.extract_runs(self.read_trail(name))
            if run.start > since and not run.task.startswith("svc:")
        ]

    async def wait_task_start(self) -> audit.Run:
        """Wait until a batch task starts on any worker and return its run."""
        started: list[audit.Run] = []

        async def task_started() -> bool:
            started.extend(self._recent_batch_runs())
            return bool(started)

        await self.wait_until("a task starts", task_started)
        return started[-1]

    async def wait_rescheduled(self, run: audit.Run) -> None:
        """Wait until a later attempt of the run's task has started."""

        async def moved() -> bool:
            return any(
                later.task == run.task and later.attempt > run.attempt
                for name in self.worker_names()
                for later in audit.extract_runs(self.read_trail(name))
            )

        await self.wait_until(
            f"{run.task} is rescheduled from {run.worker}", moved
        )

    async def wait_finished(self, job_id: str) -> None:
        """Wait until a job has finished."""

        async def finished() -> bool:
            return (await self.load.job_states()).get(job_id) == "finished"

        await self.wait_until(f"{job_id} has finished", finished)

    async def wait_decision(self, job_id: str, reason: str) -> None:
        """Wait until every instance shows a decision on a job with a reason."""
        path = f"/v1/jobs/{job_id}/explain"

        async def decided() -> bool:
            for instance in self.instances.values():
                document = await self.load.operator.read(
                    instance.operators, path
                )
                if document is None:
                    return False
                if reason not in str(document["item"]["decisions"]):
                    return False
            return True

        await self.wait_until(
            f"{job_id} has a decision with reason {reason}", decided
        )

    async def wait_leader(self, *excluded: str) -> str:
        """Wait for a leader that is up and not excluded; return its name."""
        leaders: list[str] = []

        async def led() -> bool:
            for name in self.instances:
                if self.is_up(name) and name not in excluded:
                    replica = (await self.status(name)).get("replica", {})
                    if replica.get("role") == "leader":
                        leaders.append(name)
            return bool(leaders)

        await self.wait_until("a replica leads", led)
        return leaders[0]

    async def wait_voters(self, count: int) -> None:
        """Wait until the leader reports `count` voters and no learner."""

        async def voters_match() -> bool:
            for name in self.instances:
                replica = (await self.status(name)).get("replica", {})
                if replica.get("role") == "leader":
                    voters = len(replica["members"])
                    return voters == count and not replica["learners"]
            return False

        await self.wait_until(f"{count} replicas are voters", voters_match)

    async def set_intention(self, worker: str, action: str) -> None:
        """Drain or resume a backend server as an operator."""
        path = f"/v1/backend-servers/{worker}/{action}"
        reply = await self.load.operator.change("POST", path)
        assert reply.status == 200, reply

    async def wait_takes_new_work(
        self, worker: str, takes_new_work: bool = True
    ) -> None:
        """Wait until every daemon shows whether a worker takes new work."""

        async def agreed() -> bool:
            for instance in self.instances.values():
                document = await self.load.operator.read(
                    instance.operators, "/v1/backend-servers"
                )
                items = {} if document is None else document["items"]
                if not any(
                    item["name"] == worker
                    and item["takes_new_work"] == takes_new_work
                    for item in items
                ):
                    return False
            return True

        await self.wait_until(
            f"{worker} shows takes_new_work as {takes_new_work}", agreed
        )

    async def set_worker_faults(
        self, worker: str, document: dict[str, Any]
    ) -> None:
        """Replace the injected faults of a stand-in worker."""
        key = local_cluster.WORKERS_KEY
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"http://{self.workers[worker]}/v1/faults",
                headers=[("Authorization", f"Bearer {key}")],
                content=msgspec.json.encode(document),
            )
        assert response.status == 200, response.content

    async def wait_consecutive_served(self, count: int) -> None:
        """Wait until the last `count` answers are all of requests that ran."""

        async def steady() -> bool:
            last = self._answer_records()[-count:]
            ran = [r.fields["outcome"] == caller.RAN for r in last]
            return len(ran) == count and all(ran)

        await self.wait_until(f"{count} consecutive requests ran", steady)

    def failed_requests(self) -> set[str]:
        """Return the ids of failed requests.

        A request failed if the outcome of a send was unknown or if it did not
        run although it was resent.
        """
        answers: dict[str, list[str]] = {}
        for record in self._answer_records():
            outcomes = answers.setdefault(record.fields["request"], [])
            outcomes.append(record.fields["outcome"])
        return {
            request
            for request, outcomes in answers.items()
            if caller.UNKNOWN in outcomes
            or (len(outcomes) > MAX_RESENDS and outcomes[-1] != caller.RAN)
        }

    def _answer_records(self) -> list[audit_trail.Record]:
        records = self.read_trail("caller")
        return [record for record in records if record.event == "answered"]

    def worker_names(self) -> list[str]:
        """Return the names of all workers that were ever started."""
        return [path.stem for path in sorted(self.folder.glob("w*.trail"))]

    def read_trail(self, name: str) -> list[audit_trail.Record]:
        """Read the trail of a worker or of the caller."""
        return audit_trail.read(self.folder / f"{name}.trail")

    async def quiesce(self) -> None:
        """Pause the load and wait until jobs finish and versions converge."""
        async with self.load.paused():
            await self.wait_until("all jobs have finished", self._all_finished)
            await self.wait_converged()

    async def _all_finished(self) -> bool:
        # Copied before the states are read: a job that is accepted meanwhile
        # may be missing from them and is left to the next check.
        accepted = tuple(self.load.accepted_jobs)
        lost = audit.lost_jobs(accepted, await self.load.job_states())
        self.finished_jobs = accepted
        return not lost

    async def audit(self) -> list[str]:
        """Wait until the cluster is quiescent and return every violation."""
        await self.quiesce()
        violations = audit.audit(
            map(self.read_trail, self.worker_names()),
            [self.read_trail("caller")],
        )
        violations += audit.lost_jobs(
            self.finished_jobs, await self.load.job_states()
        )
        violations += audit.version_regressions(self.load.observed)
        for name, link_proxy in self.proxies.items():
            if (
                name.startswith("worker:")
                and link_proxy.max_open_connections > MAX_CONNECTIONS_PER_WORKER
            ):
                violations.append(
                    f"{name} had {link_proxy.max_open_connections}"
                    " connections at once"
                )
        return violations
