"""HTTP handler that shows the placement authorities' view of their zones."""

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
    """Show the status of each zone, or why its authority gave no answer.

    The status has the authority's decisions about workers and tasks.  `?zone=`
    selects a single zone.
    """
    requested_zone = request.query.get("zone", "")
    may_forward = freshness.may_ask_others(request)
    zones = (
        [requested_zone] if requested_zone else sorted(services.machine.grants)
    )
    by_zone: dict[str, dict[str, Any]] = {}

    async def ask(zone: str) -> None:
        by_zone[zone] = await _zone(services, zone, may_forward)

    async with trio.open_nursery() as nursery:
        for zone in zones:
            nursery.start_soon(ask, zone)
    return replies.json_response({"items": [by_zone[zone] for zone in zones]})


async def _zone(
    services: services_module.Services, zone: str, may_forward: bool
) -> dict[str, Any]:
    answer = await services.placement_queries.zone_status(zone, may_forward)
    if isinstance(answer, outcomes.Refusal):
        if may_forward:
            services.counters.refused(services_module.PART, answer.reason)
        return {
            "zone": zone,
            "known": False,
            "reason": answer.reason.value,
            "detail": answer.detail,
        }
    return {"zone": zone, "known": True, **answer._asdict()}
