"""A customer and the parameters that operators set for it."""

import enum
from typing import NamedTuple

from turmerichall import errors
from turmerichall import resources
from turmerichall.templates import template

__all__ = ["Customer", "MAX_SERVICE_TASKS", "Quota", "Urgency"]

# Tasks of one service in one zone for one customer.
MAX_SERVICE_TASKS = 1000
MAX_ZONES = 32
MAX_SERVICES = 100


class Urgency(enum.StrEnum):
    """How urgent the requests or jobs of a customer are."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class Customer(NamedTuple):
    """A customer's parameters.

    Attributes:
        name: Unique name.
        team: Team whose quota the batch work of the customer counts against.
        urgency: How urgent the work is.
        zones: Availability zones that the work may run in, the home first.
        services: Tasks to run for each service template in each zone.
        max_requests: Requests in flight on one entry instance at most.
    """

    name: str
    team: str
    urgency: Urgency
    zones: tuple[str, ...]
    services: dict[str, int]
    max_requests: int = 64

    def findings(self) -> list[errors.Finding]:
        """Checks the values and returns all faults."""
        found = template.name_findings("customer.name", self.name)
        found += template.name_findings("customer.team", self.team)
        if not self.zones:
            found.append(
                errors.Finding("customer.zones", "name at least one zone")
            )
        if len(self.zones) > MAX_ZONES or len(self.services) > MAX_SERVICES:
            reason = f"at most {MAX_ZONES} zones and {MAX_SERVICES} services"
            found.append(errors.Finding("customer", reason))
        for zone in self.zones:
            found += template.name_findings("customer.zones", zone)
        for service, tasks in self.services.items():
            place = f"customer.services.{service}"
            found += template.name_findings(place, service)
            if not 0 <= tasks <= MAX_SERVICE_TASKS:
                reason = f"must be 0 to {MAX_SERVICE_TASKS}"
                found.append(errors.Finding(place, reason))
        if self.max_requests < 1:
            found.append(
                errors.Finding("customer.max_requests", "must be at least 1")
            )
        return found


class Quota(NamedTuple):
    """What the batch work of one team may hold at once.

    Attributes:
        team: Name of the team.
        limit: Resources that its running tasks may hold in sum.
    """

    team: str
    limit: resources.Resources

    def findings(self) -> list[errors.Finding]:
        """Checks the values and returns all faults."""
        found = template.name_findings("quota.team", self.team)
        if min(self.limit) < 0:
            found.append(errors.Finding("quota.limit", "must not be negative"))
        return found
