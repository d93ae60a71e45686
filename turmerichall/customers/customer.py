"""Parameters of customers and quotas of teams, as set by operators."""

import enum
from typing import NamedTuple

from turmerichall import errors
from turmerichall import resources
from turmerichall.templates import template

__all__ = ["Customer", "MAX_SERVICE_TASKS", "Quota", "Urgency"]

# Maximum number of tasks that one service of a customer may have in one zone.
MAX_SERVICE_TASKS = 1000
MAX_ZONES = 32
MAX_SERVICES = 100


class Urgency(enum.StrEnum):
    """Scheduling priority of a customer's requests and jobs."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class Customer(NamedTuple):
    """Parameters of a customer.

    Attributes:
        name: Unique name.
        team: Team whose quota the batch work of the customer counts against.
        urgency: Scheduling priority of the customer's work.
        zones: Availability zones that the customer's work may run in, home zone
            first.
        services: Number of tasks to run in each zone, by name of the service's
            template.
        max_requests: Maximum number of the customer's requests in flight at
            once on each entry instance.
    """

    name: str
    team: str
    urgency: Urgency
    zones: tuple[str, ...]
    services: dict[str, int]
    max_requests: int = 64

    def findings(self) -> list[errors.Finding]:
        """Check the values and return a finding for each invalid one."""
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
    """Limit on the resources that one team's batch tasks use at once.

    Attributes:
        team: Name of the team.
        limit: Total resources that the team's running batch tasks may use.
    """

    team: str
    limit: resources.Resources

    def findings(self) -> list[errors.Finding]:
        """Check the values and return a finding for each invalid one."""
        found = template.name_findings("quota.team", self.team)
        if min(self.limit) < 0:
            found.append(errors.Finding("quota.limit", "must not be negative"))
        return found
