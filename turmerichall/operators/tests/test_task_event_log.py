"""Tests that a job can be followed in the log by its id."""

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
    # The first destination is given what was logged before there was any.
    logs.configure(stream=io.StringIO())
    stream = io.StringIO()
    logs.configure(stream=stream)
    yield stream
    logs.configure(stream=io.StringIO())


def _run(holder: str, wall_seconds: float) -> counters.Counters:
    """Runs a job of two tasks on a state that i1 watches."""
    made = machine.StateMachine()
    counted = counters.Counters()
    task_event_log.TaskEventLog(made, lambda: "i1", counted)
    operation = changes.Operation
    size = resources.Resources(1, 1)
    body = template.Template("r", template.Kind.BATCH, size)
    whom = customer.Customer("c", "t", customer.Urgency.NORMAL, ("z1",), {})
    starts = [changes.Start(f"j1/{n}", 1, "w1", 1) for n in (0, 1, 7)]
    evictions = [changes.Eviction("j1/0", 1, "noisy")]
    notes = [changes.Note("j1/0", "waits", "no_capacity: no worker has room")]
    ends = [changes.End("j1/1", 1, changes.Ending.FAILED, reason="broke")]
    applied: list[changes.Change] = [
        changes.PublishTemplate(operation("1", "a", 1.0), 0, body),
        changes.SetCustomer(operation("2", "a", 1.0), 0, whom),
        changes.AcceptJob(operation("3", "a", 1.0), "j1", "c", "r", 2, 9.0),
        changes.TakeGrant("z1", holder, 0, 0),
        changes.RecordDecisions("z1", 1, wall_seconds, notes),
        changes.StartTasks("z1", 1, wall_seconds, starts),
        changes.StartTasks("z1", 0, wall_seconds, starts),
        changes.EvictTasks("z1", 1, wall_seconds, evictions),
        changes.EndTasks("z1", 1, wall_seconds, ends),
    ]
    for index, change in enumerate(applied, 1):
        made.apply(index, changes.encode(change))
    return counted


class TestTaskEventLog:

    def test_each_step_is_logged_once(self, stream: io.StringIO) -> None:
        counted = _run("i1", time.time())
        assert counted.event_count("tasks_started") == 2
        assert counted.event_count("tasks_failed") == 1
        assert counted.count_of("refusals", "placement", "no_capacity") == 1
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
    def test_others_and_old_steps_are_left_out(
        self, stream: io.StringIO, holder: str, age_seconds: float
    ) -> None:
        counted = _run(holder, time.time() - age_seconds)
        assert not stream.getvalue()
        assert not counted.event_count("tasks_started")
