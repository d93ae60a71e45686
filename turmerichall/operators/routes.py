"""Routing table of the operators' listener."""

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
from turmerichall.operators import zones

__all__ = ["Access", "ROUTES", "Route", "find"]

Handler = Callable[
    [services_module.Services, exchange.Request],
    Awaitable[exchange.Response | outcomes.Refusal],
]

NAME_PARAMETER = "{name}"


class Access(enum.Enum):
    """Group whose key a request must carry; for ANYONE it needs no key."""

    ANYONE = "anyone"
    OPERATORS = "operators"
    WORKERS = "workers"


class Route(NamedTuple):
    """Handler of the requests with an HTTP method and a path.

    Attributes:
        method: HTTP method.
        path: Path; a segment `{name}` matches any non-empty segment.
        handler: Returns the response, or why the request is refused.
        access: Group whose key the request must carry.
    """

    method: str
    path: str
    handler: Handler
    access: Access = Access.OPERATORS


def _collection(path: str, collection: configuration.Collection) -> list[Route]:
    return [
        Route("GET", path, collection.list),
        Route("GET", f"{path}/{NAME_PARAMETER}", collection.show),
        Route("PUT", f"{path}/{NAME_PARAMETER}", collection.set),
    ]


_SERVERS = "/v1/backend-servers"
_ZONES = "/v1/zones"

ROUTES: tuple[Route, ...] = (
    Route("GET", "/healthz", instances.healthz, Access.ANYONE),
    Route("GET", "/readyz", instances.readyz, Access.ANYONE),
    Route("GET", "/metrics", instances.metrics, Access.ANYONE),
    *_collection("/v1/templates", configuration.TEMPLATES),
    *_collection("/v1/customers", configuration.CUSTOMERS),
    *_collection("/v1/quotas", configuration.QUOTAS),
    Route("GET", "/v1/jobs", jobs.list_jobs),
    Route("POST", "/v1/jobs", jobs.submit),
    Route("GET", f"/v1/jobs/{NAME_PARAMETER}", jobs.show),
    Route("GET", f"/v1/jobs/{NAME_PARAMETER}/explain", jobs.explain),
    Route("POST", f"/v1/jobs/{NAME_PARAMETER}/cancel", jobs.cancel),
    Route("GET", "/v1/placement", placement.show),
    Route("GET", _SERVERS, backend_servers.list_backend_servers),
    *(
        Route(
            "POST",
            f"{_SERVERS}/{NAME_PARAMETER}/{verb}",
            backend_servers.intention_handler(intention),
        )
        for verb, intention in backend_servers.INTENTIONS.items()
    ),
    Route("GET", _ZONES, zones.list_zones),
    *(
        Route(
            "POST",
            f"{_ZONES}/{NAME_PARAMETER}/{verb}",
            zones.state_handler(state),
        )
        for verb, state in zones.STATES.items()
    ),
    Route("GET", "/v1/instances", instances.list_instances),
    Route("POST", "/v1/instances", instances.add),
    Route("DELETE", f"/v1/instances/{NAME_PARAMETER}", instances.remove),
    Route("GET", "/v1/status", instances.status),
    Route("POST", "/v1/workers/announce", workers.announce, Access.WORKERS),
    Route("POST", "/v1/workers/update", workers.update, Access.WORKERS),
)


class Match(NamedTuple):
    """Result of looking up the route of a request.

    Attributes:
        route: The route, or None if there is none for the path and method.
        name: Value of the path parameter `{name}`, or empty.
        methods: HTTP methods that have a route for the path.
    """

    route: Route | None
    name: str
    methods: tuple[str, ...]


def find(method: str, path: str) -> Match:
    """Return the route that matches the method and path of a request.

    Examples:
        >>> match = find("GET", "/v1/templates/offers")
        >>> match.name, match.methods
        ('offers', ('GET', 'PUT'))
        >>> find("GET", "/nothing").methods
        ()
    """
    candidates = _EXACT.get(path) or _routes_for(path)
    for route in candidates:
        if route.method == method:
            return Match(
                route, _path_parameter(route, path), _methods(candidates)
            )
    return Match(None, "", _methods(candidates))


def _methods(candidates: tuple[Route, ...]) -> tuple[str, ...]:
    return tuple(sorted(route.method for route in candidates))


def _routes_for(path: str) -> tuple[Route, ...]:
    parts = path.split("/")
    return tuple(route for route in ROUTES if _matches(route, parts))


def _matches(route: Route, parts: list[str]) -> bool:
    pattern = route.path.split("/")
    if len(pattern) != len(parts):
        return False
    return all(
        expected == part or (expected == NAME_PARAMETER and part)
        for expected, part in zip(pattern, parts, strict=True)
    )


def _path_parameter(route: Route, path: str) -> str:
    if NAME_PARAMETER not in route.path:
        return ""
    return path.split("/")[route.path.split("/").index(NAME_PARAMETER)]


# Lookup by exact path, since most requests are announcements, whose path has no
# parameter.
_EXACT = {
    path: _routes_for(path)
    for path in {route.path for route in ROUTES}
    if NAME_PARAMETER not in path
}
