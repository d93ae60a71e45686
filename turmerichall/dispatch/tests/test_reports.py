"""Tests of the log lines on a leader's decisions."""

import json

from turmerichall.dispatch import reports
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes

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
