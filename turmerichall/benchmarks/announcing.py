"""Measures what announcements cost, whole and of what changed only."""

from collections.abc import Awaitable, Callable
import statistics
import time
from typing import NamedTuple

import trio

from turmerichall import documents
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import updates
from turmerichall.benchmarks import capacity_model
from turmerichall.benchmarks import populations
from turmerichall.benchmarks import slopes
from turmerichall.operators import workers
from turmerichall.zones import announcements

__all__ = ["made_updates", "measure"]

ROUND_ANNOUNCEMENTS = 300

Receive = Callable[[announcements.AnnouncementHandler, bytes], Awaitable[bytes]]


class Form(NamedTuple):
    """A form that an announcement may have.

    Attributes:
        key: Short name.
        what: What is sent.
        receive: Decodes, checks, takes and answers a document.
        documents: What a worker sends, in order.
    """

    key: str
    what: str
    receive: Receive
    documents: list[bytes]


async def receive_whole(
    receiver: announcements.AnnouncementHandler, body: bytes
) -> bytes:
    """Answers a whole announcement as the operators' listener does."""
    told = documents.decode(body, announcement.Announcement)
    assert not workers.announcement_findings(told)
    reply = await receiver.announce(told)
    assert len(reply.renewed) == len(told.tasks)
    return documents.encode(reply)


async def receive_update(
    receiver: announcements.AnnouncementHandler, body: bytes
) -> bytes:
    """Answers an update as the operators' listener does."""
    told = documents.decode(body, updates.Update)
    assert not workers.update_findings(told)
    answer = await receiver.update(told)
    assert answer.renewed == told.digest
    return documents.encode_without_defaults(answer)


def made_updates(
    first: announcement.Announcement, count: int, moved: bool
) -> list[bytes]:
    """Returns updates of a worker, each based on the one before.

    Args:
        first: What it announced last.
        count: How many.
        moved: Whether one measurement moves each time.
    """
    update_builder = updates.UpdateBuilder()
    update_builder.record_accepted(first, None, 0.0)
    made = []
    told = first
    for number in range(count):
        now = number * announcement.ANNOUNCE_PERIOD_SECONDS
        age = 1.5 + now % capacity_model.MEASURE_PERIOD_SECONDS
        tasks = tuple(
            report._replace(measured_seconds_ago=age) for report in told.tasks
        )
        if moved:
            slowdown = 1.2 + 0.3 * (number % 2)
            tasks = (*tasks[:-1], tasks[-1]._replace(slowdown=slowdown))
        told = told._replace(sequence=told.sequence + 1, tasks=tasks)
        update = update_builder.build(told, now)
        assert update is not None and len(update.tasks) <= moved
        update_builder.record_accepted(told, update, now)
        made.append(documents.encode_without_defaults(update))
    return made


def _forms() -> list[Form]:
    count = ROUND_ANNOUNCEMENTS
    first = populations.announced(0, 1)
    whole = [
        documents.encode(populations.announced(0, number + 2))
        for number in range(count)
    ]
    idle = made_updates(first, count, moved=False)
    moved = made_updates(first, count + 1, moved=True)[1:]
    return [
        Form("announcement", "a whole announcement", receive_whole, whole),
        Form("idle_update", "an unchanged update", receive_update, idle),
        Form("update", "an update with one report", receive_update, moved),
    ]


def measure() -> list[slopes.Slope]:
    """Measures bytes, and processor time without that of HTTP."""
    found = [slope for form in _forms() for slope in trio.run(_cost, form)]
    told = populations.announced(0, 1)
    write = slopes.processor_seconds(
        lambda _: documents.encode(populations.reply_to(told)), 300
    )
    return [*found, slopes.Slope("reply_write", write, "s", "encode one reply")]


async def _cost(form: Form) -> list[slopes.Slope]:
    zone = populations.authority()
    spent = []
    answer = b""
    for _ in range(slopes.ROUNDS):
        receiver = populations.receiver(zone)
        first = populations.announced(0, 1)
        if form.key == "update":
            first = first._replace(sequence=2)
        await receiver.announce(first)
        started = time.process_time()
        for body in form.documents:
            answer = await form.receive(receiver, body)
        spent.append((time.process_time() - started) / len(form.documents))
    size = statistics.median(map(len, form.documents))
    return [
        slopes.Slope(
            f"{form.key}_path",
            statistics.median(spent),
            "s",
            f"decode, check, take in and answer {form.what}",
        ),
        slopes.Slope(f"{form.key}_bytes", size, "B", form.what),
        slopes.Slope(
            f"{form.key}_reply_bytes", len(answer), "B", f"reply to {form.what}"
        ),
    ]
