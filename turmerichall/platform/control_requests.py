"""What workers and operators send to the replicas, read tolerantly."""

from typing import Any

import msgspec

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import worker_client
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.peers import link
from turmerichall.platform import client_requests
from turmerichall.platform import lenient_json
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations

__all__ = ["answer", "configuration_from_wire", "heartbeat_from_wire"]

INSTANCES = "/v1/instances/"
CONFIG_REPLACE = "/v1/config/replace"
CONFIG_READ = "/v1/config/read"


def _instance(path: str, verb: str) -> str:
    """Returns the worker's id from a path, or empty.

    Examples:
        >>> _instance("/v1/instances/i-7f/heartbeat", "/heartbeat")
        'i-7f'
    """
    if not path.startswith(INSTANCES) or not path.endswith(verb):
        return ""
    worker = path[len(INSTANCES) : -len(verb)]
    return "" if "/" in worker else worker


def _is_address(value: object) -> bool:
    host, colon, port = lenient_json.text(value).rpartition(":")
    return bool(host and colon and port.isdecimal())


def heartbeat_from_wire(
    worker: str, body: bytes
) -> worker_client.Heartbeat | errors.Finding:
    """Reads a heartbeat.

    Returns:
        The heartbeat, or why it names no worker that could be used.
    """
    found = lenient_json.decode_object(body)
    place = f"heartbeat of {worker}"
    if found is None:
        return errors.Finding(place, "is no JSON object")
    if not _is_address(found.get("address")):
        return errors.Finding(place, "address is not host:port")
    if not lenient_json.text(found.get("service")):
        return errors.Finding(place, "names no service")
    state = found.get("state")
    if state not in ("ready", "draining"):
        return errors.Finding(place, f"unknown state {state!r}")
    capacity = found.get("capacity")
    if not isinstance(capacity, dict):
        return errors.Finding(place, "names no capacity")
    listed = found.get("labels")
    labels = tuple(
        label
        for label in (listed if isinstance(listed, list) else [])
        if isinstance(label, str)
    )
    record = changes.WorkerRecord(
        worker,
        lenient_json.text(found.get("machine")),
        lenient_json.text(found["address"]),
        lenient_json.text(found["service"]),
        lenient_json.text(found.get("zone")),
        # The labels are the kind and the rack.
        labels[1] if len(labels) > 1 else "",
        labels,
        lenient_json.integer(capacity.get("cpu")),
        lenient_json.integer(capacity.get("mem_mb")),
        lenient_json.integer(capacity.get("gpu")),
    )
    return worker_client.Heartbeat(
        record,
        state == "draining",
        lenient_json.integer(found.get("seq")),
        lenient_json.integer(found.get("clock_ms"), -1),
    )


def configuration_from_wire(
    body: bytes,
) -> configurations.Configuration | list[errors.Finding]:
    """Reads a configuration whole.

    Returns:
        The configuration, or everything that is wrong with it.
    """
    found = lenient_json.decode_object(body)
    if found is None:
        return [errors.Finding("configuration", "is no JSON object")]
    findings: list[errors.Finding] = []

    def find(place: str, reason: str) -> None:
        findings.append(errors.Finding(place, reason))

    version = found.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        find("version", "expected a whole number")
    services = _services(found.get("services"), find)
    known = {service.name for service in services}
    queues = _queues(found.get("routes"), known, find)
    limits = found.get("limits")
    if limits is not None and not isinstance(limits, dict):
        find("limits", "expected an object")
    if findings:
        return findings
    return configurations.Configuration(
        lenient_json.integer(version),
        tuple(queues),
        tuple(services),
        _limits(limits or {}),
    )


def _rows(value: object, place: str, find: Any) -> list[dict[str, Any]]:
    if not isinstance(value, list):
        find(place, "expected a list")
        return []
    rows = []
    for number, row in enumerate(value):
        if isinstance(row, dict):
            rows.append(row)
        else:
            find(f"{place}[{number}]", "expected an object")
    return rows


def _services(value: object, find: Any) -> list[configurations.Service]:
    services = []
    for number, row in enumerate(_rows(value, "services", find)):
        if not lenient_json.text(row.get("name")):
            find(f"services[{number}].name", "expected a name")
            continue
        services.append(
            configurations.Service(
                row["name"],
                lenient_json.text(row.get("health_path")),
                lenient_json.integer(row.get("max_conns"), 64),
                bool(row.get("rejects_overload", False)),
                bool(row.get("standby", False)),
            )
        )
    return services


