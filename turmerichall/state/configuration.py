"""Versioned configuration: templates, customers, quotas and intentions."""

from typing import Generic, NamedTuple, TypeVar

from turmerichall import outcomes
from turmerichall.customers import customer
from turmerichall.state import change as changes
from turmerichall.templates import template

__all__ = [
    "CUSTOMERS",
    "Configuration",
    "INTENTIONS",
    "Image",
    "QUOTAS",
    "TEMPLATES",
    "Versioned",
]

TEMPLATES = "templates"
CUSTOMERS = "customers"
QUOTAS = "quotas"
INTENTIONS = "intentions"

MAX_TASKS_PER_JOB = 10_000

T = TypeVar("T")


class Versioned(NamedTuple, Generic[T]):
    """A body with the version that compare-and-set goes by.

    Attributes:
        version: Grows by one with each change.
        operator: Who made this version.
        wall_seconds: When it was asked for, Unix time.
        body: The value.
    """

    version: int
    operator: str
    wall_seconds: float
    body: T


class Image(NamedTuple):
    """What a snapshot holds of the configuration."""

    revision: int
    templates: dict[str, Versioned[template.Template]]
    customers: dict[str, Versioned[customer.Customer]]
    quotas: dict[str, Versioned[customer.Quota]]
    intentions: dict[str, Versioned[changes.Intention]]


class Configuration:
    """The configuration in force.

    Attributes:
        revision: Grows by one with each applied change of any entry.
        templates: Templates by name.
        customers: Customers by name.
        quotas: Quotas by team.
        intentions: What operators want of backend servers, by name.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.templates: dict[str, Versioned[template.Template]] = {}
        self.customers: dict[str, Versioned[customer.Customer]] = {}
        self.quotas: dict[str, Versioned[customer.Quota]] = {}
        self.intentions: dict[str, Versioned[changes.Intention]] = {}

    @classmethod
    def from_image(cls, image: Image) -> "Configuration":
        """Rebuilds the configuration of a snapshot."""
        made = cls()
        made.revision = image.revision
        made.templates = image.templates
        made.customers = image.customers
        made.quotas = image.quotas
        made.intentions = image.intentions
        return made

    def image(self) -> Image:
        """Returns what a snapshot holds."""
        return Image(
            self.revision,
            self.templates,
            self.customers,
            self.quotas,
            self.intentions,
        )

    def put(
        self,
        collection: str,
        name: str,
        body: object,
        base_version: int,
        operation: changes.Operation,
    ) -> changes.Result:
        """Sets an entry if it still has the version that the change names.

        Args:
            collection: Name of the collection, such as `TEMPLATES`.
            name: Name of the entry.
            body: The new value.
            base_version: Version that the change is based on; 0 for a new one.
            operation: Who asks.

        Returns:
            The new version, or a conflict that names who made the current one.
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

    def job_refusal(self, asked: changes.AcceptJob) -> changes.Result | None:
        """Returns why a job can't be accepted, or None if it can."""
        if asked.customer not in self.customers:
            return _refused(
                outcomes.RefusalReason.UNKNOWN_CUSTOMER,
                f"customer {asked.customer!r} does not exist",
            )
        found = self.templates.get(asked.template)
        if found is None or found.body.kind != template.Kind.BATCH:
            return _refused(
                outcomes.RefusalReason.UNKNOWN_NAME,
                f"batch template {asked.template!r} does not exist",
            )
        if not 1 <= asked.tasks <= MAX_TASKS_PER_JOB:
            return _refused(
                outcomes.RefusalReason.MALFORMED,
                f"tasks must be 1 to {MAX_TASKS_PER_JOB}, not {asked.tasks}",
            )
        return None

    def intention(self, backend_server: str) -> changes.Intention:
        """Returns what operators want of a backend server."""
        found = self.intentions.get(backend_server)
        return found.body if found else changes.Intention.SERVING


def _refused(reason: outcomes.RefusalReason, detail: str) -> changes.Result:
    return changes.Result(changes.Status.REFUSED, reason=reason, detail=detail)
