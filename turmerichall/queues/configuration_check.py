"""Checks of what a decoded configuration contains.

Errors are what the server refuses; warnings are entries that it accepts but
that can't have the effect that their author expects.  The cost is linear in the
number of routes and services.
"""

from collections.abc import Iterable, Sequence
import enum
import re
from typing import NamedTuple

from turmerichall.http1 import server
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = ["Finding", "Severity", "check", "route_errors"]

# Characters of a request path as it is received.  Paths are compared without
# percent-decoding, and end before the first "?".
_PATH = re.compile(r"[!-\"$->@-~]*")
# The port of a host header field is ignored, so a colon can't match.
_HOST = re.compile(r"[a-z0-9._-]+")
# The least size of a job's JSON document with the largest text.
JOB_BYTES = demands.MAX_SPEC_BYTES + len('{"spec":"","steps":[{"count":1}]}')
# The shortest step of the deployments in docs/design/hard-load.md.
SHORTEST_STEP_SECONDS = 0.54


class Severity(enum.StrEnum):
    """Whether the server refuses a configuration for a finding."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One fault in a configuration.

    Attributes:
        severity: Whether the server refuses the configuration for it.
        place: Location in the document, such as `routes[3].service`.
        reason: What is wrong.
    """

    severity: Severity
    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


def _error(place: str, reason: str) -> Finding:
    return Finding(Severity.ERROR, place, reason)


def _warning(place: str, reason: str) -> Finding:
    return Finding(Severity.WARNING, place, reason)


def check(
    configuration: configurations.Configuration, hosts: Sequence[str] = ()
) -> list[Finding]:
    """Return all findings about a configuration.

    Args:
        configuration: The configuration.
        hosts: Hosts of its queues as written in the document, before they were
            converted to lower case; nothing is said about them if empty.

    Examples:
        >>> idle = configurations.Service("desk")
        >>> str(check(configurations.Configuration(1, (), (idle,)))[0])
        'services[0].name: no route uses the service desk'
    """
    service_names = {service.name for service in configuration.services}
    findings = route_errors(enumerate(configuration.queues), service_names)
    for number, queue in enumerate(configuration.queues):
        findings += _route_warnings(number, queue, configuration.limits)
    findings += _host_warnings(hosts)
    findings += _service_warnings(configuration)
    findings += _limit_warnings(configuration.limits)
    return findings


def route_errors(
    routes: Iterable[tuple[int, configurations.Queue]], service_names: set[str]
) -> list[Finding]:
    """Return the errors in routes that are well-formed by themselves.

    Args:
        routes: Queues with the numbers of their routes in the document.
        service_names: Names of all services.
    """
    findings = []
    # Maps host and path prefix to the number of the first route with them.
    first_numbers: dict[tuple[str, str], int] = {}
    for number, queue in routes:
        place = f"routes[{number}]"
        route = (queue.host, queue.path_prefix)
        first = first_numbers.setdefault(route, number)
        if first != number:
            reason = f"another route with {queue.key} exists: routes[{first}]"
            findings.append(_error(place, reason))
        if queue.service not in service_names:
            findings.append(
                _error(f"{place}.service", f"unknown service {queue.service!r}")
            )
        if queue.timeout_ms <= 0:
            findings.append(
                _error(
                    f"{place}.timeout_ms", "expected a number greater than 0"
                )
            )
    return findings


def _route_warnings(
    number: int, queue: configurations.Queue, limits: server.Limits
) -> list[Finding]:
    findings = []

    def add_warning(field: str, reason: str) -> None:
        findings.append(_warning(f"routes[{number}].{field}", reason))

    if not _HOST.fullmatch(queue.host):
        add_warning(
            "host",
            f"no request has the host {queue.host!r}: expected an ASCII host"
            " name without a port",
        )
    if not _PATH.fullmatch(queue.path_prefix):
        add_warning(
            "path_prefix",
            f"no request path begins with {queue.path_prefix!r}: expected"
            " printable ASCII without spaces, '?' and '#', with other"
            " characters percent-encoded",
        )
    # The header field is `host` with the host as its value.
    needed = len(queue.path_prefix) + len("host") + len(queue.host)
    if needed > limits.header_bytes:
        add_warning(
            "path_prefix",
            f"a request for it has at least {needed} bytes of target and"
            f" header fields, above max_header_bytes {limits.header_bytes}",
        )
    if 0 < queue.timeout_ms < queue.target_latency_ms:
        add_warning(
            "timeout_ms",
            f"{queue.timeout_ms} is below target_latency_ms"
            f" {queue.target_latency_ms}",
        )
    objective_seconds = queue.objective_seconds(SHORTEST_STEP_SECONDS)
    if (
        queue.max_attempts > 1
        and queue.max_attempts * SHORTEST_STEP_SECONDS > objective_seconds
    ):
        add_warning(
            "max_attempts",
            f"{queue.max_attempts} runs of a task of {SHORTEST_STEP_SECONDS} s"
            f" exceed the objective of {objective_seconds:.2f} s of a job of"
            " that task",
        )
    return findings


def _host_warnings(hosts: Sequence[str]) -> list[Finding]:
    findings = []
    first_numbers: dict[str, int] = {}
    reported = set()
    for number, host in enumerate(hosts):
        first = first_numbers.setdefault(host.lower(), number)
        if host != hosts[first] and host not in reported:
            reported.add(host)
            reason = (
                f"{host} and {hosts[first]} of routes[{first}] differ only in"
                " case and are the same host"
            )
            findings.append(_warning(f"routes[{number}].host", reason))
    return findings


def _service_warnings(
    configuration: configurations.Configuration,
) -> list[Finding]:
    findings = []
    used_names = {queue.service for queue in configuration.queues}
    first_numbers: dict[str, int] = {}
    for number, service in enumerate(configuration.services):
        place = f"services[{number}].name"
        first = first_numbers.setdefault(service.name, number)
        if first != number:
            reason = f"services[{first}] has the name {service.name} too"
            findings.append(_warning(place, reason))
        elif service.name not in used_names:
            reason = f"no route uses the service {service.name}"
            findings.append(_warning(place, reason))
    return findings


def _limit_warnings(limits: server.Limits) -> list[Finding]:
    findings = []
    if limits.body_bytes < JOB_BYTES:
        reason = (
            f"{limits.body_bytes} is below {JOB_BYTES}, the size of a job with"
            f" {demands.MAX_SPEC_BYTES} bytes of text"
        )
        findings.append(_warning("limits.max_body_bytes", reason))
    for key, seconds in (
        ("header_timeout_ms", limits.request_seconds),
        ("idle_timeout_ms", limits.idle_seconds),
    ):
        if seconds <= 0:
            reason = "no request arrives in time: expected a number above 0"
            findings.append(_warning(f"limits.{key}", reason))
    return findings
