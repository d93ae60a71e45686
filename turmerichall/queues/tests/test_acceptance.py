"""Tests that a change that is accepted for the log can be stored and used."""

from typing import cast

import pytest

from turmerichall import errors
from turmerichall.queues import acceptance
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

QUEUE = configurations.Queue("batch", "a.example", "/jobs/", "desk")
TASK = changes.TaskName("j1", 0, 0, 0)
WORKER = changes.WorkerRecord(
    "w1", "m1", "10.0.0.1:80", "desk", "z", "r1", ("a", "r1"), 8000, 9000, 0
)
CAPACITY = changes.Capacity(4000, 100, 0)
USABLE: tuple[changes.Change, ...] = (
    changes.SetConfiguration(
        configurations.Configuration(
            1, (QUEUE,), (configurations.Service("desk"),)
        ),
        b"{}",
    ),
    changes.RegisterWorker(WORKER),
    changes.ResizeWorker("w1", CAPACITY),
    changes.AcceptJob(
        "j1",
        QUEUE.key,
        demands.JobDemand("text", (demands.StepDemand(2, cpu=1000),)),
        5,
    ),
    changes.StartRuns((changes.StartedRun(TASK, 1, "w1"),)),
    changes.EndRuns((changes.EndedRun(TASK, 1, changes.Ending.DONE, "0bb8"),)),
    changes.NoteInterference({"a": {"b": 0.5}}, {"a": {"b": 1.0}}),
    changes.BeginEvacuation("z", 7),
    changes.EndEvacuation("z", 8),
    changes.DrainWorker("w1"),
    changes.ClearCrashes((TASK,)),
    changes.LoseWorker("w1", (TASK,)),
    changes.CancelJob("j1"),
)
BEYOND_THE_LOG = (
    changes.ResizeWorker("w1", CAPACITY._replace(cpu=2**64)),
    changes.RegisterWorker(WORKER._replace(born_ms=-(2**64))),
    changes.RegisterWorker(WORKER._replace(zone="\ud800")),
    # Encoded without an error, and then read back by no replica.
    changes.ResizeWorker("w1", CAPACITY._replace(cpu=cast(int, 1.5))),
    changes.RegisterWorker(WORKER._replace(machine=cast(str, None))),
)


class TestUsableChanges:

    def test_survive_log_state_and_snapshot(self) -> None:
        state = states.QueueState()
        for index, change in enumerate(USABLE):
            data = acceptance.encode(change)
            assert isinstance(data, bytes), change
            state.apply(index + 1, data)
            restored = states.QueueState()
            restored.restore(state.snapshot())
            assert restored.snapshot() == state.snapshot()


class TestChangesBeyondTheLog:

    @pytest.mark.parametrize("change", BEYOND_THE_LOG, ids=repr)
    def test_are_refused_before_they_are_appended(
        self, change: changes.Change
    ) -> None:
        assert isinstance(acceptance.encode(change), errors.Finding)

    def test_so_are_changes_that_are_too_large(self) -> None:
        change = changes.EndRuns(
            (changes.EndedRun(TASK, 1, changes.Ending.DONE, "a" * 2**24),)
        )
        finding = acceptance.encode(change)
        assert finding == errors.Finding("EndRuns", acceptance.TOO_LARGE)
