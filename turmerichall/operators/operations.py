"""Submission of operators' changes, identified by an operation id.

The operation id is an idempotency key: a resent request carries the same id and
is not applied again.
"""

import time
from typing import Any, NamedTuple

from turmerichall import documents
from turmerichall import errors
from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.state import change as changes
from turmerichall.templates import template

__all__ = [
    "OPERATION_ID_HEADER",
    "OPERATOR_HEADER",
    "StateDocument",
    "decode_body",
    "read_operation",
    "refuse",
    "submit",
]

OPERATION_ID_HEADER = "turmerichall-operation-id"
OPERATOR_HEADER = "turmerichall-operator"


class StateDocument(NamedTuple):
    """Body of a request for the state of a backend server or a zone.

    Attributes:
        base_version: Version of the state that the change is based on; None
            for the version that is current when the request arrives.
    """

    base_version: int | None = None


def read_operation(request: exchange.Request) -> changes.Operation:
    """Return the operation of a request, as its header fields give it.

    They give the operation id and the operator; the time is the current one.

    Raises:
        InputError: The operation id is missing, or it or the operator is not a
            valid name.
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
    operation: changes.Operation,
    **about: Any,
) -> exchange.Response | outcomes.Refusal:
    """Submit a change, and log and count its outcome.

    Args:
        services: Parts of the daemon.
        change: The change.
        operation: Id of the operation and name of the operator.
        **about: Further fields for the response and the log, such as the id of
            the job that is changed.

    Returns:
        The response, or why nothing was changed.
    """
    outcome = await services.submitter.submit(change)
    name = type(change).__name__
    fields = {
        "operation_id": operation.operation_id,
        "operator": operation.operator,
    }
    if isinstance(outcome, outcomes.Unknown):
        services.counters.unknown(services_module.PART, outcome.reason)
        services.log.warning(
            "outcome of a change is unknown",
            change=name,
            reason=outcome.reason.value,
            **fields,
            **about,
        )
        return replies.unknown(outcome)
    if isinstance(outcome, outcomes.Refusal):
        return refuse(services, operation, outcome, **about)
    _record_result(services, outcome, name, fields | about)
    # The removal of an instance also changes the replica group, which is not
    # recorded with the operation id.
    recorded = not isinstance(change, changes.ForgetInstance)
    return replies.result(outcome, about, recorded)


def refuse(
    services: services_module.Services,
    operation: changes.Operation,
    refusal: outcomes.Refusal,
    **about: Any,
) -> exchange.Response | outcomes.Refusal:
    """Return what a request is answered that was refused before it was logged.

    If the change was applied for an earlier request with the same operation id,
    such as one whose answer was lost, a refusal would be untrue.

    Args:
        services: Parts of the daemon.
        operation: Id of the operation.
        refusal: Why the request was refused.
        **about: As for `submit`.

    Returns:
        The response with the earlier result if there is one, or the refusal.
    """
    result = services.machine.operations.get(operation.operation_id)
    if result is None or result.status != changes.Status.APPLIED:
        return refusal
    return replies.result(result, about)


def _record_result(
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
    """Return the decoded and validated body of a request.

    Raises:
        InputError: The body can't be decoded, or its value is not valid.
    """
    value = documents.decode(request.body, value_type)
    findings = value.findings() if hasattr(value, "findings") else []
    if findings:
        raise errors.InputError(findings)
    return value
