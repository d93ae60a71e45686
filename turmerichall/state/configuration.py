"""Versioned configuration: templates, customers, quotas, intentions and zones.

An intention is the state that operators request for a backend server.
"""

from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

from turmerichall import outcomes
from turmerichall.customers import customer
from turmerichall.state import change as changes
from turmerichall.state import zone_change
from turmerichall.templates import template

__all__ = [
    "CUSTOMERS",
    "Configuration",
    "INTENTIONS",
    "QUOTAS",
    "Snapshot",
    "TEMPLATES",
    "Versioned",
    "ZONES",
]

TEMPLATES = "templates"
CUSTOMERS = "customers"
QUOTAS = "quotas"
INTENTIONS = "intentions"
ZONES = "zones"

MAX_TASKS_PER_JOB = 10_000

T = TypeVar("T")


class Versioned(NamedTuple, Generic[T]):
    """A configuration entry with its version, for compare-and-set.

    Attributes:
        version: Number of times that the entry was set so far.
        operator: Name of the operator who wrote this version.
        wall_seconds: When the change was requested, Unix time.
        body: The value.
    """

    version: int
    operator: str
    wall_seconds: float
    body: T


class Snapshot(NamedTuple):
    """Part of a state machine's snapshot that holds the configuration."""

    revision: int
    templates: dict[str, Versioned[template.Template]]
    customers: dict[str, Versioned[customer.Customer]]
    quotas: dict[str, Versioned[customer.Quota]]
    intentions: dict[str, Versioned[changes.Intention]]
    zones: dict[str, Versioned[zone_change.ZoneState]] | None = None


class Configuration:
    """Configuration in force, as the applied changes have set it.

    Attributes:
        revision: Number of changes applied so far, over all entries.
        templates: Templates by name.
        customers: Customers by name.
        quotas: Quotas by team.
        intentions: States that operators request for backend servers, by
            name of the server.
        zones: States that operators request for availability zones, by name
            of the zone; a zone without an entry is serving.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.templates: dict[str, Versioned[template.Template]] = {}
        self.customers: dict[str, Versioned[customer.Customer]] = {}
        self.quotas: dict[str, Versioned[customer.Quota]] = {}
        self.intentions: dict[str, Versioned[changes.Intention]] = {}
        self.zones: dict[str, Versioned[zone_change.ZoneState]] = {}

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> "Configuration":
        """Restore the configuration from a snapshot."""
        restored = cls()
        restored.revision = snapshot.revision
        restored.templates = snapshot.templates
        restored.customers = snapshot.customers
        restored.quotas = snapshot.quotas
        restored.intentions = snapshot.intentions
        restored.zones = snapshot.zones or {}
        return restored

    def snapshot(self) -> Snapshot:
        """Return the configuration's part of a snapshot, without copying it."""
        return Snapshot(
            self.revision,
            self.templates,
            self.customers,
            self.quotas,
            self.intentions,
            self.zones,
        )

    def compare_and_set(
        self,
        collection: str,
        name: str,
        body: object,
        base_version: int,
        operation: changes.Operation,
    ) -> changes.Result:
        """Set an entry if it still has the expected version.

        Args:
            collection: Name of the collection, such as `TEMPLATES`.
            name: Name of the entry.
            body: The new value.
            base_version: Version that the change is based on; 0 for an entry
                that does not exist yet.
            operation: Origin and idempotency key of the change.

        Returns:
            The new version, or a conflict with the current version and the
            operator who wrote it.
        """
        entries = getattr(self, collection)
        current = entries.get(name)
        version = current.version if current else 0
        if base_version != version:
            holder = current.operator if current else ""
            return changes.Result(
                changes.Status.CONFLICT,
                version,
                holder,
                outcomes.RefusalReason.VERSION_CONFLICT,
                f"{name} is at version {version}, not {base_version}",
            )
        self.revision += 1
        entries[name] = Versioned(
            version + 1, operation.operator, operation.wall_seconds, body
        )
        return changes.Result(changes.Status.APPLIED, version + 1)

    def set_zone_state(
        self, request: zone_change.SetZoneState
    ) -> changes.Result:
        """Set the state of a zone, or change nothing if it is in that state.

        Returns:
            The version of the state, or a conflict with the current version
            and the operator who wrote it.
        """
        current = self.zones.get(request.zone)
        if self.zone_state(request.zone) == request.state:
            version = current.version if current else 0
            return changes.Result(changes.Status.APPLIED, version)
        return self.compare_and_set(
            ZONES,
            request.zone,
            request.state,
            request.base_version,
            request.operation,
        )

    def zone_state(self, zone: str) -> zone_change.ZoneState:
        """Return the requested state of a zone; default SERVING."""
        found = self.zones.get(zone)
        return found.body if found else zone_change.ZoneState.SERVING

    def is_evacuated(self, zone: str) -> bool:
        """Return whether operators have evacuated a zone."""
        return self.zone_state(zone) == zone_change.ZoneState.EVACUATED

    def serving_zones(self, zones: Iterable[str]) -> tuple[str, ...]:
        """Return those of some zones that are not evacuated, in their order."""
        return tuple(zone for zone in zones if not self.is_evacuated(zone))

    def evacuated_zones(self) -> frozenset[str]:
        """Return the names of the evacuated zones."""
        return frozenset(filter(self.is_evacuated, self.zones))

    def job_refusal(self, request: changes.AcceptJob) -> changes.Result | None:
        """Return why the configuration forbids a job; None if it does not."""
        if request.customer not in self.customers:
            return _refusal(
                outcomes.RefusalReason.UNKNOWN_CUSTOMER,
                f"customer {request.customer!r} does not exist",
            )
        found = self.templates.get(request.template)
        if found is None or found.body.kind != template.Kind.BATCH:
            return _refusal(
                outcomes.RefusalReason.UNKNOWN_NAME,
                f"batch template {request.template!r} does not exist",
            )
        if not 1 <= request.tasks <= MAX_TASKS_PER_JOB:
            return _refusal(
                outcomes.RefusalReason.MALFORMED,
                f"tasks must be 1 to {MAX_TASKS_PER_JOB}, not {request.tasks}",
            )
        return None

    def intention(self, backend_server: str) -> changes.Intention:
        """Return the requested state of a backend server; default SERVING."""
        found = self.intentions.get(backend_server)
        return found.body if found else changes.Intention.SERVING


def _refusal(reason: outcomes.RefusalReason, detail: str) -> changes.Result:
    return changes.Result(changes.Status.REFUSED, reason=reason, detail=detail)
