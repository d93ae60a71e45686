"""Operators' requests about the releases side by side."""

import msgspec

from turmerichall import outcomes
from turmerichall.dispatch.job_requests import job_requests
from turmerichall.dispatch.releases import release_watch
from turmerichall.http1 import message

__all__ = ["FINALIZE", "STATUS", "handle", "is_for_releases"]

STATUS = "/release"
FINALIZE = "/release/finalize"


def is_for_releases(request: message.Request) -> bool:
    """Return whether a request is about releases."""
    return request.target.partition("?")[0] in (STATUS, FINALIZE)


async def handle(
    watch: release_watch.ReleaseWatch, request: message.Request
) -> message.Response | outcomes.Refusal:
    """Handle a request about releases.

    Returns:
        The response: the status, after the latest level was put in force if
        that was asked for; 409 with the status if something holds it back; 504
        if the outcome is unknown.  A refusal with `NOT_LEADER` if another
        replica leads.
    """
    owner = watch.leader()
    if owner is None:
        return job_requests.NOT_LEADER
    path = request.target.partition("?")[0]
    if (request.method, path) not in (("GET", STATUS), ("POST", FINALIZE)):
        return message.Response(405)
    status = 200
    if path == FINALIZE:
        held_back = await watch.finalize(owner)
        if isinstance(held_back, outcomes.Refusal):
            return job_requests.NOT_LEADER
        if isinstance(held_back, outcomes.Unknown):
            return message.Response(504)
        status = 409 if held_back else 200
    body = msgspec.json.encode(watch.status(owner.queue_state.level))
    return message.Response(status, body, {"content-type": "application/json"})
