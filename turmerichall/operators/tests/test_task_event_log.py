"""Tests that the events of a job's tasks are in the log, with the job's id."""

from collections.abc import Iterator
import io
import json
import time

import pytest

from turmerichall import resources
from turmerichall.customers import customer
from turmerichall.operators import task_event_log
from turmerichall.state import change as changes
from turmerichall.state import machine
from turmerichall.telemetry import counters
from turmerichall.telemetry import logs
from turmerichall.templates import template


@pytest.fixture(name="stream")
def _stream() -> Iterator[io.StringIO]:
    # The first configured stream also gets the lines that were logged before
    # any was configured.
    logs.configure(stream=io.StringIO())
    stream = io.StringIO()
    logs.configure(stream=stream)
    yield stream
    logs.configure(stream=io.StringIO())


def _apply_job_changes(holder: str, wall_seconds: float) -> counters.Counters:
    """Apply the changes of a job of two tasks to a state that i1 watches.

    Args:
        holder: Instance that is the authority of the zone.
        wall_seconds: When the changes were made, Unix time.

    Returns:
        The metrics of i1.
    """
    state_machine = machine.StateMachine()
    metrics = counters.Counters()
    task_event_log.TaskEventLog(state_machine, lambda: "i1", metrics)
    operation = changes.Operation
    size = resources.Resources(1, 1)
    batch_template = template.Template("r", template.Kind.BATCH, size)
    owner = customer.Customer("c", "t", customer.Urgency.NORMAL, ("z1",), {})
    starts = [changes.Start(f"j1/{n}", 1, "w1", 1) for n in (0, 1, 7)]
    evictions = [changes.Eviction("j1/0", 1, "noisy")]
    notes = [changes.Note("j1/0", "waits", "no_capacity: no worker has room")]
    ends = [changes.End("j1/1", 1, changes.Ending.FAILED, reason="broke")]
    all_changes: list[changes.Change] = [
        changes.PublishTemplate(operation("1", "a", 1.0), 0, batch_template),
        changes.SetCustomer(operation("2", "a", 1.0), 0, owner),
        changes.AcceptJob(operation("3", "a", 1.0), "j1", "c", "r", 2, 9.0),
        changes.TakeGrant("z1", holder, 0, 0),
        changes.RecordDecisions("z1", 1, wall_seconds, notes),
        changes.StartTasks("z1", 1, wall_seconds, starts),
        changes.StartTasks("z1", 0, wall_seconds, starts),
        changes.EvictTasks("z1", 1, wall_seconds, evictions),
        changes.EndTasks("z1", 1, wall_seconds, ends),
    ]
    for index, change in enumerate(all_changes, 1):
        state_machine.apply(index, changes.encode(change))
    return metrics


class TestTaskEventLog:

    def test_each_event_is_logged_once(self, stream: io.StringIO) -> None:
        metrics = _apply_job_changes("i1", time.time())
        assert metrics.event_count("tasks_started") == 2
        assert metrics.event_count("tasks_failed") == 1
        assert metrics.count_of("refusals", "placement", "no_capacity") == 1
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert {line["job_id"] for line in lines} == {"j1"}
        assert [(line["message"], line["task"]) for line in lines] == [
            ("jobs: task started", "j1/0"),
            ("jobs: task started", "j1/1"),
            ("jobs: task is being evicted", "j1/0"),
            ("jobs: task ended", "j1/1"),
        ]

    @pytest.mark.parametrize(
        ("holder", "age_seconds"), [("i2", 0.0), ("i1", 100.0)]
    )
    def test_events_of_other_authorities_and_old_ones_are_not_logged(
        self, stream: io.StringIO, holder: str, age_seconds: float
    ) -> None:
        metrics = _apply_job_changes(holder, time.time() - age_seconds)
        assert not stream.getvalue()
        assert not metrics.event_count("tasks_started")
