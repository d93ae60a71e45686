"""Tests of the log lines on a leader's decisions."""

import json

from turmerichall.dispatch import reports
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

# Readers of a process's output cut lines at this length.
MAX_LINE_BYTES = 8192


class TestStarts:

    def test_lines_of_a_large_round_stay_whole(self) -> None:
        log = fakes.RecordingLog()
        rows = [
            changes.StartedRun(
                changes.TaskName("5c0e7a21d94b36f8", 0, 1, index),
                12,
                "i-7f3a91c2aa",
            )
            for index in range(450)
        ]
        reports.log_starts(log, rows)
        lines = [json.dumps(fields) for _, fields in log.lines]
        assert max(map(len, lines)) < MAX_LINE_BYTES - 1000
        logged = [
            start
            for _, fields in log.lines
            for start in fields["starts"]  # type: ignore[attr-defined]
        ]
        assert logged == [f"{row.task}/{row.run}@{row.worker}" for row in rows]


class TestRemovedWorkers:

    def test_the_line_tells_which_runs_were_lost_and_their_age(self) -> None:
        log = fakes.RecordingLog()
        record = fakes.FakeWorker("w1").record
        worker = worker_state.Worker(
            record, fakes.OtherWorker(worker_client.Verdict.UNSENT), 0.0
        )
        for index in range(2):
            run = run_state.Run(
                changes.TaskName("5c0e", 0, 0, index),
                3,
                demands.StepDemand(2),
                "batch",
            )
            worker.add(run)
        run.confirmed_at = 9.5
        worker.record_contact()
        worker.record_silence(10.0, was_abrupt=True)
        reports.log_removed(log, worker, "crashed", 13.0)
        removed, lost = (fields for _, fields in log.lines)
        assert removed["reason"] == "crashed"
        assert removed["silent_seconds"] == 3.0
        assert lost["runs"] == ["5c0e.0.0.0/3 planned", "5c0e.0.0.1/3 0.500s"]
