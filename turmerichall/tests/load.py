"""What operators do all the time while faults are injected.

One keeps revising a customer, one keeps submitting jobs, and the version of
the customer that each instance shows is observed.
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
BATCH = "roster"
RUN_SECONDS = 4.0
TASKS_PER_JOB = 2
JOB_PERIOD_SECONDS = 2.0
CHANGE_PERIOD_SECONDS = 1.0
OBSERVE_PERIOD_SECONDS = 0.5
OBSERVE_TIMEOUT_SECONDS = 2.0
MAX_REQUESTS = 64
CUSTOMER_PATH = f"/v1/customers/{CUSTOMER}"
_TEMPLATES: tuple[dict[str, object], ...] = (
    {
        "name": SERVICE,
        "kind": "service",
        "size": {"processors": 1.0, "memory_mb": 500},
    },
    {
        "name": BATCH,
        "kind": "batch",
        "size": {"processors": 2.0, "memory_mb": 2000},
        "run_seconds": RUN_SECONDS,
    },
)


def customer(max_requests: int) -> dict[str, object]:
    """Returns the parameters of the customer."""
    return {
        "name": CUSTOMER,
        "team": "desk-team",
        "urgency": "urgent",
        "zones": ["z1", "z2", "z3"],
        "services": {SERVICE: 2},
        "max_requests": max_requests,
    }


class Load:
    """Changes that operators send, and what instances show of them.

    Attributes:
        instances: Entry instances by name.
        key: Key of operators.
        is_up: Tells whether an instance runs.
        operator: Operates through all instances.
        accepted_jobs: Ids of jobs whose acceptance was answered.
        accepted_version: Highest version of the customer that was answered.
        observed: Instance, entry and version, in order of observation.
        submitting: Held while the load has a job in flight.
        revising: Held while the load has a change in flight.
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
        self.submitting = trio.Lock()
        self.revising = trio.Lock()
        self._observing = {name: trio.Lock() for name in instances}

    def new_operator(self, name: str, *via: str) -> operator.Operator:
        """Makes an operator who uses only the named instances, or all."""
        names = via or tuple(self.instances)
        servers = tuple(self.instances[name].operators for name in names)
        return operator.Operator(name, self.key, servers)

    async def configure(self) -> None:
        """Publishes the templates and sets the customer."""
        for body in _TEMPLATES:
            path = f"/v1/templates/{body['name']}"
            await self.put(path, body)
        await self.put(CUSTOMER_PATH, customer(MAX_REQUESTS))
        self.accepted_version = 1

    async def put(
        self, path: str, body: dict[str, object], again: bool = False
    ) -> None:
        """Publishes an entry of the configuration; once, unless `again`."""
        document = {"base_version": 0, "body": body}
        reply = await self.operator.change("PUT", path, document)
        conflict = again and reply.status == 409
        assert reply.status == 200 or conflict, reply

    async def run(self) -> None:
        """Submits, revises and observes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_forever)
            nursery.start_soon(self._revise_forever)
            for instance in self.instances.values():
                nursery.start_soon(self._observe_forever, instance)

    @contextlib.asynccontextmanager
    async def paused(self) -> AsyncIterator[None]:
        """Waits until jobs and changes in flight are answered, sends no more.

        A change that was sent before may be accepted any time until then.
        """
        async with self.submitting, self.revising:
            yield

    async def _submit_forever(self) -> None:
        submitter = self.new_operator("submitter")
        while True:
            async with self.submitting:
                await self.submit(submitter)
            await trio.sleep(JOB_PERIOD_SECONDS)

    async def submit(self, submitter: operator.Operator) -> str:
        """Submits a job that must finish, and returns its id."""
        job_id = await self.submit_job(submitter, BATCH, TASKS_PER_JOB)
        self.accepted_jobs.append(job_id)
        return job_id

    async def submit_job(
        self, submitter: operator.Operator, template: str, tasks: int
    ) -> str:
        """Submits a job until it is accepted, and returns its id."""
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
            async with self.revising:
                await self.revise(reviser)
            await trio.sleep(CHANGE_PERIOD_SECONDS)

    async def revise(
        self, reviser: operator.Operator, operation_id: str = ""
    ) -> operator.Reply:
        """Has the customer revised once, and notes the version.

        Args:
            reviser: Who revises it, based on the version last accepted.
            operation_id: Id of the change, if it is a resend.

        Returns:
            The final answer: accepted, or a conflict.
        """
        base = self.accepted_version
        body = customer(MAX_REQUESTS + base)
        document = {"base_version": base, "body": body}
        reply = await reviser.change(
            "PUT", CUSTOMER_PATH, document, operation_id
        )
        assert reply.status in (200, 409), reply
        shown = reply.body.get("version") or reply.body["current_version"]
        assert shown >= base, f"{base} was accepted, {reply} came after"
        self.accepted_version = max(self.accepted_version, shown)
        return reply

    async def _observe_forever(self, instance: local_cluster.Instance) -> None:
        while True:
            await self.observe(instance)
            await trio.sleep(OBSERVE_PERIOD_SECONDS)

    async def observe(self, instance: local_cluster.Instance) -> int:
        """Notes and returns the customer's version that an instance shows.

        Returns:
            The version; 0 if the instance does not answer.
        """
        if not self.is_up(instance.name):
            return 0
        # One read at a time, so that answers are noted in order.
        with trio.move_on_after(OBSERVE_TIMEOUT_SECONDS):
            async with self._observing[instance.name]:
                return await self._observe(instance)
        return 0

    async def _observe(self, instance: local_cluster.Instance) -> int:
        # What an instance holds is in force once it says that it is ready.
        ready = await self.operator.send(instance.operators, "GET", "/readyz")
        if ready.status != 200:
            return 0
        shown = await self.operator.read(instance.operators, CUSTOMER_PATH)
        if shown is None:
            return 0
        version: int = shown["item"]["version"]
        self.observed.append((instance.name, CUSTOMER, version))
        return version

    async def jobs(self) -> dict[str, str]:
        """Returns the state of each job, as an instance shows it."""
        for instance in self.instances.values():
            if self.is_up(instance.name):
                shown = await self.operator.read(instance.operators, "/v1/jobs")
                if shown is not None:
                    return {
                        item["job_id"]: item["state"] for item in shown["items"]
                    }
        return {}
