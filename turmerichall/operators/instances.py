"""Instances, the status of this one, and its health, over HTTP."""

from typing import Any, NamedTuple

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import message
from turmerichall.operators import exchange
from turmerichall.operators import freshness
from turmerichall.operators import operations
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.settings import values
from turmerichall.state import change as changes
from turmerichall.templates import template

__all__ = [
    "add",
    "healthz",
    "list_instances",
    "metrics",
    "readyz",
    "remove",
    "status",
]

EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class InstanceDocument(NamedTuple):
    """An instance to add to the replicas.

    Attributes:
        name: Its name.
        address: Where it listens for peers, `host:port`.
    """

    name: str
    address: str

    def findings(self) -> list[errors.Finding]:
        """Checks the values and returns all faults."""
        found = template.name_findings("name", self.name)
        try:
            values.address(self.address)
        except ValueError as error:
            found.append(errors.Finding("address", str(error)))
        return found


async def healthz(
    _: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Tells that the process is alive; it does so until it ends."""
    del request
    return replies.json_response({"alive": True})


async def readyz(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Tells whether the balancer may send requests."""
    del request
    refused = services.readiness()
    if refused is None:
        return replies.json_response({"ready": True})
    return replies.refusal(refused, more={"ready": False})


async def metrics(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Returns the metrics in the Prometheus text format."""
    del request
    text = services.counters.exposition()
    return exchange.Response(200, text, content_type=EXPOSITION_TYPE)


async def status(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Tells how this instance and the state that it holds are."""
    del request
    machine = services.machine
    refused = services.readiness()
    return replies.json_response(
        {
            "ready": refused is None,
            "not_ready_because": refused.detail if refused else "",
            "replica": services.replica.status(),
            "applied_index": machine.applied_index,
            "configuration_revision": machine.configuration.revision,
            "grants": [machine.grants[zone] for zone in sorted(machine.grants)],
            "jobs": len(machine.job_store.jobs),
            "waiting_tasks": len(machine.job_store.waiting),
            "live_tasks": sum(
                map(len, machine.job_store.live_by_worker.values())
            ),
            "backend_servers": len(services.directory.entries),
        }
    )


async def list_instances(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Lists entry instances, and their roles as this one knows them."""
    note = await freshness.refresh(services, request)
    if isinstance(note, outcomes.Refusal):
        return note
    roles = _roles(services.replica.status())
    listed = services.machine.instances
    items = []
    for name in sorted(listed.keys() | roles.keys()):
        item: dict[str, Any] = {"name": name}
        if name in listed:
            item |= listed[name]._asdict()
            item["presence"] = services.machine.presence(name)
        items.append(item | {"role": roles.get(name, "observer")})
    return replies.json_response(
        freshness.with_freshness(note, {"items": items})
    )


def _roles(status_now: services_module.ReplicaStatus) -> dict[str, str]:
    roles = {found.name: "learner" for found in status_now.learners}
    for found in status_now.members:
        roles[found.name] = "voter"
    if status_now.leader:
        roles[status_now.leader] = "leader"
    return roles


async def add(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Adds an instance to the replicas."""
    operations.read_operation(request)
    document: InstanceDocument
    document = operations.decode_body(request, InstanceDocument)
    return await _change(
        services, message.MemberAction.ADD, document.name, document.address
    )


async def remove(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Removes an instance from the replicas and from the list of instances."""
    asked = operations.read_operation(request)
    name = request.parameters["name"]
    if name in _roles(services.replica.status()):
        reply = await _change(services, message.MemberAction.REMOVE, name)
        if isinstance(reply, outcomes.Refusal) or reply.status != 200:
            return reply
        if name not in services.machine.instances:
            return reply
    change = changes.ForgetInstance(asked, name)
    return await operations.submit(services, change, asked, instance_name=name)


async def _change(
    services: services_module.Services,
    action: message.MemberAction,
    name: str,
    address: str = "",
) -> exchange.Response | outcomes.Refusal:
    outcome = await services.replica.change_members(action, name, address)
    if isinstance(outcome, outcomes.Refusal):
        return outcome
    if isinstance(outcome, outcomes.Unknown):
        services.counters.unknown(services_module.PART, outcome.reason)
        return replies.unknown(outcome)
    services.log.info(
        "members changed", action=action.value, instance_name=name
    )
    return replies.json_response(
        {
            "outcome": "ran",
            "instance_name": name,
            "members": sorted({found.name for found in outcome}),
        }
    )
