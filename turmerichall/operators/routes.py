"""The routing table of the operators' listener."""

from collections.abc import Awaitable, Callable
import enum
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.operators import backend_servers
from turmerichall.operators import configuration
from turmerichall.operators import exchange
from turmerichall.operators import instances
from turmerichall.operators import jobs
from turmerichall.operators import placement
from turmerichall.operators import services as services_module
from turmerichall.operators import workers

__all__ = ["Access", "ROUTES", "Route", "find"]

Handler = Callable[
    [services_module.Services, exchange.Request],
    Awaitable[exchange.Response | outcomes.Refusal],
]

NAME_PART = "{name}"


class Access(enum.Enum):
    """Whose key a request must carry."""

    ANYONE = "anyone"
    OPERATORS = "operators"
    WORKERS = "workers"


class Route(NamedTuple):
    """What answers a method on a path; `{name}` matches one part of it."""

    method: str
    path: str
    handler: Handler
    access: Access = Access.OPERATORS


def _collection(path: str, collection: configuration.Collection) -> list[Route]:
    return [
        Route("GET", path, collection.list),
        Route("GET", f"{path}/{NAME_PART}", collection.show),
        Route("PUT", f"{path}/{NAME_PART}", collection.set),
    ]


_SERVERS = "/v1/backend-servers"

ROUTES: tuple[Route, ...] = (
    Route("GET", "/healthz", instances.healthz, Access.ANYONE),
    Route("GET", "/readyz", instances.readyz, Access.ANYONE),
    Route("GET", "/metrics", instances.metrics, Access.ANYONE),
    *_collection("/v1/templates", configuration.TEMPLATES),
    *_collection("/v1/customers", configuration.CUSTOMERS),
    *_collection("/v1/quotas", configuration.QUOTAS),
    Route("GET", "/v1/jobs", jobs.list_jobs),
    Route("POST", "/v1/jobs", jobs.submit),
    Route("GET", f"/v1/jobs/{NAME_PART}", jobs.show),
    Route("GET", f"/v1/jobs/{NAME_PART}/explain", jobs.explain),
    Route("POST", f"/v1/jobs/{NAME_PART}/cancel", jobs.cancel),
    Route("GET", "/v1/placement", placement.show),
    Route("GET", _SERVERS, backend_servers.list_backend_servers),
    *(
        Route(
            "POST",
            f"{_SERVERS}/{NAME_PART}/{verb}",
            backend_servers.intention_handler(intention),
        )
        for verb, intention in backend_servers.INTENTIONS.items()
    ),
    Route("GET", "/v1/instances", instances.list_instances),
    Route("POST", "/v1/instances", instances.add),
    Route("DELETE", f"/v1/instances/{NAME_PART}", instances.remove),
    Route("GET", "/v1/status", instances.status),
    Route("POST", "/v1/workers/announce", workers.announce, Access.WORKERS),
    Route("POST", "/v1/workers/update", workers.update, Access.WORKERS),
)


class Match(NamedTuple):
    """What matches a request.

    Attributes:
        route: The route, or None if no method of the path matches.
        name: Value of the `{name}` part, or empty.
        methods: All methods that the path has.
    """

    route: Route | None
    name: str
    methods: tuple[str, ...]


def find(method: str, path: str) -> Match:
    """Finds the route of a request.

    Examples:
        >>> found = find("GET", "/v1/templates/offers")
        >>> found.name, found.methods
        ('offers', ('GET', 'PUT'))
        >>> find("GET", "/nothing").methods
        ()
    """
    matching = _EXACT.get(path) or _matching(path)
    for route in matching:
        if route.method == method:
            return Match(route, _name(route, path), _methods(matching))
    return Match(None, "", _methods(matching))


def _methods(matching: tuple[Route, ...]) -> tuple[str, ...]:
    return tuple(sorted(route.method for route in matching))


def _matching(path: str) -> tuple[Route, ...]:
    parts = path.split("/")
    return tuple(route for route in ROUTES if _matches(route, parts))


def _matches(route: Route, parts: list[str]) -> bool:
    pattern = route.path.split("/")
    if len(pattern) != len(parts):
        return False
    return all(
        wanted == part or (wanted == NAME_PART and part)
        for wanted, part in zip(pattern, parts, strict=True)
    )


def _name(route: Route, path: str) -> str:
    if NAME_PART not in route.path:
        return ""
    return path.split("/")[route.path.split("/").index(NAME_PART)]


# Most requests are announcements, whose path has no name in it.
_EXACT = {
    path: _matching(path)
    for path in {route.path for route in ROUTES}
    if NAME_PART not in path
}
