"""What the placing authorities decided about workers and tasks, over HTTP."""

from typing import Any

import trio

from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.operators import freshness
from turmerichall.operators import replies
from turmerichall.operators import services as services_module

__all__ = ["show"]


async def show(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Shows what the authority of each zone tells, or why it tells nothing.

    `?zone=` asks that of one zone only.
    """
    asked = request.query.get("zone", "")
    asks = freshness.may_ask_others(request)
    zones = [asked] if asked else sorted(services.machine.grants)
    found: dict[str, dict[str, Any]] = {}

    async def ask(zone: str) -> None:
        found[zone] = await _zone(services, zone, asks)

    async with trio.open_nursery() as nursery:
        for zone in zones:
            nursery.start_soon(ask, zone)
    return replies.json_response({"items": [found[zone] for zone in zones]})


async def _zone(
    services: services_module.Services, zone: str, asks: bool
) -> dict[str, Any]:
    answer = await services.placement_queries.zone_status(zone, asks)
    if isinstance(answer, outcomes.Refusal):
        if asks:
            services.counters.refused(services_module.PART, answer.reason)
        return {
            "zone": zone,
            "known": False,
            "reason": answer.reason.value,
            "detail": answer.detail,
        }
    return {"zone": zone, "known": True, **answer._asdict()}
