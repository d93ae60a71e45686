"""HTTP handlers for entry instances, and for the health of this instance."""

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
    """Body of a request that adds an instance to the replica group.

    Attributes:
        name: Name of the instance.
        address: `host:port` at which it accepts connections of other instances.
    """

    name: str
    address: str

    def findings(self) -> list[errors.Finding]:
        """Return a finding for each invalid value."""
        findings = template.name_findings("name", self.name)
        try:
            values.address(self.address)
        except ValueError as error:
            findings.append(errors.Finding("address", str(error)))
        return findings


async def healthz(
    _: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Report that the process is alive, whether or not it is ready."""
    del request
    return replies.json_response({"alive": True})


async def readyz(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Report whether the load balancer may send requests to this instance."""
    del request
    refused = services.readiness()
    if refused is None:
        return replies.json_response({"ready": True})
    return replies.refusal(refused, extra_fields={"ready": False})


async def metrics(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Return the metrics in the Prometheus text format."""
    del request
    text = services.counters.exposition()
    return exchange.Response(200, text, content_type=EXPOSITION_TYPE)


async def status(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Report the status of this instance and of its replicated state."""
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
    """List entry instances, with their roles in the replica group.

    The roles are those known to this instance.
    """
    staleness = await freshness.refresh(services, request)
    if isinstance(staleness, outcomes.Refusal):
        return staleness
    roles = _roles(services.replica.status())
    instances = services.machine.instances
    items = []
    for name in sorted(instances.keys() | roles.keys()):
        item: dict[str, Any] = {"name": name}
        if name in instances:
            item |= instances[name]._asdict()
            item["presence"] = services.machine.presence(name)
        items.append(item | {"role": roles.get(name, "observer")})
    return replies.json_response(
        freshness.with_freshness(staleness, {"items": items})
    )


def _roles(replica_status: services_module.ReplicaStatus) -> dict[str, str]:
    roles = {learner.name: "learner" for learner in replica_status.learners}
    for member in replica_status.members:
        roles[member.name] = "voter"
    if replica_status.leader:
        roles[replica_status.leader] = "leader"
    return roles


async def add(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Add an instance to the replica group."""
    operations.read_operation(request)
    document: InstanceDocument
    document = operations.decode_body(request, InstanceDocument)
    return await _change_members(
        services, message.MemberAction.ADD, document.name, document.address
    )


async def remove(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Remove an instance from the replica group and the list of instances."""
    operation = operations.read_operation(request)
    name = request.parameters["name"]
    was_member = False
    if name in _roles(services.replica.status()):
        response = await _change_members(
            services, message.MemberAction.REMOVE, name
        )
        if isinstance(response, exchange.Response):
            listed = name in services.machine.instances
            if response.status != 200 or not listed:
                return response
            was_member = True
        elif response.reason != outcomes.RefusalReason.UNKNOWN_NAME:
            return operations.refuse(
                services, operation, response, instance_name=name
            )
        # The roles here are out of date if the leader doesn't know the member:
        # an earlier request, perhaps with this operation id, has removed it.
    change = changes.ForgetInstance(operation, name)
    outcome = await operations.submit(
        services, change, operation, instance_name=name
    )
    if was_member and isinstance(outcome, outcomes.Refusal):
        # A refusal would say that nothing was changed, but the replica group
        # was.
        return _unknown(
            services,
            outcomes.Unknown(
                outcomes.UnknownReason.LEADER_LOST,
                f"{name} was removed from the replica group, but not from the"
                f" list of instances: {outcome.detail}",
            ),
        )
    return outcome


async def _change_members(
    services: services_module.Services,
    action: message.MemberAction,
    name: str,
    address: str = "",
) -> exchange.Response | outcomes.Refusal:
    outcome = await services.replica.change_members(action, name, address)
    if isinstance(outcome, outcomes.Refusal):
        return outcome
    if isinstance(outcome, outcomes.Unknown):
        return _unknown(services, outcome)
    services.log.info(
        "members changed", action=action.value, instance_name=name
    )
    return replies.json_response(
        {
            "outcome": "ran",
            "instance_name": name,
            "members": sorted({member.name for member in outcome}),
        }
    )


def _unknown(
    services: services_module.Services, unknown: outcomes.Unknown
) -> exchange.Response:
    """Count an unknown outcome and return the response to it."""
    services.counters.unknown(services_module.PART, unknown.reason)
    return replies.unknown(unknown)
