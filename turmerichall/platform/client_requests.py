"""HTTP requests of clients about jobs, and the responses to them."""

import re
from typing import Any

import msgspec

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch.withdrawals import withdrawal
from turmerichall.entry import calls
from turmerichall.http1 import message
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = ["demand_from_wire", "failure_response", "handle", "to_response"]

# An id stands in the names of tasks, whose parts are separated by dots.
_JOB_ID = re.compile(r"[!-\-0-~]{1,128}")
# Bounds on the tasks of one step, and of all steps of a job.
MAX_TASKS = 10_000
MAX_JOB_TASKS = 20_000
# Largest number that a change in the log can hold.
MAX_NUMBER = 2**63 - 1


class _Step(msgspec.Struct):
    """A step of a submitted job, as clients encode it in JSON.

    An omitted field is 0, false or empty.  If `may_miss` is omitted, the
    scheduler may make any number of the step's long-running tasks unavailable
    at the same time.
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_duration_ms: int = 0
    after: list[int] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int | None = None


class _Job(msgspec.Struct):
    """A submitted job, as clients encode it in JSON."""

    steps: list[_Step]
    spec: str = ""
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_DECODER = msgspec.json.Decoder(_Job, strict=False)


def demand_from_wire(body: bytes) -> demands.JobDemand | errors.Finding:
    """Decode and validate a submitted job.

    Returns:
        The job, or a finding that says what is wrong with it.
    """
    try:
        job = _DECODER.decode(body)
    except (
        msgspec.DecodeError,
        msgspec.ValidationError,
        RecursionError,
        UnicodeDecodeError,
    ) as error:
        return errors.Finding("job", str(error))
    if len(job.spec.encode()) > demands.MAX_SPEC_BYTES:
        return errors.Finding(
            "job.spec", f"is longer than {demands.MAX_SPEC_BYTES} bytes"
        )
    steps = []
    for number, step in enumerate(job.steps):
        if step.count < 1 or step.count > MAX_TASKS:
            return errors.Finding(
                f"job.steps[{number}]", "count is out of range"
            )
        # A comparison with a number that is not one is false.
        if not all(
            0 <= value <= MAX_NUMBER
            for value in (
                step.cpu,
                step.mem_mb,
                step.gpu,
                step.est_duration_ms,
                step.max_per_server,
                step.target_ms,
                step.may_miss or 0,
            )
        ):
            return errors.Finding(
                f"job.steps[{number}]", "a number is out of range"
            )
        if any(earlier < 0 or earlier >= number for earlier in step.after):
            return errors.Finding(
                f"job.steps[{number}].after",
                "expected numbers of earlier steps",
            )
        steps.append(_step(step))
    if not steps:
        return errors.Finding("job.steps", "expected at least one step")
    if sum(step.count for step in steps) > MAX_JOB_TASKS:
        return errors.Finding(
            "job.steps", f"have more than {MAX_JOB_TASKS} tasks in all"
        )
    timing = (job.repeat_count, job.start_at_ms, job.interval_ms)
    if not all(0 <= value <= MAX_NUMBER for value in timing):
        return errors.Finding("job", "a number is out of range")
    schedule = None
    if job.repeat_count > 0:
        schedule = demands.Schedule(
            job.start_at_ms, job.interval_ms, job.repeat_count
        )
    return demands.JobDemand(job.spec, tuple(steps), schedule)


def _step(step: _Step) -> demands.StepDemand:
    return demands.StepDemand(
        step.count,
        step.cpu,
        step.mem_mb,
        step.gpu,
        step.est_duration_ms,
        tuple(step.after),
        step.checkpoints,
        step.gang,
        step.same_rack,
        step.required_label,
        step.data_rack,
        step.max_per_server,
        step.speculative,
        step.long_running,
        step.image,
        int(step.target_ms),
        step.fills,
        -1 if step.may_miss is None else step.may_miss,
    )


# HTTP status by the reason of a refusal; 503 for any other reason.
_STATUS_BY_REASON = {
    outcomes.RefusalReason.UNKNOWN_SERVICE: 404,
    outcomes.RefusalReason.UNKNOWN_NAME: 410,
    outcomes.RefusalReason.MALFORMED: 400,
    outcomes.RefusalReason.TOO_LARGE: 413,
    outcomes.RefusalReason.OVERLOADED: 429,
    outcomes.RefusalReason.DEADLINE: 429,
    outcomes.RefusalReason.NEVER_FITS: 429,
}


def failure_response(failure: leader_apis.Failure) -> message.Response:
    """Return the response for a refusal, or 504 for an unknown outcome.

    Examples:
        >>> failure_response(leader_apis.NO_QUORUM).status
        503
    """
    if isinstance(failure, outcomes.Unknown):
        return message.Response(504)
    headers = {}
    if failure.retry_after_seconds is not None:
        # HTTP allows only whole seconds in this header.
        headers["retry-after"] = str(max(1, round(failure.retry_after_seconds)))
    return message.Response(
        _STATUS_BY_REASON.get(failure.reason, 503), b"", headers
    )


async def handle(
    leader_api: leader_apis.LeaderApi, request: message.Request
) -> message.Response | outcomes.Refusal:
    """Handle a client's request to submit, query or cancel a job.

    Returns:
        The response, or a refusal with `NOT_LEADER` if another replica leads.
    """
    path = request.target.partition("?")[0]
    queue = await leader_api.find_queue(request.host, path)
    if isinstance(queue, outcomes.Refusal):
        # Only the refusal of a submission says that nothing is or will be run.
        if request.method != "POST":
            return to_response(queue)
        return to_response(
            await leader_api.refuse(
                queue, path.rpartition("/")[2], calls.attempt(request)
            )
        )
    job_id = path[len(queue.path_prefix) :]
    if request.method == "POST" and job_id:
        return await _submit(leader_api, queue, job_id, request)
    if request.method == "GET" and not job_id:
        return message.Response(
            200, _encode({"pending": leader_api.pending(queue)})
        )
    if request.method == "GET":
        state = leader_api.job_state(job_id)
        if isinstance(state, outcomes.Refusal):
            return failure_response(state)
        return message.Response(200, _encode({"state": state.value}))
    if request.method == "DELETE" and job_id:
        if not _JOB_ID.fullmatch(job_id):
            # No job can have this id.
            return to_response(withdrawal.UNKNOWN_JOB)
        failure = await leader_api.cancel(job_id)
        return to_response(failure)
    return message.Response(405)


async def _submit(
    leader_api: leader_apis.LeaderApi,
    queue: configurations.Queue,
    job_id: str,
    request: message.Request,
) -> message.Response | outcomes.Refusal:
    demand: demands.JobDemand | errors.Finding
    if _JOB_ID.fullmatch(job_id):
        demand = demand_from_wire(request.body)
    else:
        demand = errors.Finding("job", "id is malformed")
    if isinstance(demand, errors.Finding):
        leader_api.rejections.record(
            "job", "malformed", job=job_id, finding=str(demand)
        )
        return message.Response(400, _encode({"error": str(demand)}))
    caller_zone = request.headers.get(calls.CALLER_ZONE_HEADER, "")
    return to_response(
        await leader_api.submit(
            queue, job_id, demand, caller_zone, calls.attempt(request)
        )
    )


def to_response(
    failure: leader_apis.Failure | None,
) -> message.Response | outcomes.Refusal:
    """Return the HTTP response after an operation succeeded or failed.

    Args:
        failure: Why the operation failed; None if it succeeded.

    Returns:
        The response, or a refusal with `NOT_LEADER` if another replica leads.
    """
    if failure is None:
        return message.Response(200, b"{}")
    if isinstance(failure, outcomes.Refusal) and (
        failure.reason == outcomes.RefusalReason.NOT_LEADER
    ):
        return failure
    return failure_response(failure)


def _encode(value: dict[str, Any]) -> bytes:
    return msgspec.json.encode(value)
