"""HTTP handlers for batch jobs."""

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
    """Body of a request that submits a batch job.

    Attributes:
        customer: Name of the customer.
        template: Name of a batch template.
        deadline_wall_seconds: Time by which the job must be finished, Unix
            time.
        tasks: Number of tasks.
        job_id: Unique id; derived from the operation id if empty.
    """

    customer: str
    template: str
    deadline_wall_seconds: float
    tasks: int = 1
    job_id: str = ""

    def findings(self) -> list[errors.Finding]:
        """Return a finding for each invalid value."""
        findings = template.name_findings("customer", self.customer)
        findings += template.name_findings("template", self.template)
        if self.job_id:
            findings += template.name_findings("job_id", self.job_id)
        if self.tasks < 1:
            findings.append(errors.Finding("tasks", "must be at least 1"))
        if not 0 < self.deadline_wall_seconds <= MAX_WALL_SECONDS:
            place = "deadline_wall_seconds"
            reason = f"must be above 0 and at most {MAX_WALL_SECONDS:g}"
            findings.append(errors.Finding(place, reason))
        return findings


def job_id_of(operation_id: str) -> str:
    """Return a job id derived from an operation id.

    A resent operation gets the same job id, so that it creates no second job.

    Examples:
        >>> job_id_of("a") == job_id_of("a") != job_id_of("b")
        True
    """
    digest = hashlib.sha256(operation_id.encode()).hexdigest()
    return f"job-{digest[:JOB_ID_DIGITS]}"


async def submit(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Submit a job."""
    operation = operations.read_operation(request)
    document: JobDocument = operations.decode_body(request, JobDocument)
    job_id = document.job_id or job_id_of(operation.operation_id)
    change = changes.AcceptJob(
        operation,
        job_id,
        document.customer,
        document.template,
        document.tasks,
        document.deadline_wall_seconds,
    )
    about = {"job_id": job_id}
    first_task = job.Task(
        job.task_id(job_id, 0), document.template, document.customer
    )
    unschedulable = job_status.unschedulable_reason(services, first_task)
    if unschedulable:
        about["never_fits"] = unschedulable
    return await operations.submit(services, change, operation, **about)


async def cancel(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Cancel a job."""
    operation = operations.read_operation(request)
    job_id = request.parameters["name"]
    change = changes.CancelJob(operation, job_id)
    return await operations.submit(services, change, operation, job_id=job_id)


async def list_jobs(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """List the newest jobs, filtered by `?state=` and `?customer=` if given."""
    staleness = await freshness.refresh(services, request)
    if isinstance(staleness, outcomes.Refusal):
        return staleness
    items = await _matching(
        services,
        request.query.get("state", ""),
        request.query.get("customer", ""),
    )
    return replies.json_response(
        freshness.with_freshness(staleness, {"items": items})
    )


async def _matching(
    services: services_module.Services, state: str, customer: str
) -> list[dict[str, Any]]:
    """Return the newest jobs of a customer that are in a state.

    An empty customer or state matches all.

    Pauses regularly so that other requests are served meanwhile.
    """
    job_store = services.machine.job_store
    items: list[dict[str, Any]] = []
    tasks = 0
    for job_id in list(reversed(job_store.jobs)):
        record = job_store.jobs.get(job_id)
        if record is None or customer not in ("", record.customer):
            continue
        tasks += record.tasks
        if tasks > TASKS_PER_STEP:
            # Lets other tasks of the daemon run; they may remove this job.
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
    """Show a job and its tasks."""
    return await _show_job(services, request, with_decisions=False)


async def explain(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Show a job, its tasks and the decisions about them, oldest first."""
    return await _show_job(services, request, with_decisions=True)


async def _show_job(
    services: services_module.Services,
    request: exchange.Request,
    with_decisions: bool,
) -> exchange.Response | outcomes.Refusal:
    staleness = await freshness.refresh(services, request)
    if isinstance(staleness, outcomes.Refusal):
        return staleness
    job_id = request.parameters["name"]
    job_store = services.machine.job_store
    if job_id not in job_store.jobs:
        return outcomes.Refusal(
            outcomes.RefusalReason.UNKNOWN_NAME,
            f"job {job_id!r} does not exist",
        )
    item = _summary(services, job_id)
    item |= await job_status.computed_fields(
        services, job_id, freshness.may_ask_others(request)
    )
    if with_decisions:
        item["decisions"] = job_store.decisions.get(job_id, [])
    # Empty for a job that ended so long ago that its tasks were dropped.  The
    # field `task_states` counts them nevertheless.
    item["current"] = job_store.job_tasks(job_id)[:MAX_SHOWN_TASKS]
    return replies.json_response(
        freshness.with_freshness(staleness, {"item": item})
    )


def _summary(services: services_module.Services, job_id: str) -> dict[str, Any]:
    job_store = services.machine.job_store
    record = job_store.jobs[job_id]
    totals = job_store.job_totals(job_id)
    return {
        **record._asdict(),
        "state": job.job_state(record, totals).value,
        "task_states": {
            state.value: count for state, count in totals.states.items()
        },
    }
