"""HTTP handlers for workers' announcements."""

import math

from turmerichall import documents
from turmerichall import errors
from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
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
    """Process an announcement and reply with renewed leases and commands."""
    announcement = documents.decode(request.body, announcements.Announcement)
    findings = announcement_findings(announcement)
    if findings:
        raise errors.InputError(findings)
    reply = await services.announcements.announce(announcement)
    _count(services, reply)
    return replies.json_response(reply)


async def update(
    services: services_module.Services, request: exchange.Request
) -> exchange.Response:
    """Process an update, which has only the changes of an announcement.

    Fields that have their default value are left out of the response.
    """
    worker_update = documents.decode(request.body, updates.Update)
    findings = update_findings(worker_update)
    if findings:
        raise errors.InputError(findings)
    update_reply = await services.announcements.update(worker_update)
    if update_reply.whole:
        reason = outcomes.RetryReason(update_reply.whole)
        services.counters.retried(services_module.PART, reason)
    else:
        _count(services, update_reply.reply)
    return exchange.Response(
        200, documents.encode_without_defaults(update_reply)
    )


def _count(
    services: services_module.Services, reply: announcements.Reply
) -> None:
    if reply.accepted:
        services.counters.event("announcements_taken")
    else:
        services.counters.event("announcements_refused")


def announcement_findings(
    announcement: announcements.Announcement,
) -> list[errors.Finding]:
    """Return a finding for each invalid value of an announcement."""
    findings = template.name_findings("name", announcement.name)
    findings += template.name_findings("zone", announcement.zone)
    findings += template.name_findings("rack", announcement.rack)
    try:
        values.address(announcement.address)
    except ValueError as error:
        findings.append(errors.Finding("address", str(error)))
    numbers = {
        "incarnation": announcement.incarnation,
        "sequence": announcement.sequence,
        "slots": announcement.slots,
        "connections": announcement.connections,
        "epoch": announcement.epoch,
        **announcement.capacity._asdict(),
    }
    for field, number in numbers.items():
        findings += _number_findings(field, number)
    return findings + _tasks_findings(announcement.tasks)


def update_findings(worker_update: updates.Update) -> list[errors.Finding]:
    """Return a finding for each invalid value of an update."""
    findings = template.name_findings("name", worker_update.name)
    findings += _number_findings("sequence", worker_update.sequence)
    if not 0 <= worker_update.base < worker_update.sequence:
        reason = (
            "expected a number of at least 0 and below "
            f"{worker_update.sequence}"
        )
        findings.append(errors.Finding("base", reason))
    findings += _count_findings("gone", len(worker_update.gone))
    findings += _number_findings(
        "measured_seconds_ago", worker_update.measured_seconds_ago or 0.0
    )
    return findings + _tasks_findings(worker_update.tasks)


def _tasks_findings(
    tasks: tuple[announcements.TaskReport, ...],
) -> list[errors.Finding]:
    findings = _count_findings("tasks", len(tasks))
    if findings:
        return findings
    for number, report in enumerate(tasks):
        if not _is_valid(report):
            findings += _report_findings(f"tasks[{number}]", report)
    return findings


def _count_findings(place: str, count: int) -> list[errors.Finding]:
    if count <= announcements.MAX_REPORTS:
        return []
    reason = f"expected at most {announcements.MAX_REPORTS}, not {count}"
    return [errors.Finding(place, reason)]


def _is_valid(report: announcements.TaskReport) -> bool:
    """Return whether all values of a report on a task are valid.

    This check is quick, and almost all reports pass it.  Only if a report fails
    it are the invalid values listed.
    """
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
    place: str, report: announcements.TaskReport
) -> list[errors.Finding]:
    numbers = {
        "attempt": report.attempt,
        "slowdown": report.slowdown,
        "measured_seconds_ago": report.measured_seconds_ago,
        **report.usage._asdict(),
    }
    findings = []
    for field, number in numbers.items():
        findings += _number_findings(f"{place}.{field}", number)
    for field in ("task_id", "checkpoint", "detail"):
        if len(getattr(report, field)) > MAX_TEXT_CHARACTERS:
            reason = f"expected at most {MAX_TEXT_CHARACTERS} characters"
            findings.append(errors.Finding(f"{place}.{field}", reason))
    return findings


def _number_findings(place: str, number: float) -> list[errors.Finding]:
    if math.isfinite(number) and 0 <= number <= MAX_NUMBER:
        return []
    reason = f"expected a number from 0 to {MAX_NUMBER}"
    return [errors.Finding(place, reason)]
