"""Operations: who asks for a change, and the id that a resend keeps."""

import time
from typing import Any

from turmerichall import documents
from turmerichall import errors
from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.state import change as changes
from turmerichall.templates import template

__all__ = ["OPERATION_ID_HEADER", "OPERATOR_HEADER", "read_operation", "submit"]

OPERATION_ID_HEADER = "turmerichall-operation-id"
OPERATOR_HEADER = "turmerichall-operator"


def read_operation(request: exchange.Request) -> changes.Operation:
    """Reads the operation of a request.

    Raises:
        InputError: The id is missing or is not a name.
    """
    operation_id = request.headers.get(OPERATION_ID_HEADER, "")
    operator = request.headers.get(OPERATOR_HEADER, "operator")
    findings = template.name_findings(
        f"header {OPERATION_ID_HEADER}", operation_id
    )
    findings += template.name_findings(f"header {OPERATOR_HEADER}", operator)
    if findings:
        raise errors.InputError(findings)
    return changes.Operation(operation_id, operator, time.time())


async def submit(
    services: services_module.Services,
    change: changes.Change,
    asked: changes.Operation,
    **about: Any,
) -> exchange.Response | outcomes.Refusal:
    """Submits a change and returns the response for what came of it.

    Args:
        services: Parts of the daemon.
        change: The change.
        asked: Who asks.
        **about: What the change is about, for the response and the log.

    Returns:
        The response, or why nothing was changed.
    """
    outcome = await services.submitter.submit(change)
    name = type(change).__name__
    fields = {"operation_id": asked.operation_id, "operator": asked.operator}
    if isinstance(outcome, outcomes.Unknown):
        services.counters.unknown(services_module.PART, outcome.reason)
        services.log.warning(
            "change has an unknown outcome",
            change=name,
            reason=outcome.reason.value,
            **fields,
            **about,
        )
        return replies.unknown(outcome)
    if isinstance(outcome, outcomes.Refusal):
        return outcome
    _note_result(services, outcome, name, fields | about)
    return replies.result(outcome, about)


def _note_result(
    services: services_module.Services,
    outcome: changes.Result,
    change: str,
    fields: dict[str, Any],
) -> None:
    status = outcome.status.value
    services.log.info(
        f"change {status}", change=change, version=outcome.version, **fields
    )
    if outcome.status == changes.Status.APPLIED:
        services.counters.event("changes_applied")
    elif outcome.reason:
        reason = outcomes.RefusalReason(outcome.reason)
        services.counters.refused(services_module.PART, reason)


def decode_body(request: exchange.Request, value_type: type[Any]) -> Any:
    """Decodes the body and collects the findings of the value itself.

    Raises:
        InputError: The body or the value has findings.
    """
    value = documents.decode(request.body, value_type)
    findings = value.findings() if hasattr(value, "findings") else []
    if findings:
        raise errors.InputError(findings)
    return value
