"""HTTP handlers that list availability zones, and evacuate or restore them.

In an evacuated zone no task is started; running tasks continue.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.operators import freshness
from turmerichall.operators import operations
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.state import zone_change

__all__ = ["STATES", "list_zones", "state_handler"]

STATES = {
    "evacuate": zone_change.ZoneState.EVACUATED,
    "restore": zone_change.ZoneState.SERVING,
}

Handler = Callable[
    [services_module.Services, exchange.Request],
    Awaitable[exchange.Response | outcomes.Refusal],
]


async def list_zones(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """List the known zones with their requested states."""
    staleness = await freshness.refresh(services, request)
    if isinstance(staleness, outcomes.Refusal):
        return staleness
    items = [_item(services, zone) for zone in sorted(_known_zones(services))]
    return replies.json_response(
        freshness.with_freshness(staleness, {"items": items})
    )


def _item(services: services_module.Services, zone: str) -> dict[str, Any]:
    configuration = services.machine.configuration
    directory = services.directory
    entry = configuration.zones.get(zone)
    now = trio.current_time()
    backend_servers = sum(
        known.announcement.zone == zone and not directory.is_silent(known, now)
        for known in directory.entries.values()
    )
    return {
        "name": zone,
        "state": configuration.zone_state(zone).value,
        "since_wall_seconds": entry.wall_seconds if entry else None,
        "set_by": entry.operator if entry else "",
        "version": entry.version if entry else 0,
        "backend_servers": backend_servers,
        "tasks": len(services.machine.job_store.live_tasks_in(zone)),
    }


def _known_zones(services: services_module.Services) -> set[str]:
    """Return the zones of instances and backend servers, and changed ones.

    A zone whose state was changed stays known, so that it can be restored
    after its last instance is gone.
    """
    machine = services.machine
    known = {instance.zone for instance in machine.instances.values()}
    known |= machine.grants.keys() | machine.configuration.zones.keys()
    for entry in services.directory.entries.values():
        known.add(entry.announcement.zone)
    return known


def state_handler(state: zone_change.ZoneState) -> Handler:
    """Return the handler of requests that set a given state of a zone.

    Args:
        state: The state that the handler requests for a zone.
    """

    async def handle(
        services: services_module.Services, request: exchange.Request
    ) -> exchange.Response | outcomes.Refusal:
        operation = operations.read_operation(request)
        zone = request.parameters["name"]
        document = operations.StateDocument()
        if request.body:
            document = operations.decode_body(request, operations.StateDocument)
        # An instance that lags behind may not know the zone or its version.
        about = {"zone": zone, "state": state.value}
        refused = await services.replica.barrier()
        if refused is not None:
            return operations.refuse(services, operation, refused, **about)
        if zone not in _known_zones(services):
            return _unknown_zone(services, zone)
        base_version = document.base_version
        if base_version is None:
            current = services.machine.configuration.zones.get(zone)
            base_version = current.version if current else 0
        change = zone_change.SetZoneState(operation, base_version, zone, state)
        return await operations.submit(services, change, operation, **about)

    return handle


def _unknown_zone(
    services: services_module.Services, zone: str
) -> outcomes.Refusal:
    known = ", ".join(sorted(_known_zones(services))) or "none"
    return outcomes.Refusal(
        outcomes.RefusalReason.UNKNOWN_NAME,
        f"zone {zone[:64]!r} does not exist; known zones: {known}",
    )
