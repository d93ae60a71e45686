"""Tests of the stand-in worker's protocol, run as a process."""

import json
import pathlib
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import hypercorn.config
import hypercorn.trio
import pytest
import trio

from turmerichall import documents
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import updates
from turmerichall.leases import lease
from turmerichall.tests.standins import audit_trail

TIMEOUT_SECONDS = 30.0
KEY = "key-of-the-worker"
SERVICE = announcements.Command(
    announcements.CommandKind.START,
    "svc:c/s/z1/0",
    attempt=1,
    epoch=1,
    incarnation=0,
    anchor=0,
    lease_seconds=lease.LEASE_SECONDS,
    template="s",
    customer="c",
    service=True,
)


class FakeEntry:
    """A fake entry instance that accepts announcements and starts one service.

    Attributes:
        announcements: Received announcements, with updates applied.
        updates: Received updates.
        update_status: HTTP status of the replies to updates.
        address: `host:port` that it listens on.
    """

    def __init__(self) -> None:
        self.announcements: list[announcements.Announcement] = []
        self.updates: list[updates.Update] = []
        self.update_status = 200
        self.address = ""

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        config = hypercorn.config.Config()
        config.bind = ["127.0.0.1:0"]
        config.errorlog = None
        await hypercorn.trio.serve(self, config, task_status=task_status)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            while True:
                kind = (await receive())["type"]
                await send({"type": f"{kind}.complete"})
        headers = dict(scope["headers"])
        assert headers[b"authorization"] == f"Bearer {KEY}".encode()
        body = (await receive())["body"]
        status = 200
        if scope["path"] == "/v1/workers/update":
            status = self.update_status
            answer = documents.encode_without_defaults(self.update(body))
        else:
            announcement = documents.decode(body, announcements.Announcement)
            answer = documents.encode(self.reply(announcement))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-length", str(len(answer)).encode())],
            }
        )
        await send({"type": "http.response.body", "body": answer})

    def update(self, body: bytes) -> updates.UpdateReply:
        """Accept an update if its base is the last announcement."""
        update = documents.decode(body, updates.Update)
        self.updates.append(update)
        if (
            update.base != self.announcements[-1].sequence
            or self.update_status != 200
        ):
            reply = announcements.Reply(False)
            return updates.UpdateReply(reply, whole="base_mismatch")
        announcement = updates.apply_update(self.announcements[-1], update)
        assert announcement is not None
        return updates.compact_reply(
            announcement, update, self.reply(announcement)
        )

    def reply(
        self, announcement: announcements.Announcement
    ) -> announcements.Reply:
        """Renew and acknowledge all attempts, and send the start command.

        The start is resent until the worker leaves; resends have no effect.
        """
        self.announcements.append(announcement)
        names = tuple(
            announcements.attempt_name(report.task_id, report.attempt)
            for report in announcement.tasks
        )
        start = SERVICE._replace(
            incarnation=announcement.incarnation, anchor=announcement.sequence
        )
        return announcements.Reply(
            True,
            epoch=1,
            renewed=names,
            acknowledged=names,
            lease_seconds=lease.LEASE_SECONDS,
            commands=() if announcement.leaving else (start,),
        )

    async def wait_for_announcements(self, count: int) -> None:
        """Wait until a number of announcements has been received."""
        with trio.fail_after(TIMEOUT_SECONDS):
            while len(self.announcements) < count:
                await trio.sleep(0.02)


class WorkerProcess:
    """The process of a stand-in worker and its fake entry instance."""

    def __init__(
        self,
        entry: FakeEntry,
        process: subprocess.Popen[bytes],
        trail_path: pathlib.Path,
    ):
        assert process.stdout is not None
        self.entry = entry
        self.process = process
        self.trail_path = trail_path
        self.address: str = json.loads(process.stdout.readline())["address"]

    async def post(
        self, path: str, content: bytes, key: str = KEY
    ) -> httpcore.Response:
        """Send a POST request to the worker."""
        headers = [
            ("Authorization", f"Bearer {key}"),
            ("Turmerichall-Request-Id", "r1"),
        ]
        with trio.fail_after(TIMEOUT_SECONDS):
            async with httpcore.AsyncConnectionPool() as pool:
                return await pool.request(
                    "POST",
                    f"http://{self.address}{path}",
                    headers=headers,
                    content=content,
                )


