"""Measures the costs of full announcements and of updates to them."""

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

Handle = Callable[[announcements.AnnouncementHandler, bytes], Awaitable[bytes]]


class DocumentKind(NamedTuple):
    """A kind of document in which workers announce themselves.

    Attributes:
        key: Prefix of the slopes' keys.
        what: The kind in words.
        handle: Decodes, checks and applies a document, and returns the encoded
            reply.
        documents: Encoded documents of one worker, in the order of sending.
    """

    key: str
    what: str
    handle: Handle
    documents: list[bytes]


async def handle_full(
    handler: announcements.AnnouncementHandler, body: bytes
) -> bytes:
    """Handles a full announcement as the operators' listener does."""
    announced = documents.decode(body, announcement.Announcement)
    assert not workers.announcement_findings(announced)
    reply = await handler.announce(announced)
    assert len(reply.renewed) == len(announced.tasks)
    return documents.encode(reply)


async def handle_update(
    handler: announcements.AnnouncementHandler, body: bytes
) -> bytes:
    """Handles an update as the operators' listener does."""
    update = documents.decode(body, updates.Update)
    assert not workers.update_findings(update)
    reply = await handler.update(update)
    assert reply.renewed == update.digest
    return documents.encode_without_defaults(reply)


def encoded_updates(
    first: announcement.Announcement, count: int, changed: bool
) -> list[bytes]:
    """Returns encoded updates of a worker, each based on the previous one.

    Args:
        first: The worker's last announcement.
        count: Number of updates.
        changed: Whether one measurement changes in each update.
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
        if changed:
            slowdown = 1.2 + 0.3 * (number % 2)
            tasks = (*tasks[:-1], tasks[-1]._replace(slowdown=slowdown))
        announced = announced._replace(
            sequence=announced.sequence + 1, tasks=tasks
        )
        update = update_builder.build(announced, now)
        assert update is not None and len(update.tasks) <= changed
        update_builder.record_accepted(announced, update, now)
        encoded.append(documents.encode_without_defaults(update))
    return encoded


def _document_kinds() -> list[DocumentKind]:
    count = ROUND_ANNOUNCEMENTS
    first = synthetic_state.make_announcement(0, 1)
    full = [
        documents.encode(synthetic_state.make_announcement(0, number + 2))
        for number in range(count)
    ]
    idle = encoded_updates(first, count, changed=False)
    changed = encoded_updates(first, count + 1, changed=True)[1:]
    return [
        DocumentKind("announcement", "a whole announcement", handle_full, full),
        DocumentKind("idle_update", "an unchanged update", handle_update, idle),
        DocumentKind(
            "update", "an update with one report", handle_update, changed
        ),
    ]


def measure() -> list[slopes.Slope]:
    """Measures bytes, and processor time without the cost of HTTP."""
    measured = [
        slope
        for kind in _document_kinds()
        for slope in trio.run(_measure_kind, kind)
    ]
    announced = synthetic_state.make_announcement(0, 1)
    encode_seconds = slopes.median_processor_seconds(
        lambda _: documents.encode(synthetic_state.renewal_reply(announced)),
        300,
    )
    return [
        *measured,
        slopes.Slope("reply_write", encode_seconds, "s", "encode one reply"),
    ]


async def _measure_kind(kind: DocumentKind) -> list[slopes.Slope]:
    zone = synthetic_state.populated_zone()
    seconds = []
    reply = b""
    for _ in range(slopes.ROUNDS):
        handler = synthetic_state.announcement_handler(zone)
        first = synthetic_state.make_announcement(0, 1)
        if kind.key == "update":
            first = first._replace(sequence=2)
        await handler.announce(first)
        started = time.process_time()
        for body in kind.documents:
            reply = await kind.handle(handler, body)
        seconds.append((time.process_time() - started) / len(kind.documents))
    size = statistics.median(map(len, kind.documents))
    return [
        slopes.Slope(
            f"{kind.key}_path",
            statistics.median(seconds),
            "s",
            f"decode, check, take in and answer {kind.what}",
        ),
        slopes.Slope(f"{kind.key}_bytes", size, "B", kind.what),
        slopes.Slope(
            f"{kind.key}_reply_bytes", len(reply), "B", f"reply to {kind.what}"
        ),
    ]
