"""Costs of the full announcements of workers and of incremental updates."""

from collections.abc import Awaitable, Callable
import statistics
import time
from typing import NamedTuple

import trio

from turmerichall import documents
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import updates
from turmerichall.benchmarks import capacity_model
from turmerichall.benchmarks import synthetic_state
from turmerichall.benchmarks import slopes
from turmerichall.operators import workers
from turmerichall.zones import announcements

__all__ = ["encoded_updates", "measure"]

ROUND_ANNOUNCEMENTS = 300

Receive = Callable[[announcements.AnnouncementHandler, bytes], Awaitable[bytes]]


class Form(NamedTuple):
    """A kind of document in which workers announce themselves.

    Attributes:
        key: Prefix of the keys of the slopes measured for this kind.
        what: Description of the kind, for printed tables.
        receive: Function that decodes, checks and applies a document and
            returns the encoded reply.
        documents: Encoded documents of one worker, in the order of sending.
    """

    key: str
    what: str
    receive: Receive
    documents: list[bytes]


async def receive_full(
    receiver: announcements.AnnouncementHandler, body: bytes
) -> bytes:
    """Handle a full announcement as the operators' listener does."""
    announced = documents.decode(body, announcement.Announcement)
    assert not workers.announcement_findings(announced)
    reply = await receiver.announce(announced)
    assert len(reply.renewed) == len(announced.tasks)
    return documents.encode(reply)


async def receive_update(
    receiver: announcements.AnnouncementHandler, body: bytes
) -> bytes:
    """Handle an update as the operators' listener does."""
    update = documents.decode(body, updates.Update)
    assert not workers.update_findings(update)
    reply = await receiver.update(update)
    assert reply.renewed == update.digest
    return documents.encode_without_defaults(reply)


def encoded_updates(
    first: announcement.Announcement, count: int, moved: bool
) -> list[bytes]:
    """Return encoded updates of a worker, each based on the previous one.

    Args:
        first: The full announcement on which the first update is based.
        count: Number of updates.
        moved: Whether the measured slowdown of one task changes in each
            update; otherwise no measurement changes.
    """
    update_builder = updates.UpdateBuilder()
    update_builder.record_accepted(first, None, 0.0)
    encoded = []
    announced = first
    for number in range(count):
        now = number * announcement.ANNOUNCE_PERIOD_SECONDS
        age = 1.5 + now % capacity_model.MEASURE_PERIOD_SECONDS
        tasks = tuple(
            report._replace(measured_seconds_ago=age)
            for report in announced.tasks
        )
        if moved:
            slowdown = 1.2 + 0.3 * (number % 2)
            tasks = (*tasks[:-1], tasks[-1]._replace(slowdown=slowdown))
        announced = announced._replace(
            sequence=announced.sequence + 1, tasks=tasks
        )
        update = update_builder.build(announced, now)
        assert update is not None and len(update.tasks) <= moved
        update_builder.record_accepted(announced, update, now)
        encoded.append(documents.encode_without_defaults(update))
    return encoded


def _forms() -> list[Form]:
    count = ROUND_ANNOUNCEMENTS
    first = synthetic_state.make_announcement(0, 1)
    full = [
        documents.encode(synthetic_state.make_announcement(0, number + 2))
        for number in range(count)
    ]
    idle = encoded_updates(first, count, moved=False)
    moved = encoded_updates(first, count + 1, moved=True)[1:]
    return [
        Form("announcement", "a whole announcement", receive_full, full),
        Form("idle_update", "an unchanged update", receive_update, idle),
        Form("update", "an update with one report", receive_update, moved),
    ]


def measure() -> list[slopes.Slope]:
    """Measure the sizes of announcements and replies and the processor time.

    The processor time excludes the cost of HTTP.
    """
    found = [slope for form in _forms() for slope in trio.run(_cost, form)]
    announced = synthetic_state.make_announcement(0, 1)
    write = slopes.median_processor_seconds(
        lambda _: documents.encode(synthetic_state.renewal_reply(announced)),
        300,
    )
    return [
        *found,
        slopes.Slope("reply_write", write, "s", "encode one reply"),
    ]


async def _cost(form: Form) -> list[slopes.Slope]:
    zone = synthetic_state.populated_zone()
    seconds = []
    reply = b""
    for _ in range(slopes.ROUNDS):
        receiver = synthetic_state.announcement_handler(zone)
        first = synthetic_state.make_announcement(0, 1)
        if form.key == "update":
            first = first._replace(sequence=2)
        await receiver.announce(first)
        started = time.process_time()
        for body in form.documents:
            reply = await form.receive(receiver, body)
        seconds.append((time.process_time() - started) / len(form.documents))
    size = statistics.median(map(len, form.documents))
    return [
        slopes.Slope(
            f"{form.key}_path",
            statistics.median(seconds),
            "s",
            f"decode, check, take in and answer {form.what}",
        ),
        slopes.Slope(f"{form.key}_bytes", size, "B", form.what),
        slopes.Slope(
            f"{form.key}_reply_bytes", len(reply), "B", f"reply to {form.what}"
        ),
    ]
