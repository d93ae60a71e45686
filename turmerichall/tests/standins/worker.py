"""A stand-in worker: announces itself, runs fake tasks, serves requests.

Run as `python -m turmerichall.tests.standins.worker --name w1 ...`.  It
prints one JSON line with its address once it listens.  SIGTERM makes it
leave.
"""

import signal
import sys
import time
from typing import Any, NamedTuple

import fire
import httpcore
import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from turmerichall import documents
from turmerichall import errors
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import updates
from turmerichall.tests.standins import application
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours
from turmerichall.tests.standins import faults
from turmerichall.tests.standins import task_runner

__all__ = ["Settings", "Worker", "main"]

ANNOUNCE_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.2
# How long a leaving worker goes on answering, so that all have heard of it.
LEAVING_SECONDS = 3.0
# How long a leaving worker tries to have its last ends acknowledged.
LAST_REPORT_SECONDS = 10.0
_TIMEOUTS = {
    name: ANNOUNCE_TIMEOUT_SECONDS
    for name in ("connect", "read", "write", "pool")
}


class Settings(NamedTuple):
    """What a stand-in worker is started with.

    Attributes:
        name: Name of the worker.
        zone: Availability zone.
        rack: Rack.
        listen: `host:port`; port 0 takes a free one.
        entries: `host:port` of the entry instances' operators listeners.
        key: Key of the announcements.
        trail: File of the audit trail, or empty.
        capacity: What it offers.
        via: Where to connect instead, by address that an instance tells.
        slots: Requests that it runs at once.
        connections: Connections that it says it accepts.
        speed: Run time that a task does in one second.
        advertise: Address to announce, or empty for the own one.
        shown: Faults that are on from the start.
    """

    name: str
    zone: str
    rack: str
    listen: str
    entries: tuple[str, ...]
    key: str
    trail: str
    capacity: resources.Resources
    via: dict[str, str]
    slots: int = 8
    connections: int = 64
    speed: float = 1.0
    advertise: str = ""
    shown: faults.Faults = faults.Faults()


