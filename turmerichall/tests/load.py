"""Load of operators' changes and reads while faults are injected.

One operator revises a customer, another submits jobs, and the version of the
customer that each instance shows is recorded, all of it periodically.
"""

import contextlib
import time
from collections.abc import AsyncIterator, Callable, Mapping

import trio

from turmerichall.tests import local_cluster
from turmerichall.tests.standins import operator

__all__ = ["CUSTOMER", "Load", "SERVICE"]

CUSTOMER = "desk"
SERVICE = "offers"
BATCH_TEMPLATE = "roster"
RUN_SECONDS = 4.0
TASKS_PER_JOB = 2
JOB_PERIOD_SECONDS = 2.0
REVISION_PERIOD_SECONDS = 1.0
OBSERVE_PERIOD_SECONDS = 0.5
OBSERVE_TIMEOUT_SECONDS = 2.0
INITIAL_MAX_REQUESTS = 64
CUSTOMER_PATH = f"/v1/customers/{CUSTOMER}"
_TEMPLATES: tuple[dict[str, object], ...] = (
    {
        "name": SERVICE,
        "kind": "service",
        "size": {"processors": 1.0, "memory_mb": 500},
    },
    {
        "name": BATCH_TEMPLATE,
        "kind": "batch",
        "size": {"processors": 2.0, "memory_mb": 2000},
        "run_seconds": RUN_SECONDS,
    },
)


def customer(max_requests: int) -> dict[str, object]:
    """Return the customer's configuration body."""
    return {
        "name": CUSTOMER,
        "team": "desk-team",
        "urgency": "urgent",
        "zones": ["z1", "z2", "z3"],
        "services": {SERVICE: 2},
        "max_requests": max_requests,
    }


