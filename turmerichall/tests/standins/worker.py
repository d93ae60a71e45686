"""A stand-in worker: announces itself, simulates tasks, serves requests.

Run as `python -m turmerichall.tests.standins.worker --name w1 ...`.  It prints
one JSON line with its address when it listens.  On SIGTERM it announces that
it is leaving, completes its requests, checkpoints its tasks and exits.
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
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import updates
from turmerichall.tests.standins import application
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours
from turmerichall.tests.standins import faults
from turmerichall.tests.standins import task_runner

__all__ = ["Settings", "Worker", "main"]

ANNOUNCE_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.2
# Period for which a leaving worker continues to answer requests, so that all
# instances learn in time that it is leaving.
LEAVING_NOTICE_SECONDS = 3.0
# Limit on how long a leaving worker waits until the ends of its attempts are
# acknowledged.
END_REPORT_TIMEOUT_SECONDS = 10.0
_TIMEOUTS = {
    name: ANNOUNCE_TIMEOUT_SECONDS
    for name in ("connect", "read", "write", "pool")
}


class Settings(NamedTuple):
    """Settings of a stand-in worker.

    Attributes:
        name: Name of the worker.
        zone: Availability zone.
        rack: Rack.
        listen: `host:port` to listen on; port 0 selects a free port.
        entry_addresses: `host:port` of the entry instances' operators
            listeners, tried in turn.
        key: Key that authorizes announcements and commands.
        trail_path: File of the audit trail, or empty for none.
        capacity: Total resources of the worker.
        via: Address to connect to in place of an authority's address, by the
            address that an instance returns, such as that of a proxy.
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it announces to accept.
        speed: Seconds of declared run time that a task completes in one
            second.
        advertise: Address to announce; empty for the one it listens on.
        shown: Faults that are active from the start.
    """

    name: str
    zone: str
    rack: str
    listen: str
    entry_addresses: tuple[str, ...]
    key: str
    trail_path: str
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
        settings: Its settings.
        address: Address that it announces; empty until it listens.
        audit_trail: Its audit trail.
        runner: Its task attempts.
        app: Its HTTP application.
        delayed_measurements: Past measurements, for late reports.
        sequence: Sequence of the last announcement.
        authority: Address of the zone's placement authority, or empty if
            unknown.
        update_builder: Decides between full announcements and updates.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.address = ""
        self.audit_trail = audit_trail.AuditTrail(
            settings.trail_path, settings.name
        )
        self.runner = task_runner.TaskRunner(
            settings.capacity,
            time.time_ns() // 1_000_000,
            self.audit_trail,
            settings.speed,
        )
        self.app = application.Application(
            settings.name,
            settings.key,
            settings.slots,
            self.runner,
            self.audit_trail,
        )
        self.app.set_faults(settings.shown)
        self.delayed_measurements = behaviours.DelayedMeasurements()
        self.sequence = 0
        self.authority = ""
        self.update_builder = updates.UpdateBuilder()
        self._pool = httpcore.AsyncConnectionPool(max_connections=8)
        self._next_entry = 0
        self._last_reply: tuple[str, bool, int, str] | None = None

    async def run(self) -> None:
        """Run until the worker has left after SIGTERM."""
        shutdown = trio.Event()
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async with trio.open_nursery() as nursery:
                bound = await nursery.start(self._serve_http, shutdown)
                self._report_listening(bound)
                nursery.start_soon(self._announce_forever)
                nursery.start_soon(self._run_tasks_forever)
                async for _ in signals:
                    break
                await self._leave()
                shutdown.set()
                nursery.cancel_scope.cancel()
        self.audit_trail.write("worker_end")
        self.audit_trail.close()

    async def _serve_http(
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

    def _report_listening(self, bound: list[str]) -> None:
        """Record the start, and print the address for the parent process."""
        bound_address = bound[0].removeprefix("http://")
        self.address = self.settings.advertise or bound_address
        self.audit_trail.write(
            "worker_start",
            incarnation=self.runner.incarnation,
            zone=self.settings.zone,
            capacity=self.settings.capacity,
        )
        line = {"name": self.settings.name, "address": bound_address}
        print(msgspec.json.encode(line).decode(), flush=True)

    async def _run_tasks_forever(self) -> None:
        while True:
            await trio.sleep(task_runner.STEP_PERIOD_SECONDS)
            if self.runner.step(trio.current_time()):
                self.app.announcement_due.set()

    async def _announce_forever(self) -> None:
        while True:
            self.app.announcement_due = trio.Event()
            accepted = await self.announce()
            if not accepted:
                await trio.sleep(RETRY_DELAY_SECONDS)
                continue
            with trio.move_on_after(announcements.ANNOUNCE_PERIOD_SECONDS):
                await self.app.announcement_due.wait()

    async def announce(self) -> bool:
        """Send an announcement to the authority or, if unknown, to an entry.

        After a failure the next announcement goes to the next entry instance.

        Returns:
            Whether the announcement was accepted.
        """
        target = self.authority or self._current_entry()
        reply = await self._send_announcement(target)
        self._record_reply_change(target, reply)
        if reply is None or not reply.accepted:
            self.update_builder.reset()
            self.authority = ""
            self._next_entry += 1
            return False
        announced = reply.authority_address
        authority = self.settings.via.get(announced, announced)
        if authority and authority != target:
            self.authority = authority
            self.update_builder.reset()
            self.app.announcement_due.set()
        return True

    def _record_reply_change(
        self, target: str, reply: announcements.Reply | None
    ) -> None:
        """Record the reply to an announcement if it differs from the last."""
        received = reply or announcements.Reply(False, detail="no answer")
        summary = (target, received.accepted, received.epoch, received.detail)
        if summary != self._last_reply:
            self._last_reply = summary
            self.audit_trail.write(
                "announcement_answered",
                target=target,
                accepted=received.accepted,
                epoch=received.epoch,
                detail=received.detail,
                authority=received.authority_address,
            )

    def _current_entry(self) -> str:
        entries = self.settings.entry_addresses
        return entries[self._next_entry % len(entries)]

    async def _send_announcement(
        self, target: str
    ) -> announcements.Reply | None:
        self.sequence += 1
        sent_at = trio.current_time()
        self.runner.record_sent(self.sequence, sent_at)
        announcement = self.build_announcement()
        update = self.update_builder.build(announcement, sent_at)
        reply: announcements.Reply | None
        try:
            with trio.fail_after(2 * ANNOUNCE_TIMEOUT_SECONDS):
                if update is None:
                    reply = await self._send_full(target, announcement)
                else:
                    reply = await self._send_update(
                        target, announcement, update
                    )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            errors.InputError,
            trio.TooSlowError,
        ):
            return None
        if reply is None:
            # The receiver requested a full announcement in place of the update.
            return await self._send_announcement(target)
        if reply.accepted:
            self.update_builder.record_accepted(announcement, update, sent_at)
        if self.runner.apply_reply(
            reply, announcement.sequence, trio.current_time()
        ):
            self.app.announcement_due.set()
        return reply

    async def _send_full(
        self, target: str, announcement: announcements.Announcement
    ) -> announcements.Reply:
        response = await self._post(
            target, "announce", documents.encode(announcement)
        )
        if response.status != 200:
            return announcements.Reply(False, detail=f"{response.status}")
        return documents.decode(response.content, announcements.Reply)

    async def _send_update(
        self,
        target: str,
        announcement: announcements.Announcement,
        update: updates.Update,
    ) -> announcements.Reply | None:
        """Send an update; return None if a full announcement is needed."""
        response = await self._post(
            target, "update", documents.encode_without_defaults(update)
        )
        if response.status == 404:
            self.update_builder.reset(full_only=True)
            return None
        if response.status != 200:
            return announcements.Reply(False, detail=f"{response.status}")
        answer = documents.decode(response.content, updates.UpdateReply)
        if answer.whole:
            self.update_builder.reset()
            return None
        return updates.expand_reply(announcement, answer)

    async def _post(
        self, target: str, operation: str, document: bytes
    ) -> httpcore.Response:
        return await self._pool.request(
            "POST",
            f"http://{target}/v1/workers/{operation}",
            headers=[("Authorization", f"Bearer {self.settings.key}")],
            content=document,
            extensions={"timeout": _TIMEOUTS},
        )

    def build_announcement(self) -> announcements.Announcement:
        """Return the announcement of the current state."""
        min_age_seconds = self.app.faults.report_late_seconds
        reports = self.runner.reports()
        if min_age_seconds:
            now = trio.current_time()
            reports = self.delayed_measurements.delay(
                reports, min_age_seconds, now
            )
        return announcements.Announcement(
            self.settings.name,
            self.runner.incarnation,
            self.sequence,
            self.settings.zone,
            self.settings.rack,
            self.address,
            self.settings.capacity,
            self.settings.slots,
            self.settings.connections,
            self.app.leaving,
            reports,
            self.runner.epoch,
        )

    async def _leave(self) -> None:
        """Announce leaving, complete requests and checkpoint all tasks."""
        self.audit_trail.write("worker_leaving")
        self.app.leaving = True
        self.app.announcement_due.set()
        await trio.sleep(LEAVING_NOTICE_SECONDS)
        while self.app.pending_requests:
            await trio.sleep(task_runner.STEP_PERIOD_SECONDS)
        self.runner.checkpoint_all(trio.current_time())
        self.app.announcement_due.set()
        with trio.move_on_after(END_REPORT_TIMEOUT_SECONDS):
            while self.runner.attempts:
                await trio.sleep(task_runner.STEP_PERIOD_SECONDS)


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
    """Run a stand-in worker.

    `ledger` is the path of the audit trail; `shown` and `via` are JSON objects.
    The other arguments are described at `Settings`.
    """
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


def _json(argument: object) -> bytes:
    """Return an argument as JSON text; `fire` parses JSON objects to dicts."""
    if isinstance(argument, dict):
        return msgspec.json.encode(argument)
    return str(argument).encode()


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
