"""HTTP handlers that list backend servers, and drain, stop or resume them.

An intention is the state that operators request for a backend server.
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
from turmerichall.state import change as changes

__all__ = ["INTENTIONS", "list_backend_servers", "intention_handler"]

INTENTIONS = {
    "drain": changes.Intention.DRAINING,
    "resume": changes.Intention.SERVING,
    "start": changes.Intention.SERVING,
    "stop": changes.Intention.STOPPED,
}

Handler = Callable[
    [services_module.Services, exchange.Request],
    Awaitable[exchange.Response | outcomes.Refusal],
]


async def list_backend_servers(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """List announced backend servers and those with an intention set."""
    staleness = await freshness.refresh(services, request)
    if isinstance(staleness, outcomes.Refusal):
        return staleness
    intentions = services.machine.configuration.intentions
    names = sorted(services.directory.entries.keys() | intentions.keys())
    items = [_item(services, name) for name in names]
    return replies.json_response(
        freshness.with_freshness(staleness, {"items": items})
    )


def _item(services: services_module.Services, name: str) -> dict[str, Any]:
    now = trio.current_time()
    intention = services.machine.configuration.intentions.get(name)
    item: dict[str, Any] = {
        "name": name,
        "intention": services.directory.intentions.intention(name).value,
        "version": intention.version if intention else 0,
        "set_by": intention.operator if intention else "",
        "takes_new_work": services.directory.takes_new_work(name, now),
        "leases": len(services.machine.job_store.live_by_worker.get(name, {})),
    }
    entry = services.directory.entries.get(name)
    if entry is None:
        return {**item, "announced": False}
    announcement = entry.announcement
    return {
        **item,
        "announced": True,
        "zone": announcement.zone,
        "rack": announcement.rack,
        "address": announcement.address,
        "capacity": announcement.capacity,
        "leaving": announcement.leaving,
        "heard_seconds_ago": round(
            now - services.directory.last_seen_at(entry), 1
        ),
        "via": entry.via,
    }


def intention_handler(intention: changes.Intention) -> Handler:
    """Return the handler of requests that set a given intention.

    Args:
        intention: The state that the handler requests for a backend server.
    """

    async def handle(
        services: services_module.Services, request: exchange.Request
    ) -> exchange.Response | outcomes.Refusal:
        operation = operations.read_operation(request)
        name = request.parameters["name"]
        document = operations.StateDocument()
        if request.body:
            document = operations.decode_body(request, operations.StateDocument)
        about = {"backend_server": name, "intention": intention.value}
        base_version = document.base_version
        if base_version is None:
            refused = await services.replica.barrier()
            if refused is not None:
                return operations.refuse(services, operation, refused, **about)
            current = services.machine.configuration.intentions.get(name)
            base_version = current.version if current else 0
        change = changes.SetIntention(operation, base_version, name, intention)
        return await operations.submit(services, change, operation, **about)

    return handle
