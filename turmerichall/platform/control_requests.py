"""HTTP requests of workers and operators to the replicas.

Workers send heartbeats and deregister; operators read and replace the
configuration.  Optional fields that are missing or have another type get their
defaults.
"""

from collections.abc import Awaitable, Callable
from typing import Any
import urllib.parse

import msgspec

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import worker_client
from turmerichall.http1 import message
from turmerichall.peers import link
from turmerichall.platform import client_requests
from turmerichall.platform import configuration_document
from turmerichall.platform import lenient_json
from turmerichall.queues import change as changes
from turmerichall.queues import worker_check

__all__ = ["handle", "heartbeat_from_wire"]

INSTANCES = "/v1/instances/"
EVACUATION = "/v1/evacuation/"
CONFIG_REPLACE = "/v1/config/replace"
CONFIG_READ = "/v1/config/read"
# Bounds on what a worker says of itself.
MAX_TEXT_CHARS = 256
MAX_LABELS = 64
MAX_CAPACITY = 10**12
# Bounds on the findings about one configuration in a log line.
MAX_LOGGED = 8
MAX_LOGGED_CHARS = 200


def _worker_id(path: str, verb: str) -> str:
    """Return the worker's id from a request path.

    Returns:
        The id; an empty string if the path has another form.

    Examples:
        >>> _worker_id("/v1/instances/i-7f/heartbeat", "/heartbeat")
        'i-7f'
    """
    if not path.startswith(INSTANCES) or not path.endswith(verb):
        return ""
    worker = path[len(INSTANCES) : -len(verb)]
    return "" if "/" in worker else worker


def _evacuated_zone(path: str, verb: str) -> str | None:
    """Return the zone from the path of an operator's evacuation request.

    Returns:
        The zone, which may be empty; None if the path has another form.

    Examples:
        >>> _evacuated_zone("/v1/evacuation/ikeja-a/begin", "/begin")
        'ikeja-a'
    """
    if not path.startswith(EVACUATION) or not path.endswith(verb):
        return None
    zone = path[len(EVACUATION) : -len(verb)]
    return None if "/" in zone else urllib.parse.unquote(zone)


def _is_short_text(value: str) -> bool:
    return len(value) <= MAX_TEXT_CHARS


def heartbeat_from_wire(
    worker: str, body: bytes
) -> worker_client.Heartbeat | errors.Finding:
    """Decode and validate a heartbeat.

    A worker that is accepted can be stored and called.

    Returns:
        The heartbeat, or a finding that says why it can't be used; its reason
        is one of few.
    """
    document = lenient_json.decode_object(body)
    place = f"heartbeat of {worker[:MAX_TEXT_CHARS]}"
    if document is None:
        return errors.Finding(
            place, "is not a JSON object, or has too many values"
        )
    state = document.get("state")
    if state not in ("ready", "draining"):
        return errors.Finding(place, "state is unknown")
    record = _worker_record(worker, document)
    if isinstance(record, str):
        return errors.Finding(place, record)
    number = lenient_json.bounded
    clock_ms = number(document.get("clock_ms"))
    return worker_client.Heartbeat(
        record,
        state == "draining",
        number(document.get("seq")) or 0,
        -1 if clock_ms is None else clock_ms,
        number(document.get("cold_remaining_ms")) or 0,
    )


def _worker_record(
    worker: str, document: dict[str, Any]
) -> changes.WorkerRecord | str:
    """Return the worker of a heartbeat, or why it can't be used."""
    text = lenient_json.text
    if not text(document.get("service")):
        return "service is missing"
    capacity = _capacity(document.get("capacity"))
    if capacity is None:
        return "capacity is missing or out of range"
    labels_field = document.get("labels")
    labels = tuple(
        label
        for label in (labels_field if isinstance(labels_field, list) else [])
        if isinstance(label, str)
    )
    # A worker has the same id after a new start; only this tells its lives
    # apart.
    born_ms = lenient_json.bounded(document.get("born")) or 0
    record = changes.WorkerRecord(
        changes.incarnation_id(worker, born_ms) if born_ms else worker,
        text(document.get("machine")),
        text(document.get("address")),
        text(document.get("service")),
        text(document.get("zone")),
        # The position of a label in the list says what it means: the first is
        # the kind of the worker, the second its rack.
        labels[1] if len(labels) > 1 else "",
        labels,
        *capacity,
        worker if born_ms else "",
        born_ms,
    )
    if not all(map(_is_short_text, (record.machine, record.service))):
        return "machine or service is too long"
    if not _is_short_text(record.zone):
        return "zone is too long"
    if len(labels) > MAX_LABELS or not all(map(_is_short_text, labels)):
        return "labels are too many or too long"
    return worker_check.reason_unusable(record) or record


