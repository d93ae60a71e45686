"""HTTP handlers for templates, customers and quotas."""

from typing import Any, NamedTuple

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.customers import customer
from turmerichall.operators import exchange
from turmerichall.operators import freshness
from turmerichall.operators import operations
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.state import change as changes
from turmerichall.state import configuration
from turmerichall.templates import template

__all__ = ["Collection", "CUSTOMERS", "QUOTAS", "TEMPLATES"]


class Collection(NamedTuple):
    """Handlers that list, show and set one kind of configuration entry.

    The kinds are templates, customers and quotas.

    Attributes:
        attribute: Attribute of `Configuration` that holds the entries.
        noun: What an entry is called in messages and in the log.
        name_field: Field of an entry's body that contains the entry's name.
        document: Type of the request body that sets an entry.
        change: Type of the replicated change that sets an entry.
    """

    attribute: str
    noun: str
    name_field: str
    document: Any
    change: Any

    async def list(
        self, services: services_module.Services, request: exchange.Request
    ) -> exchange.Response | outcomes.Refusal:
        """List all entries, ordered by name."""
        staleness = await freshness.refresh(services, request)
        if isinstance(staleness, outcomes.Refusal):
            return staleness
        entries = getattr(services.machine.configuration, self.attribute)
        items = [_item(name, entries[name]) for name in sorted(entries)]
        return replies.json_response(
            freshness.with_freshness(staleness, {"items": items})
        )

    async def show(
        self, services: services_module.Services, request: exchange.Request
    ) -> exchange.Response | outcomes.Refusal:
        """Show one entry."""
        staleness = await freshness.refresh(services, request)
        if isinstance(staleness, outcomes.Refusal):
            return staleness
        name = request.parameters["name"]
        entries = getattr(services.machine.configuration, self.attribute)
        if name not in entries:
            detail = f"{self.noun} {name!r} does not exist"
            return outcomes.Refusal(outcomes.RefusalReason.UNKNOWN_NAME, detail)
        item = _item(name, entries[name])
        return replies.json_response(
            freshness.with_freshness(staleness, {"item": item})
        )

    async def set(
        self, services: services_module.Services, request: exchange.Request
    ) -> exchange.Response | outcomes.Refusal:
        """Set an entry, if it still has the version that the request names."""
        operation = operations.read_operation(request)
        document = operations.decode_body(request, self.document)
        name = request.parameters["name"]
        findings = document.body.findings()
        if getattr(document.body, self.name_field) != name:
            place = f"{self.noun}.{self.name_field}"
            findings.append(errors.Finding(place, f"expected {name!r}"))
        if document.base_version < 0:
            reason = "must not be negative"
            findings.append(errors.Finding("base_version", reason))
        if findings:
            raise errors.InputError(findings)
        change = self.change(operation, document.base_version, document.body)
        return await operations.submit(
            services, change, operation, **{self.noun: name}
        )


class TemplateDocument(NamedTuple):
    """Body of a request that publishes a template."""

    base_version: int
    body: template.Template


class CustomerDocument(NamedTuple):
    """Body of a request that sets a customer."""

    base_version: int
    body: customer.Customer


class QuotaDocument(NamedTuple):
    """Body of a request that sets a quota."""

    base_version: int
    body: customer.Quota


TEMPLATES = Collection(
    configuration.TEMPLATES,
    "template",
    "name",
    TemplateDocument,
    changes.PublishTemplate,
)
CUSTOMERS = Collection(
    configuration.CUSTOMERS,
    "customer",
    "name",
    CustomerDocument,
    changes.SetCustomer,
)
QUOTAS = Collection(
    configuration.QUOTAS, "quota", "team", QuotaDocument, changes.SetQuota
)


def _item(name: str, entry: configuration.Versioned[Any]) -> dict[str, Any]:
    return {"name": name, **entry._asdict()}