@pytest.fixture(name="worker")
async def _worker(
    nursery: trio.Nursery, tmp_path: pathlib.Path
) -> AsyncIterator[WorkerProcess]:
    entry = FakeEntry()
    (bound,) = await nursery.start(entry.run)
    entry.address = bound.removeprefix("http://")
    trail_path = tmp_path / "w.trail"
    command = [sys.executable, "-m", "turmerichall.tests.standins.worker"]
    command += ["--name", "w1", "--zone", "z1", "--rack", "r1", "--key", KEY]
    command += ["--entries", f"127.0.0.1:1,{entry.address}"]
    command += ["--ledger", str(trail_path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        yield WorkerProcess(entry, process, trail_path)
        process.kill()


class TestWorker:
    """The worker's side of the protocol of backend servers."""

    async def test_announces_to_the_next_entry_if_one_fails(
        self, worker: WorkerProcess
    ) -> None:
        await worker.entry.wait_for_announcements(2)
        first, second = worker.entry.announcements[:2]
        assert first.address == worker.address
        assert second.sequence > first.sequence
        (report,) = second.tasks
        assert report.state == announcements.ReportedState.RUNNING

    async def test_sends_updates_and_a_full_announcement_on_request(
        self, worker: WorkerProcess
    ) -> None:
        entry = worker.entry
        await entry.wait_for_announcements(3)
        assert entry.updates[-1].sequence == entry.announcements[-1].sequence
        entry.announcements[-1] = entry.announcements[-1]._replace(sequence=0)
        count = len(entry.announcements)
        await entry.wait_for_announcements(count + 1)
        full = entry.announcements[count].sequence
        sequences = [update.sequence for update in entry.updates]
        assert full not in sequences and full - 1 in sequences

    async def test_sends_full_announcements_if_updates_are_unsupported(
        self, worker: WorkerProcess
    ) -> None:
        worker.entry.update_status = 404
        await worker.entry.wait_for_announcements(4)
        assert len(worker.entry.updates) == 1

    async def test_serves_only_services_that_run_on_it(
        self, worker: WorkerProcess
    ) -> None:
        await worker.entry.wait_for_announcements(2)
        response = await worker.post("/v1/services/c/s", b"hello")
        assert json.loads(response.content) == {
            "request_id": "r1",
            "server": "w1",
            "echo": "hello",
        }
        response = await worker.post("/v1/services/c/other", b"hello")
        assert response.status == 503
        assert (b"turmerichall-not-run", b"true") in response.headers

    @pytest.mark.parametrize(
        ("fault", "status"),
        [({"error": True}, 500), ({"wrong_request_id": True}, 200)],
    )
    async def test_faults(
        self, worker: WorkerProcess, fault: dict[str, bool], status: int
    ) -> None:
        await worker.entry.wait_for_announcements(2)
        await worker.post("/v1/faults", json.dumps(fault).encode())
        response = await worker.post("/v1/services/c/s", b"hello")
        assert response.status == status
        if status == 200:
            assert json.loads(response.content)["request_id"] == "wrong-id"

    async def test_truncated_response(self, worker: WorkerProcess) -> None:
        await worker.entry.wait_for_announcements(2)
        await worker.post("/v1/faults", b'{"truncate": true}')
        with pytest.raises(httpcore.RemoteProtocolError):
            await worker.post("/v1/services/c/s", b"hello")

    @pytest.mark.parametrize("path", ["/v1/tasks", "/v1/faults"])
    async def test_wrong_key(self, worker: WorkerProcess, path: str) -> None:
        response = await worker.post(path, b"[]", key="other")
        assert response.status == 401

    async def test_refuses_commands_with_a_reason(
        self, worker: WorkerProcess
    ) -> None:
        await worker.entry.wait_for_announcements(2)
        command = SERVICE._replace(epoch=0)
        response = await worker.post("/v1/tasks", documents.encode([command]))
        (result,) = json.loads(response.content)
        assert not result["accepted"]
        assert result["detail"].startswith("stale_epoch: ")

    async def test_leaves_on_sigterm(self, worker: WorkerProcess) -> None:
        await worker.entry.wait_for_announcements(2)
        worker.process.send_signal(signal.SIGTERM)
        with trio.fail_after(TIMEOUT_SECONDS):
            while worker.process.poll() is None:
                await trio.sleep(0.05)
        assert worker.process.returncode == 0
        assert worker.entry.announcements[-1].leaving
        events = [
            record.event for record in audit_trail.read(worker.trail_path)
        ]
        assert events[-3:] == ["task_end", "acknowledged", "worker_end"]
