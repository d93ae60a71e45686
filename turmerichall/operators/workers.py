"""Announcements of workers over HTTP."""

import math

from turmerichall import documents
from turmerichall import errors
from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import updates
from turmerichall.operators import exchange
from turmerichall.operators import replies
from turmerichall.operators import services as services_module
from turmerichall.settings import values
from turmerichall.templates import template

__all__ = ["announce", "announcement_findings", "update", "update_findings"]

MAX_TEXT_CHARACTERS = 500
MAX_NUMBER = 2**48


async def announce(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Takes an announcement and answers with renewals and commands."""
    told = documents.decode(request.body, announcement.Announcement)
    findings = announcement_findings(told)
    if findings:
        raise errors.InputError(findings)
    reply = await services.announcements.announce(told)
    _count(services, reply)
    return replies.json_response(reply)


async def update(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Takes what changed since an announcement; answers without defaults."""
    told = documents.decode(request.body, updates.Update)
    findings = update_findings(told)
    if findings:
        raise errors.InputError(findings)
    answer = await services.announcements.update(told)
    if answer.whole:
        reason = outcomes.RetryReason(answer.whole)
        services.counters.retried(services_module.PART, reason)
    else:
        _count(services, answer.reply)
    return exchange.Response(200, documents.encode_without_defaults(answer))


def _count(
    services: services_module.Services, reply: announcement.Reply
) -> None:
    if reply.accepted:
        services.counters.event("announcements_taken")
    else:
        services.counters.event("announcements_refused")


def announcement_findings(
    told: announcement.Announcement,
) -> list[errors.Finding]:
    """Checks the values of an announcement and returns all faults."""
    found = template.name_findings("name", told.name)
    found += template.name_findings("zone", told.zone)
    found += template.name_findings("rack", told.rack)
    try:
        values.address(told.address)
    except ValueError as error:
        found.append(errors.Finding("address", str(error)))
    numbers = {
        "incarnation": told.incarnation,
        "sequence": told.sequence,
        "slots": told.slots,
        "connections": told.connections,
        "epoch": told.epoch,
        **told.capacity._asdict(),
    }
    for field, number in numbers.items():
        found += _number_findings(field, number)
    return found + _tasks_findings(told.tasks)


def update_findings(told: updates.Update) -> list[errors.Finding]:
    """Checks the values of an update and returns all faults."""
    found = template.name_findings("name", told.name)
    found += _number_findings("sequence", told.sequence)
    if not 0 <= told.base < told.sequence:
        reason = f"expected a number from 0 to below {told.sequence}"
        found.append(errors.Finding("base", reason))
    found += _count_findings("gone", len(told.gone))
    found += _number_findings(
        "measured_seconds_ago", told.measured_seconds_ago or 0.0
    )
    return found + _tasks_findings(told.tasks)


def _tasks_findings(
    tasks: tuple[announcement.TaskReport, ...],
) -> list[errors.Finding]:
    found = _count_findings("tasks", len(tasks))
    if found:
        return found
    for number, report in enumerate(tasks):
        if not _is_sound(report):
            found += _report_findings(f"tasks[{number}]", report)
    return found


def _count_findings(place: str, count: int) -> list[errors.Finding]:
    if count <= announcement.MAX_REPORTS:
        return []
    reason = f"expected at most {announcement.MAX_REPORTS}, not {count}"
    return [errors.Finding(place, reason)]


def _is_sound(report: announcement.TaskReport) -> bool:
    """Tells quickly that a report has no findings, as almost all have none."""
    numbers = (
        report.attempt,
        report.slowdown,
        report.measured_seconds_ago,
        *report.usage,
    )
    texts = (report.task_id, report.checkpoint, report.detail)
    return (
        min(numbers) >= 0
        and max(numbers) <= MAX_NUMBER
        and max(map(len, texts)) <= MAX_TEXT_CHARACTERS
    )


def _report_findings(
    place: str, report: announcement.TaskReport
) -> list[errors.Finding]:
    numbers = {
        "attempt": report.attempt,
        "slowdown": report.slowdown,
        "measured_seconds_ago": report.measured_seconds_ago,
        **report.usage._asdict(),
    }
    found = []
    for field, number in numbers.items():
        found += _number_findings(f"{place}.{field}", number)
    for field in ("task_id", "checkpoint", "detail"):
        if len(getattr(report, field)) > MAX_TEXT_CHARACTERS:
            reason = f"expected at most {MAX_TEXT_CHARACTERS} characters"
            found.append(errors.Finding(f"{place}.{field}", reason))
    return found


def _number_findings(place: str, number: float) -> list[errors.Finding]:
    if math.isfinite(number) and 0 <= number <= MAX_NUMBER:
        return []
    reason = f"expected a number from 0 to {MAX_NUMBER}"
    return [errors.Finding(place, reason)]