class Load:
    """Changes by operators and the versions that instances show.

    Attributes:
        instances: Entry instances by name.
        key: Key with which operators authenticate.
        is_up: Returns whether the named instance runs.
        operator: Sends through any instance.
        accepted_jobs: Ids of jobs whose acceptance was acknowledged.
        accepted_version: Highest acknowledged version of the customer.
        observed: Instance, customer and version, in order of observation.
        submission_lock: Held while a job of the load is in flight.
        revision_lock: Held while a revision of the load is in flight.
    """

    def __init__(
        self,
        instances: Mapping[str, local_cluster.Instance],
        key: str,
        is_up: Callable[[str], bool],
    ):
        self.instances = instances
        self.key = key
        self.is_up = is_up
        self.operator = self.new_operator("ann")
        self.accepted_jobs: list[str] = []
        self.accepted_version = 0
        self.observed: list[tuple[str, str, int]] = []
        self.submission_lock = trio.Lock()
        self.revision_lock = trio.Lock()
        self._observation_locks = {name: trio.Lock() for name in instances}

    def new_operator(self, name: str, *via: str) -> operator.Operator:
        """Return a new operator that uses the named instances, or all."""
        names = via or tuple(self.instances)
        servers = tuple(self.instances[name].operators for name in names)
        return operator.Operator(name, self.key, servers)

    async def configure(self) -> None:
        """Publish the templates and set the customer."""
        for body in _TEMPLATES:
            path = f"/v1/templates/{body['name']}"
            await self.put(path, body)
        await self.put(CUSTOMER_PATH, customer(INITIAL_MAX_REQUESTS))
        self.accepted_version = 1

    async def put(
        self, path: str, body: dict[str, object], allow_conflict: bool = False
    ) -> None:
        """Create a configuration entry.

        Args:
            path: Path of the entry.
            body: Body of the entry.
            allow_conflict: Whether the entry may exist already.
        """
        document = {"base_version": 0, "body": body}
        reply = await self.operator.change("PUT", path, document)
        conflict = allow_conflict and reply.status == 409
        assert reply.status == 200 or conflict, reply

    async def run(self) -> None:
        """Submit, revise and observe until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_forever)
            nursery.start_soon(self._revise_forever)
            for instance in self.instances.values():
                nursery.start_soon(self._observe_forever, instance)

    @contextlib.asynccontextmanager
    async def paused(self) -> AsyncIterator[None]:
        """Suspend submissions and revisions within the context.

        The context is entered once those in flight have been answered; until
        then they may still be accepted.
        """
        async with self.submission_lock, self.revision_lock:
            yield

    async def _submit_forever(self) -> None:
        submitter = self.new_operator("submitter")
        while True:
            async with self.submission_lock:
                await self.submit(submitter)
            await trio.sleep(JOB_PERIOD_SECONDS)

    async def submit(self, submitter: operator.Operator) -> str:
        """Submit a job that must finish and return its id."""
        job_id = await self.submit_job(submitter, BATCH_TEMPLATE, TASKS_PER_JOB)
        self.accepted_jobs.append(job_id)
        return job_id

    async def submit_job(
        self, submitter: operator.Operator, template: str, tasks: int
    ) -> str:
        """Submit a job, resending until it is accepted, and return its id."""
        operation_id = submitter.new_operation_id()
        job_id = f"job-{operation_id}"
        document = {
            "customer": CUSTOMER,
            "template": template,
            "tasks": tasks,
            "deadline_wall_seconds": time.time() + 3600.0,
            "job_id": job_id,
        }
        reply = await submitter.change(
            "POST", "/v1/jobs", document, operation_id
        )
        assert reply.status == 200, reply
        return job_id

    async def _revise_forever(self) -> None:
        reviser = self.new_operator("reviser")
        while True:
            async with self.revision_lock:
                await self.revise(reviser)
            await trio.sleep(REVISION_PERIOD_SECONDS)

    async def revise(
        self, reviser: operator.Operator, operation_id: str = ""
    ) -> operator.Reply:
        """Revise the customer once and record the accepted version.

        Args:
            reviser: Operator that sends the revision, based on the version
                accepted last.
            operation_id: Operation id of the revision to resend; a new
                revision if empty.

        Returns:
            The final answer: 200 if accepted, 409 on a version conflict.
        """
        base = self.accepted_version
        body = customer(INITIAL_MAX_REQUESTS + base)
        document = {"base_version": base, "body": body}
        reply = await reviser.change(
            "PUT", CUSTOMER_PATH, document, operation_id
        )
        assert reply.status in (200, 409), reply
        version = reply.body.get("version") or reply.body["current_version"]
        assert (
            version >= base
        ), f"{base} was accepted before, but {reply} came later"
        self.accepted_version = max(self.accepted_version, version)
        return reply

    async def _observe_forever(self, instance: local_cluster.Instance) -> None:
        while True:
            await self.observe(instance)
            await trio.sleep(OBSERVE_PERIOD_SECONDS)

    async def observe(self, instance: local_cluster.Instance) -> int:
        """Record and return the version of the customer an instance shows.

        Returns:
            The version; 0 if the instance is down, not ready or does not
            answer in time.
        """
        if not self.is_up(instance.name):
            return 0
        # One read at a time per instance keeps the observations in order.
        with trio.move_on_after(OBSERVE_TIMEOUT_SECONDS):
            async with self._observation_locks[instance.name]:
                return await self._observe(instance)
        return 0

    async def _observe(self, instance: local_cluster.Instance) -> int:
        # An instance may show outdated versions until it is ready.
        ready = await self.operator.send(instance.operators, "GET", "/readyz")
        if ready.status != 200:
            return 0
        document = await self.operator.read(instance.operators, CUSTOMER_PATH)
        if document is None:
            return 0
        version: int = document["item"]["version"]
        self.observed.append((instance.name, CUSTOMER, version))
        return version

    async def job_states(self) -> dict[str, str]:
        """Return state by job id, as the first instance to answer shows it."""
        for instance in self.instances.values():
            if self.is_up(instance.name):
                document = await self.operator.read(
                    instance.operators, "/v1/jobs"
                )
                if document is not None:
                    return {
                        item["job_id"]: item["state"]
                        for item in document["items"]
                    }
        return {}