class Worker:
    """One incarnation of a stand-in worker.

    Attributes:
        settings: What it was started with.
        address: Address that it announces, once it listens.
        record: The audit trail.
        held: Its attempts.
        app: Its HTTP application.
        measurements: What it measured and tells later.
        sequence: Sequence of the last announcement.
        authority: Where the zone's placing authority is, or empty.
        update_builder: Chooses between whole announcements and updates.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.address = ""
        self.record = audit_trail.AuditTrail(settings.trail, settings.name)
        self.held = task_runner.TaskRunner(
            settings.capacity,
            time.time_ns() // 1_000_000,
            self.record,
            settings.speed,
        )
        self.app = application.Application(
            settings.name, settings.key, settings.slots, self.held, self.record
        )
        self.app.set_faults(settings.shown)
        self.measurements = behaviours.Measurements()
        self.sequence = 0
        self.authority = ""
        self.update_builder = updates.UpdateBuilder()
        self._pool = httpcore.AsyncConnectionPool(max_connections=8)
        self._next_entry = 0
        self._last_answer: tuple[str, bool, int, str] | None = None

    async def run(self) -> None:
        """Runs until SIGTERM has been obeyed."""
        shutdown = trio.Event()
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async with trio.open_nursery() as nursery:
                bound = await nursery.start(self._listen, shutdown)
                self._listening(bound)
                nursery.start_soon(self._announce_forever)
                nursery.start_soon(self._step_forever)
                async for _ in signals:
                    break
                await self._leave()
                shutdown.set()
                nursery.cancel_scope.cancel()
        self.record.write("worker_end")
        self.record.close()

    async def _listen(
        self,
        shutdown: trio.Event,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        config = hypercorn.config.Config()
        config.bind = [self.settings.listen]
        config.errorlog = None
        config.keep_alive_timeout = 3600.0
        await hypercorn.trio.serve(
            self.app,
            config,
            shutdown_trigger=shutdown.wait,
            task_status=task_status,
        )

    def _listening(self, bound: list[str]) -> None:
        listening = bound[0].removeprefix("http://")
        self.address = self.settings.advertise or listening
        self.record.write(
            "worker_start",
            incarnation=self.held.incarnation,
            zone=self.settings.zone,
            capacity=self.settings.capacity,
        )
        line = {"name": self.settings.name, "address": listening}
        print(msgspec.json.encode(line).decode(), flush=True)

    async def _step_forever(self) -> None:
        while True:
            await trio.sleep(task_runner.STEP_SECONDS)
            if self.held.step(trio.current_time()):
                self.app.changed.set()

    async def _announce_forever(self) -> None:
        while True:
            self.app.changed = trio.Event()
            heard = await self.announce()
            if not heard:
                await trio.sleep(RETRY_SECONDS)
                continue
            with trio.move_on_after(announcement.ANNOUNCE_PERIOD_SECONDS):
                await self.app.changed.wait()

    async def announce(self) -> bool:
        """Announces once, to the authority or else to the next entry."""
        target = self.authority or self._entry()
        reply = await self._exchange(target)
        self._note_answer(target, reply)
        if reply is None or not reply.accepted:
            self.update_builder.reset()
            self.authority = ""
            self._next_entry += 1
            return False
        told = reply.authority_address
        authority = self.settings.via.get(told, told)
        if authority and authority != target:
            self.authority = authority
            self.update_builder.reset()
            self.app.changed.set()
        return True

    def _note_answer(
        self, target: str, reply: announcement.Reply | None
    ) -> None:
        """Records who answers announcements, when that changes."""
        told = reply or announcement.Reply(False, detail="no answer")
        answer = (target, told.accepted, told.epoch, told.detail)
        if answer != self._last_answer:
            self._last_answer = answer
            self.record.write(
                "announcement_answered",
                target=target,
                accepted=told.accepted,
                epoch=told.epoch,
                detail=told.detail,
                authority=told.authority_address,
            )

    def _entry(self) -> str:
        entries = self.settings.entries
        return entries[self._next_entry % len(entries)]

    async def _exchange(self, target: str) -> announcement.Reply | None:
        self.sequence += 1
        sent_at = trio.current_time()
        self.held.note_sent(self.sequence, sent_at)
        told = self.announcement()
        update = self.update_builder.build(told, sent_at)
        reply: announcement.Reply | None
        try:
            with trio.fail_after(2 * ANNOUNCE_TIMEOUT_SECONDS):
                if update is None:
                    reply = await self._announce_whole(target, told)
                else:
                    reply = await self._update(target, told, update)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            errors.InputError,
            trio.TooSlowError,
        ):
            return None
        if reply is None:
            # An update was not taken.
            return await self._exchange(target)
        if reply.accepted:
            self.update_builder.record_accepted(told, update, sent_at)
        if self.held.take_reply(reply, told.sequence, trio.current_time()):
            self.app.changed.set()
        return reply

    async def _announce_whole(
        self, target: str, told: announcement.Announcement
    ) -> announcement.Reply:
        response = await self._post(target, "announce", documents.encode(told))
        if response.status != 200:
            return announcement.Reply(False, detail=f"{response.status}")
        return documents.decode(response.content, announcement.Reply)

    async def _update(
        self,
        target: str,
        told: announcement.Announcement,
        update: updates.Update,
    ) -> announcement.Reply | None:
        """Sends an update; returns None if a whole announcement is needed."""
        response = await self._post(
            target, "update", documents.encode_without_defaults(update)
        )
        if response.status == 404:
            self.update_builder.reset(full_only=True)
            return None
        if response.status != 200:
            return announcement.Reply(False, detail=f"{response.status}")
        answer = documents.decode(response.content, updates.UpdateReply)
        if answer.whole:
            self.update_builder.reset()
            return None
        return updates.expand_reply(told, answer)

    async def _post(
        self, target: str, what: str, document: bytes
    ) -> httpcore.Response:
        return await self._pool.request(
            "POST",
            f"http://{target}/v1/workers/{what}",
            headers=[("Authorization", f"Bearer {self.settings.key}")],
            content=document,
            extensions={"timeout": _TIMEOUTS},
        )

    def announcement(self) -> announcement.Announcement:
        """Returns the announcement of this moment."""
        late = self.app.faults.report_late_seconds
        reports = self.held.reports()
        if late:
            now = trio.current_time()
            reports = self.measurements.late(reports, late, now)
        return announcement.Announcement(
            self.settings.name,
            self.held.incarnation,
            self.sequence,
            self.settings.zone,
            self.settings.rack,
            self.address,
            self.settings.capacity,
            self.settings.slots,
            self.settings.connections,
            self.app.leaving,
            reports,
            self.held.epoch,
        )

    async def _leave(self) -> None:
        """Announces leaving, finishes requests and reports the last ends."""
        self.record.write("worker_leaving")
        self.app.leaving = True
        self.app.changed.set()
        await trio.sleep(LEAVING_SECONDS)
        while self.app.running:
            await trio.sleep(task_runner.STEP_SECONDS)
        self.held.checkpoint_all(trio.current_time())
        self.app.changed.set()
        with trio.move_on_after(LAST_REPORT_SECONDS):
            while self.held.held:
                await trio.sleep(task_runner.STEP_SECONDS)


def main(
    name: str,
    zone: str,
    rack: str,
    entries: str,
    key: str,
    listen: str = "127.0.0.1:0",
    ledger: str = "",
    processors: float = 8.0,
    memory_mb: int = 16000,
    accelerators: int = 0,
    slots: int = 8,
    connections: int = 64,
    speed: float = 1.0,
    advertise: str = "",
    shown: str = "{}",
    via: str = "{}",
) -> None:
    """Runs a stand-in worker; `shown` and `via` are JSON objects."""
    if isinstance(entries, (tuple, list)):
        entries = ",".join(entries)
    worker = Worker(
        Settings(
            str(name),
            str(zone),
            str(rack),
            listen,
            tuple(entries.split(",")),
            str(key),
            ledger,
            resources.Resources(processors, memory_mb, accelerators),
            documents.decode(_json(via), dict[str, str]),
            slots,
            connections,
            speed,
            advertise,
            documents.decode(_json(shown), faults.Faults),
        )
    )
    trio.run(worker.run)


def _json(given: object) -> bytes:
    """Undoes that `fire` reads an argument that is a JSON object."""
    if isinstance(given, dict):
        return msgspec.json.encode(given)
    return str(given).encode()


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
