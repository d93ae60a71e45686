"""Contract tests of the stand-in worker as a process."""

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
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import updates
from turmerichall.leases import lease
from turmerichall.tests.standins import audit_trail

PATIENCE_SECONDS = 30.0
KEY = "key-of-the-worker"
SERVICE = announcement.Command(
    announcement.CommandKind.START,
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


class Entry:
    """A fake entry instance: takes announcements, starts one service."""

    def __init__(self) -> None:
        self.heard: list[announcement.Announcement] = []
        self.updates: list[updates.Update] = []
        self.update_status = 200
        self.address = ""

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
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
            told = documents.decode(body, announcement.Announcement)
            answer = documents.encode(self.reply(told))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-length", str(len(answer)).encode())],
            }
        )
        await send({"type": "http.response.body", "body": answer})

    def update(self, body: bytes) -> updates.UpdateReply:
        """Takes an update if it is based on what was heard last."""
        update = documents.decode(body, updates.Update)
        self.updates.append(update)
        if update.base != self.heard[-1].sequence or self.update_status != 200:
            reply = announcement.Reply(False)
            return updates.UpdateReply(reply, whole="base_mismatch")
        told = updates.apply_update(self.heard[-1], update)
        assert told is not None
        return updates.compact_reply(told, update, self.reply(told))

    def reply(self, told: announcement.Announcement) -> announcement.Reply:
        """Renews and acknowledges all, and starts the service once."""
        self.heard.append(told)
        names = tuple(
            announcement.attempt_name(report.task_id, report.attempt)
            for report in told.tasks
        )
        start = SERVICE._replace(
            incarnation=told.incarnation, anchor=told.sequence
        )
        return announcement.Reply(
            True,
            epoch=1,
            renewed=names,
            acknowledged=names,
            lease_seconds=lease.LEASE_SECONDS,
            commands=() if told.leaving else (start,),
        )

    async def wait_heard(self, count: int) -> None:
        """Waits until so many announcements came in."""
        with trio.fail_after(PATIENCE_SECONDS):
            while len(self.heard) < count:
                await trio.sleep(0.02)


class Started:
    """A started stand-in worker and its fake entry instance."""

    def __init__(
        self, entry: Entry, process: subprocess.Popen[bytes], path: pathlib.Path
    ):
        assert process.stdout is not None
        self.entry = entry
        self.process = process
        self.path = path
        self.address: str = json.loads(process.stdout.readline())["address"]

    async def post(
        self, path: str, content: bytes, key: str = KEY
    ) -> httpcore.Response:
        """Posts to the worker."""
        headers = [
            ("Authorization", f"Bearer {key}"),
            ("Turmerichall-Request-Id", "r1"),
        ]
        with trio.fail_after(PATIENCE_SECONDS):
            async with httpcore.AsyncConnectionPool() as pool:
                return await pool.request(
                    "POST",
                    f"http://{self.address}{path}",
                    headers=headers,
                    content=content,
                )


@pytest.fixture(name="started")
async def _started(
    nursery: trio.Nursery, tmp_path: pathlib.Path
) -> AsyncIterator[Started]:
    entry = Entry()
    (bound,) = await nursery.start(entry.run)
    entry.address = bound.removeprefix("http://")
    path = tmp_path / "w.trail"
    command = [sys.executable, "-m", "turmerichall.tests.standins.worker"]
    command += ["--name", "w1", "--zone", "z1", "--rack", "r1", "--key", KEY]
    command += ["--entries", f"127.0.0.1:1,{entry.address}"]
    command += ["--ledger", str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        yield Started(entry, process, path)
        process.kill()


class TestWorker:
    """The worker's side of the interface with backend servers."""

    async def test_announces_to_the_entry_that_answers(
        self, started: Started
    ) -> None:
        await started.entry.wait_heard(2)
        first, second = started.entry.heard[:2]
        assert first.address == started.address
        assert second.sequence > first.sequence
        (report,) = second.tasks
        assert report.state == announcement.ReportedState.RUNNING

    async def test_sends_updates_and_a_whole_one_when_asked(
        self, started: Started
    ) -> None:
        entry = started.entry
        await entry.wait_heard(3)
        assert entry.updates[-1].sequence == entry.heard[-1].sequence
        entry.heard[-1] = entry.heard[-1]._replace(sequence=0)
        heard = len(entry.heard)
        await entry.wait_heard(heard + 1)
        whole = entry.heard[heard].sequence
        sequences = [update.sequence for update in entry.updates]
        assert whole not in sequences and whole - 1 in sequences

    async def test_announces_whole_where_updates_are_not_known(
        self, started: Started
    ) -> None:
        started.entry.update_status = 404
        await started.entry.wait_heard(4)
        assert len(started.entry.updates) == 1

    async def test_serves_what_runs_there(self, started: Started) -> None:
        await started.entry.wait_heard(2)
        response = await started.post("/v1/services/c/s", b"hello")
        assert json.loads(response.content) == {
            "request_id": "r1",
            "server": "w1",
            "echo": "hello",
        }
        response = await started.post("/v1/services/c/other", b"hello")
        assert response.status == 503
        assert (b"turmerichall-not-run", b"true") in response.headers

    @pytest.mark.parametrize(
        ("fault", "status"),
        [({"error": True}, 500), ({"wrong_request_id": True}, 200)],
    )
    async def test_faults(
        self, started: Started, fault: dict[str, bool], status: int
    ) -> None:
        await started.entry.wait_heard(2)
        await started.post("/v1/faults", json.dumps(fault).encode())
        response = await started.post("/v1/services/c/s", b"hello")
        assert response.status == status
        if status == 200:
            assert json.loads(response.content)["request_id"] == "wrong-id"

    async def test_truncated_answer_is_cut(self, started: Started) -> None:
        await started.entry.wait_heard(2)
        await started.post("/v1/faults", b'{"truncate": true}')
        with pytest.raises(httpcore.RemoteProtocolError):
            await started.post("/v1/services/c/s", b"hello")

    @pytest.mark.parametrize("path", ["/v1/tasks", "/v1/faults"])
    async def test_wrong_key(self, started: Started, path: str) -> None:
        response = await started.post(path, b"[]", key="other")
        assert response.status == 401

    async def test_refuses_tasks_with_a_reason(self, started: Started) -> None:
        await started.entry.wait_heard(2)
        command = SERVICE._replace(epoch=0)
        response = await started.post("/v1/tasks", documents.encode([command]))
        (answer,) = json.loads(response.content)
        assert not answer["accepted"]
        assert answer["detail"].startswith("stale_epoch: ")

    async def test_leaves_on_sigterm(self, started: Started) -> None:
        await started.entry.wait_heard(2)
        started.process.send_signal(signal.SIGTERM)
        with trio.fail_after(PATIENCE_SECONDS):
            while started.process.poll() is None:
                await trio.sleep(0.05)
        assert started.process.returncode == 0
        assert started.entry.heard[-1].leaving
        events = [record.event for record in audit_trail.read(started.path)]
        assert events[-3:] == ["task_end", "acknowledged", "worker_end"]