def _capacity(value: object) -> changes.Capacity | None:
    """Decode a capacity; return None if it can't be used.

    Examples:
        >>> _capacity({"cpu": 16000, "mem_mb": 32768})
        Capacity(cpu=16000, memory_mb=32768, gpu=0)
        >>> _capacity({"cpu": "16000", "mem_mb": 32768}) is None
        True
    """
    if not isinstance(value, dict):
        return None
    cpu = lenient_json.bounded(value.get("cpu"), most=MAX_CAPACITY)
    memory_mb = lenient_json.bounded(value.get("mem_mb"), most=MAX_CAPACITY)
    gpu = lenient_json.bounded(value.get("gpu", 0), most=MAX_CAPACITY)
    if cpu is None or memory_mb is None or gpu is None:
        return None
    return changes.Capacity(cpu, memory_mb, gpu)


async def handle(
    leader_api: leader_apis.LeaderApi,
    request: message.Request,
    own_address: str,
    log: link.Log,
) -> message.Response | outcomes.Refusal:
    """Handle a request of a worker or an operator.

    Args:
        leader_api: Operations that only the leader carries out.
        request: The request.
        own_address: Address on which this replica serves workers and
            operators, host:port; the response to a heartbeat names it.
        log: Receives findings about requests that are rejected.

    Returns:
        The response, or a refusal with `NOT_LEADER` if another replica leads.
    """
    path = request.target.partition("?")[0]
    if leader_api.leadership is None:
        return leader_apis.NOT_LEADER
    if request.method == "POST":
        worker = _worker_id(path, "/heartbeat")
        if worker:
            return await _heartbeat(leader_api, worker, request, own_address)
        worker = _worker_id(path, "/deregister")
        if worker:
            acknowledged = await leader_api.worker_leaving(worker)
            return client_requests.to_response(
                None if acknowledged else leader_apis.NO_QUORUM
            )
        if path == CONFIG_REPLACE:
            return await _configure(leader_api, request.body, log)
        for verb, change_zone in (
            ("/begin", leader_api.begin_evacuation),
            ("/finish", leader_api.finish_evacuation),
        ):
            zone = _evacuated_zone(path, verb)
            if zone is not None:
                return await _evacuate(change_zone, zone, request.body, log)
    if request.method == "GET" and path == CONFIG_READ:
        document = await leader_api.document()
        if isinstance(document, outcomes.Refusal):
            return client_requests.failure_response(document)
        return message.Response(200, document)
    return message.Response(404)


async def _heartbeat(
    leader_api: leader_apis.LeaderApi,
    worker: str,
    request: message.Request,
    own_address: str,
) -> message.Response:
    heartbeat = heartbeat_from_wire(worker, request.body)
    if isinstance(heartbeat, errors.Finding):
        leader_api.rejections.record(
            "heartbeat", heartbeat.reason, worker=worker
        )
        return message.Response(400, b"{}")
    if not await leader_api.heartbeat(heartbeat):
        return client_requests.failure_response(leader_apis.NO_QUORUM)
    url = f"http://{own_address}{INSTANCES}{worker}/heartbeat"
    return message.Response(200, msgspec.json.encode({"heartbeat_url": url}))


async def _evacuate(
    change_zone: Callable[[str], Awaitable[leader_apis.Failure | None]],
    zone: str,
    body: bytes,
    log: link.Log,
) -> message.Response | outcomes.Refusal:
    """Handle an operator's request to evacuate a zone, or to take it back."""
    reason = ""
    if body:
        reason = "expected no body"
    elif not zone.isprintable() or not zone:
        reason = f"zone name {zone!r} is not text"
    failure = None if reason else await change_zone(zone)
    if isinstance(failure, outcomes.Refusal) and (
        failure.reason == outcomes.RefusalReason.MALFORMED
    ):
        reason = failure.detail
    if reason:
        log.info(
            "evacuation request rejected",
            zone=zone[:MAX_LOGGED_CHARS],
            reason=reason[:MAX_LOGGED_CHARS],
        )
        return message.Response(400, msgspec.json.encode({"error": [reason]}))
    return client_requests.to_response(failure)


async def _configure(
    leader_api: leader_apis.LeaderApi, body: bytes, log: link.Log
) -> message.Response | outcomes.Refusal:
    document = configuration_document.decode(body)
    if document.errors:
        shown = document.errors[: configuration_document.MAX_ERRORS]
        reasons = [str(finding) for finding in shown]
        log.info("configuration rejected", findings=_excerpt(reasons))
        return message.Response(400, msgspec.json.encode({"error": reasons}))
    configuration = document.configuration
    # A repeated command changes nothing, and its warnings were logged before.
    is_new = (
        configuration.version > leader_api.queue_state.configuration.version
    )
    failure = await leader_api.configure(configuration, body)
    if failure is None and is_new and document.findings:
        log.warning(
            "configuration accepted with warnings",
            version=configuration.version,
            warnings=len(document.findings),
            findings=_excerpt([str(each) for each in document.findings]),
        )
    return client_requests.to_response(failure)


def _excerpt(reasons: list[str]) -> list[str]:
    return [reason[:MAX_LOGGED_CHARS] for reason in reasons[:MAX_LOGGED]]
