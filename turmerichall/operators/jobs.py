"""Batch jobs over HTTP."""

import hashlib
from typing import Any, NamedTuple

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.jobs import job
from turmerichall.operators import exchange
from turmerichall.operators import freshness
from turmerichall.operators import job_status
from turmerichall.operators import operations
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.state import change as changes
from turmerichall.templates import template

__all__ = ["JobDocument", "cancel", "explain", "list_jobs", "show", "submit"]

JOB_ID_DIGITS = 12
MAX_LISTED_JOBS = 1000
MAX_SHOWN_TASKS = 1000
TASKS_PER_STEP = 2000
MAX_WALL_SECONDS = 1e11


class JobDocument(NamedTuple):
    """A batch job to accept.

    Attributes:
        customer: Name of the customer.
        template: Name of a batch template.
        deadline_wall_seconds: When it must be finished, Unix time.
        tasks: How many tasks.
        job_id: Unique id; made from the operation id if empty.
    """

    customer: str
    template: str
    deadline_wall_seconds: float
    tasks: int = 1
    job_id: str = ""

    def findings(self) -> list[errors.Finding]:
        """Checks the values and returns all faults."""
        found = template.name_findings("customer", self.customer)
        found += template.name_findings("template", self.template)
        if self.job_id:
            found += template.name_findings("job_id", self.job_id)
        if self.tasks < 1:
            found.append(errors.Finding("tasks", "must be at least 1"))
        if not 0 < self.deadline_wall_seconds <= MAX_WALL_SECONDS:
            place = "deadline_wall_seconds"
            reason = f"must be above 0 and at most {MAX_WALL_SECONDS:g}"
            found.append(errors.Finding(place, reason))
        return found


def job_id_of(operation_id: str) -> str:
    """Names a job after its operation, so that a resend names the same one.

    Examples:
        >>> job_id_of("a") == job_id_of("a") != job_id_of("b")
        True
    """
    digest = hashlib.sha256(operation_id.encode()).hexdigest()
    return f"job-{digest[:JOB_ID_DIGITS]}"


async def submit(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Accepts a job."""
    asked = operations.read_operation(request)
    document: JobDocument = operations.decode_body(request, JobDocument)
    job_id = document.job_id or job_id_of(asked.operation_id)
    change = changes.AcceptJob(
        asked,
        job_id,
        document.customer,
        document.template,
        document.tasks,
        document.deadline_wall_seconds,
    )
    about = {"job_id": job_id}
    first = job.Task(
        job.task_id(job_id, 0), document.template, document.customer
    )
    misfit = job_status.unschedulable_reason(services, first)
    if misfit:
        about["never_fits"] = misfit
    return await operations.submit(services, change, asked, **about)


async def cancel(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Cancels a job."""
    asked = operations.read_operation(request)
    job_id = request.parameters["name"]
    change = changes.CancelJob(asked, job_id)
    return await operations.submit(services, change, asked, job_id=job_id)


async def list_jobs(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Lists the newest jobs, by `?state=` and `?customer=` if given."""
    note = await freshness.refresh(services, request)
    if isinstance(note, outcomes.Refusal):
        return note
    items = await _matching(
        services,
        request.query.get("state", ""),
        request.query.get("customer", ""),
    )
    return replies.json_response(
        freshness.with_freshness(note, {"items": items})
    )


async def _matching(
    services: services_module.Services, state: str, customer: str
) -> list[dict[str, Any]]:
    """Returns the newest jobs that match, in small steps of work."""
    job_store = services.machine.job_store
    items: list[dict[str, Any]] = []
    tasks = 0
    for job_id in list(reversed(job_store.jobs)):
        held = job_store.jobs.get(job_id)
        if held is None or customer not in ("", held.customer):
            continue
        tasks += held.tasks
        if tasks > TASKS_PER_STEP:
            # Lets the other tasks of the daemon run; jobs may go meanwhile.
            await trio.lowlevel.checkpoint()
            tasks = 0
            if job_id not in job_store.jobs:
                continue
        summary = _summary(services, job_id)
        if state in ("", summary["state"]):
            items.append(summary)
        if len(items) == MAX_LISTED_JOBS:
            break
    return items


async def show(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Shows a job and its tasks."""
    return await _one(services, request, explained=False)


async def explain(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Shows what was decided about a job, in order, and where it is now."""
    return await _one(services, request, explained=True)


async def _one(
    services: services_module.Services,
    request: exchange.Request,
    explained: bool,
) -> exchange.Response | outcomes.Refusal:
    note = await freshness.refresh(services, request)
    if isinstance(note, outcomes.Refusal):
        return note
    job_id = request.parameters["name"]
    job_store = services.machine.job_store
    if job_id not in job_store.jobs:
        return outcomes.Refusal(
            outcomes.RefusalReason.UNKNOWN_NAME,
            f"job {job_id!r} does not exist",
        )
    item = _summary(services, job_id)
    item |= await job_status.unreplicated_fields(
        services, job_id, freshness.may_ask_others(request)
    )
    if explained:
        item["decisions"] = job_store.decisions.get(job_id, [])
    # `task_states` counts all of them, also those of jobs that ended long ago.
    item["current"] = job_store.job_tasks(job_id)[:MAX_SHOWN_TASKS]
    return replies.json_response(freshness.with_freshness(note, {"item": item}))


def _summary(services: services_module.Services, job_id: str) -> dict[str, Any]:
    job_store = services.machine.job_store
    held = job_store.jobs[job_id]
    totals = job_store.job_totals(job_id)
    return {
        **held._asdict(),
        "state": job.job_state(held, totals).value,
        "task_states": {
            state.value: count for state, count in totals.states.items()
        },
    }