def _queues(
    value: object, services: set[str], find: Any
) -> list[configurations.Queue]:
    queues: list[configurations.Queue] = []
    places: set[tuple[str, str]] = set()
    for number, row in enumerate(_rows(value, "routes", find)):
        place = f"routes[{number}]"
        host = lenient_json.text(row.get("host")).lower()
        prefix = lenient_json.text(row.get("path_prefix"))
        if not host or not prefix.startswith("/"):
            find(place, "expected host and path_prefix")
            continue
        if (host, prefix) in places:
            find(place, f"another route has {host}{prefix} already")
        places.add((host, prefix))
        if lenient_json.text(row.get("service")) not in services:
            find(f"{place}.service", f"unknown service {row.get('service')!r}")
            continue
        timeout_ms = lenient_json.integer(row.get("timeout_ms"), 3000)
        if timeout_ms <= 0:
            find(f"{place}.timeout_ms", "expected more than 0")
        queues.append(
            configurations.Queue(
                lenient_json.text(row.get("name")),
                host,
                prefix,
                row["service"],
                lenient_json.integer(row.get("priority"), 0),
                max(lenient_json.integer(row.get("max_attempts"), 1), 1),
                _ratio(row.get("stretch"), 2.0),
                lenient_json.integer(row.get("target_latency_ms"), 1000),
                timeout_ms,
                _advice(row.get("advice")),
            )
        )
    return queues


def _ratio(value: object, default: float) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return default
    return float(value)


def _advice(value: object) -> configurations.Advice | None:
    if not isinstance(value, dict) or not value:
        return None
    return configurations.Advice(
        lenient_json.integer(value.get("decision_ms")),
        lenient_json.integer(value.get("per_worker_ms")),
        lenient_json.integer(value.get("validity_ms")),
    )


def _limits(found: dict[str, Any]) -> server.Limits:
    usual = server.Limits()
    return server.Limits(
        lenient_json.integer(found.get("max_header_bytes"), usual.header_bytes),
        lenient_json.integer(found.get("max_body_bytes"), usual.body_bytes),
        lenient_json.integer(found.get("header_timeout_ms"), 3000) / 1000,
        lenient_json.integer(found.get("idle_timeout_ms"), 15000) / 1000,
    )


async def answer(
    leader_api: leader_apis.LeaderApi,
    request: message.Request,
    own_address: str,
    log: link.Log,
) -> message.Response | outcomes.Refusal:
    """Answers a worker or an operator.

    Args:
        leader_api: Answers the requests that only the leader may answer.
        request: The call.
        own_address: Where this replica takes such calls, host:port.
        log: Where entries that can't be used are noted.

    Returns:
        The answer, or a refusal with `NOT_LEADER` if another replica leads.
    """
    path = request.target.partition("?")[0]
    if leader_api.leadership is None:
        return leader_apis.NOT_LEADER
    if request.method == "POST":
        worker = _instance(path, "/heartbeat")
        if worker:
            return await _heartbeat(
                leader_api, worker, request, own_address, log
            )
        worker = _instance(path, "/deregister")
        if worker:
            taken = await leader_api.worker_leaving(worker)
            return client_requests.to_response(
                None if taken else leader_apis.NO_QUORUM
            )
        if path == CONFIG_REPLACE:
            return await _configure(leader_api, request.body, log)
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
    log: link.Log,
) -> message.Response:
    beat = heartbeat_from_wire(worker, request.body)
    if isinstance(beat, errors.Finding):
        log.warning(
            "heartbeat passed over", place=beat.place, reason=beat.reason
        )
        return message.Response(400, b"{}")
    if not await leader_api.heartbeat(beat):
        return client_requests.failure_response(leader_apis.NO_QUORUM)
    url = f"http://{own_address}{INSTANCES}{worker}/heartbeat"
    return message.Response(200, msgspec.json.encode({"heartbeat_url": url}))


async def _configure(
    leader_api: leader_apis.LeaderApi, body: bytes, log: link.Log
) -> message.Response | outcomes.Refusal:
    found = configuration_from_wire(body)
    if isinstance(found, list):
        reasons = [str(finding) for finding in found]
        log.info("configuration refused", findings=reasons[:8])
        return message.Response(400, msgspec.json.encode({"error": reasons}))
    return client_requests.to_response(await leader_api.configure(found, body))
