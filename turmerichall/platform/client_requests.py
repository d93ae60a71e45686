"""What clients send about jobs, and what they are answered."""

from typing import Any

import msgspec

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.http1 import message
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = ["answer", "demand_from_wire", "failure_response", "to_response"]

MAX_SPEC_BYTES = 4096
MAX_TASKS = 10_000


class _Step(msgspec.Struct):
    """A step on the wire; what is left out is 0, false or empty."""

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
    """A job on the wire."""

    steps: list[_Step]
    spec: str = ""
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_DECODER = msgspec.json.Decoder(_Job, strict=False)


def demand_from_wire(body: bytes) -> demands.JobDemand | errors.Finding:
    """Reads a job.

    Returns:
        The job, or what is wrong with it.
    """
    try:
        job = _DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return errors.Finding("job", str(error))
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return errors.Finding("job.spec", f"is over {MAX_SPEC_BYTES} bytes")
    steps = []
    for number, step in enumerate(job.steps):
        if step.count < 1 or step.count > MAX_TASKS:
            return errors.Finding(f"job.steps[{number}]", "bad count")
        if any(other < 0 or other >= number for other in step.after):
            return errors.Finding(
                f"job.steps[{number}].after", "expected earlier steps"
            )
        steps.append(_step(step))
    if not steps:
        return errors.Finding("job.steps", "expected at least one")
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


# What a failure that stands for a refusal is on the wire; any other is 503.
_STATUSES = {
    outcomes.RefusalReason.UNKNOWN_SERVICE: 404,
    outcomes.RefusalReason.UNKNOWN_NAME: 410,
    outcomes.RefusalReason.MALFORMED: 400,
    outcomes.RefusalReason.OVERLOADED: 429,
    outcomes.RefusalReason.DEADLINE: 429,
    outcomes.RefusalReason.NEVER_FITS: 429,
}


def failure_response(failed: leader_apis.Failure) -> message.Response:
    """Answers what was refused, or whose effect is not known.

    Examples:
        >>> failure_response(leader_apis.NO_QUORUM).status
        503
    """
    if isinstance(failed, outcomes.Unknown):
        return message.Response(504)
    headers = {}
    if failed.retry_after_seconds is not None:
        # Whole seconds, as HTTP has it.
        headers["retry-after"] = str(max(1, round(failed.retry_after_seconds)))
    return message.Response(_STATUSES.get(failed.reason, 503), b"", headers)


async def answer(
    leader_api: leader_apis.LeaderApi, request: message.Request
) -> message.Response | outcomes.Refusal:
    """Answers a client's call.

    Returns:
        The answer, or a refusal with `NOT_LEADER` if another replica leads.
    """
    path = request.target.partition("?")[0]
    queue = await leader_api.find_queue(request.host, path)
    if isinstance(queue, outcomes.Refusal):
        if queue.reason == outcomes.RefusalReason.NOT_LEADER:
            return queue
        return failure_response(queue)
    job = path[len(queue.path_prefix) :]
    if request.method == "POST" and job:
        return await _submit(leader_api, queue, job, request.body)
    if request.method == "GET" and not job:
        return message.Response(
            200, _encode({"pending": leader_api.pending(queue)})
        )
    if request.method == "GET":
        state = leader_api.job_state(job)
        if isinstance(state, outcomes.Refusal):
            return failure_response(state)
        return message.Response(200, _encode({"state": state.value}))
    if request.method == "DELETE" and job:
        failed = await leader_api.cancel(job)
        return to_response(failed)
    return message.Response(405)


async def _submit(
    leader_api: leader_apis.LeaderApi,
    queue: configurations.Queue,
    job: str,
    body: bytes,
) -> message.Response | outcomes.Refusal:
    demand = demand_from_wire(body)
    if isinstance(demand, errors.Finding):
        return message.Response(400, _encode({"error": str(demand)}))
    return to_response(await leader_api.submit(queue, job, demand))


def to_response(
    failed: leader_apis.Failure | None,
) -> message.Response | outcomes.Refusal:
    """Answers what was done, or not.

    Returns:
        The answer, or a refusal with `NOT_LEADER` if another replica leads.
    """
    if failed is None:
        return message.Response(200, b"{}")
    if isinstance(failed, outcomes.Refusal) and (
        failed.reason == outcomes.RefusalReason.NOT_LEADER
    ):
        return failed
    return failure_response(failed)


def _encode(value: dict[str, Any]) -> bytes:
    return msgspec.json.encode(value)
