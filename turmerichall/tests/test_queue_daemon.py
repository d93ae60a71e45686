"""Tests of what a queue daemon says when it ends by an error."""

import json
import pathlib
from typing import Any

import pytest

from turmerichall import queue_daemon
from turmerichall.dispatch import replica_daemon
from turmerichall.supervision import failure as failures

SETTINGS = """
[instance]
name = core-1
zone = a
role = replica
data_folder = {folder}/data

[listen]
control = 127.0.0.1:0
peers = 127.0.0.1:0

[replicas]
seeds = 127.0.0.1
port = 1
key = a-key-of-the-tests

[logs]
file = {folder}/log
"""


class TestEndByError:

    def test_names_cause_place_and_object_at_the_end_and_the_next_start(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def run(_: replica_daemon.ReplicaDaemon) -> None:
            with failures.context("worker i-7f at 10.0.0..9:8080"):
                int("x")

        monkeypatch.setattr(replica_daemon.ReplicaDaemon, "run", run)
        (tmp_path / "data").mkdir()
        settings = tmp_path / "replica.ini"
        settings.write_text(SETTINGS.format(folder=tmp_path))
        for _ in range(2):
            status = queue_daemon.serve(str(settings))
            assert status == queue_daemon.EXIT_ERROR
        lines: list[dict[str, Any]] = [
            json.loads(line)
            for line in (tmp_path / "log").read_text().splitlines()
        ]
        ended = [each for each in lines if "ended by an error" in str(each)]
        assert [each["message"] for each in ended] == [
            "daemon: ended by an error",
            "daemon: the process before ended by an error",
            "daemon: ended by an error",
        ]
        assert ended[0]["cause"] == "ValueError"
        assert "test_queue_daemon.py" in ended[0]["place"]
        assert ended[0]["during"] == ["worker i-7f at 10.0.0..9:8080"]
        assert ended[1]["repeated"] == 1
