"""Backend servers over HTTP: what is known of them, and operators' wishes."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

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


class IntentionDocument(NamedTuple):
    """What is wanted of a backend server.

    Attributes:
        base_version: Version that this is based on; without it the one that
            is current when the request arrives.
    """

    base_version: int | None = None


async def list_backend_servers(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response | outcomes.Refusal:
    """Lists what announced itself, and names that operators set."""
    note = await freshness.refresh(services, request)
    if isinstance(note, outcomes.Refusal):
        return note
    intentions = services.machine.configuration.intentions
    names = sorted(services.directory.entries.keys() | intentions.keys())
    items = [_item(services, name) for name in names]
    return replies.json_response(
        freshness.with_freshness(note, {"items": items})
    )


def _item(services: services_module.Services, name: str) -> dict[str, Any]:
    now = trio.current_time()
    wanted = services.machine.configuration.intentions.get(name)
    item: dict[str, Any] = {
        "name": name,
        "intention": services.directory.intentions.intention(name).value,
        "version": wanted.version if wanted else 0,
        "set_by": wanted.operator if wanted else "",
        "takes_new_work": services.directory.takes_new_work(name, now),
        "leases": len(services.machine.job_store.live_by_worker.get(name, {})),
    }
    known = services.directory.entries.get(name)
    if known is None:
        return {**item, "announced": False}
    told = known.announcement
    return {
        **item,
        "announced": True,
        "zone": told.zone,
        "rack": told.rack,
        "address": told.address,
        "capacity": told.capacity,
        "leaving": told.leaving,
        "heard_seconds_ago": round(
            now - services.directory.last_seen_at(known), 1
        ),
        "via": known.via,
    }


def intention_handler(intention: changes.Intention) -> Handler:
    """Returns the handler that sets an intention."""

    async def handle(
        services: services_module.Services, request: exchange.Request
    ) -> exchange.Response | outcomes.Refusal:
        asked = operations.read_operation(request)
        name = request.parameters["name"]
        document = IntentionDocument()
        if request.body:
            document = operations.decode_body(request, IntentionDocument)
        base_version = document.base_version
        if base_version is None:
            refused = await services.replica.barrier()
            if refused is not None:
                return refused
            current = services.machine.configuration.intentions.get(name)
            base_version = current.version if current else 0
        change = changes.SetIntention(asked, base_version, name, intention)
        return await operations.submit(
            services,
            change,
            asked,
            backend_server=name,
            intention=intention.value,
        )

    return handle
