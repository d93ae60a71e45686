"""Tests of the daemon of a replica."""

import pathlib
import re
import types

import pytest
import trio

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.dispatch import replica_daemon
from turmerichall.http1 import message
from turmerichall.queues import change as changes
from turmerichall.queues import levels
from turmerichall.settings import queue_settings

HOST = "127.0.0.1"


@pytest.fixture(name="daemon")
def _daemon(tmp_path: pathlib.Path) -> replica_daemon.ReplicaDaemon:
    settings = queue_settings.QueueSettings(
        queue_settings.Instance("i1", "z1", "replica", str(tmp_path)),
        queue_settings.Listen(peers=f"{HOST}:0", control=f"{HOST}:0"),
        queue_settings.Replicas((HOST,), 1, "k"),
    )
    return replica_daemon.ReplicaDaemon.from_config(settings)


def _settings(limits: str) -> queue_settings.QueueSettings:
    text = (
        "[instance]\nname = i1\nzone = z1\nrole = replica\ndata_folder = /d\n"
        f"[listen]\npeers = {HOST}:1\ncontrol = {HOST}:2\n"
        f"[replicas]\nseeds = {HOST}\nport = 1\nkey = 0123456789abcdef\n"
    )
    return queue_settings.parse(text + limits, "q.ini")


class TestRemoval:

    # One dead replica stopped the removal of what has ended.
    def test_records_leave_while_a_replica_is_away(
        self, daemon: replica_daemon.ReplicaDaemon
    ) -> None:
        may_forget = daemon.leader_api.retention.may_forget
        assert not daemon.network.links
        assert not may_forget()
        daemon.queue_state.apply(
            1, changes.encode(levels.RaiseLevel(levels.LATEST))
        )
        assert may_forget()


class TestLimits:

    # The log filled a small disk, since nothing told the replica its size.
    @pytest.mark.parametrize(
        ("limits", "snapshot_bytes", "disk_bytes"),
        [
            ("", 16 * 1024**2, 0),
            ("[limits]\ndisk_mb =\nmemory_mb = 0\n", 16 * 1024**2, 0),
            ("[limits]\ndisk_mb = 64\n", 8_000_000, 64_000_000),
            ("[limits]\nmemory_mb = 80\n", 5_000_000, 0),
        ],
    )
    def test_bound_the_log(
        self, limits: str, snapshot_bytes: int, disk_bytes: int
    ) -> None:
        daemon = replica_daemon.ReplicaDaemon(_settings(limits))
        timing = daemon.replica.state.timing
        assert timing.snapshot_bytes == snapshot_bytes
        assert timing.disk_bytes == disk_bytes
        assert timing.retained_bytes == snapshot_bytes // 2
        assert timing.election_seconds == replica_daemon.TIMING.election_seconds


class TestMetrics:

    async def test_show_the_replica(
        self, daemon: replica_daemon.ReplicaDaemon
    ) -> None:
        text = daemon.metrics_registry.exposition().decode()
        names = re.findall(r"^turmerichall_replica_(\w+) ", text, re.MULTILINE)
        assert sorted(names) == [
            "applied_index",
            "commit_index",
            "disk_peak_bytes",
            "disk_pressure",
            "leader_work",
            "leads",
            "leads_current",
            "learners",
            "log_bytes",
            "losses_borne",
            "quorum_age_seconds",
            "snapshot_bytes",
            "stopped",
            "term",
            "voters",
        ]


class TestTermWatch:

    async def test_runs(
        self,
        daemon: replica_daemon.ReplicaDaemon,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        started = trio.Event()

        async def run() -> None:
            started.set()

        monkeypatch.setattr(daemon.term_watch, "run", run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run)
            with trio.fail_after(10):
                await started.wait()
            nursery.cancel_scope.cancel()


class TestForwarding:

    async def test_request_too_large_for_the_leader_gets_the_reason(
        self,
        daemon: replica_daemon.ReplicaDaemon,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        async def call(*_: object) -> outcomes.Refusal:
            return outcomes.Refusal(
                outcomes.RefusalReason.TOO_LARGE, "5 MB are too many"
            )

        monkeypatch.setattr(daemon.network, "call", call)
        daemon.replica.state.leader = "other"
        request = message.Request("POST", "/", {}, b"{}")
        # pylint: disable-next=protected-access
        answer = await daemon._answer(request)
        assert answer.status == 413
        assert b"5 MB are too many" in answer.body


class TestRelease:

    # A replica of an earlier release ends at a change that it does not know.
    @pytest.mark.parametrize("max_message_bytes", [0, 1000])
    async def test_revisions_need_recent_replicas(
        self, daemon: replica_daemon.ReplicaDaemon, max_message_bytes: int
    ) -> None:
        daemon.replica.state.observed_members = (
            member.Member(daemon.network.name, "1", ""),
            member.Member("other", "2", ""),
        )
        assert not daemon.leader_api.may_revise()
        link = types.SimpleNamespace(max_message_bytes=max_message_bytes)
        daemon.network.links["other"] = link  # type: ignore[assignment]
        assert daemon.leader_api.may_revise() == (max_message_bytes > 0)
