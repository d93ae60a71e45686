"""Tests of two releases side by side, and of the way back."""

from collections.abc import Iterable
import types
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from turmerichall import errors
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch.releases import raising
from turmerichall.dispatch.releases import release_watch
from turmerichall.dispatch.releases import requests
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.http1 import message
from turmerichall.peers import envelope
from turmerichall.peers import handshake
from turmerichall.queues import change as changes
from turmerichall.queues import forgetting
from turmerichall.queues import job as job_records
from turmerichall.queues import levels
from turmerichall.queues import state as states
from turmerichall.supervision import reporter as reporters
from turmerichall.telemetry import lightweight_metrics

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

LATEST = levels.LATEST
AFTER_SECONDS = 100.0
KEY = b"key"


class _Site:
    """A leader with two other replicas, whose releases the test chooses.

    Attributes:
        cluster: The leader.
        connected: Levels that the connected replicas read, by name.
        watch: The watch under test.
    """

    def __init__(self, after_seconds: float = AFTER_SECONDS):
        self.cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        self.connected = {"b": LATEST, "c": LATEST}
        self.names: Iterable[str] = ("a", "b", "c")
        self.watch = release_watch.ReleaseWatch(
            lambda: self.cluster.leader_api.leadership,
            release_watch.Options(
                "a", lambda: self.names, lambda: self.connected, after_seconds
            ),
            reporters.FailureReporter(
                self.cluster.log, lightweight_metrics.MetricsRegistry()
            ),
        )

    @property
    def level(self) -> int:
        """The level in force."""
        return self.cluster.queue_state.level

    async def watch_for(self, seconds: float) -> None:
        """Let the watch run for a time on the mocked clock."""
        until = leases.steady_seconds() + seconds
        while leases.steady_seconds() < until:
            await self.watch.check(leases.steady_seconds())
            await trio.sleep(1.0)

    async def ask(self, method: str, target: str) -> message.Response:
        """Send an operator's request."""
        response = await requests.handle(
            self.watch, message.Request(method, target, {})
        )
        assert isinstance(response, message.Response)
        return response


class TestRaising:

    # A change that a replica of an earlier release could not read was logged,
    # and ended its process at each start.
    async def test_level_waits_for_every_replica(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        site = _Site()
        site.connected["c"] = 1

        async def script() -> None:
            await site.watch_for(3 * AFTER_SECONDS)
            assert site.level == 1
            site.connected["c"] = LATEST
            await site.watch_for(AFTER_SECONDS - 5.0)
            assert site.level == 1
            await site.watch_for(10.0)
            assert site.level == LATEST

        await test_leadership.run_script(site.cluster, script)

    async def test_a_replica_that_is_away_counts_with_what_it_read(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        site = _Site()

        async def script() -> None:
            await site.watch_for(5.0)
            del site.connected["c"]
            await site.watch_for(AFTER_SECONDS)
            assert site.level == LATEST

        await test_leadership.run_script(site.cluster, script)

    async def test_a_replica_that_was_never_seen_holds_the_level_back(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        site = _Site()
        del site.connected["c"]

        async def script() -> None:
            await site.watch_for(3 * AFTER_SECONDS)
            assert site.level == 0
            response = await site.ask("POST", "/release/finalize")
            assert response.status == 409
            status = msgspec.json.decode(response.body)
            assert status["held_back_by"] == [
                "c: has not been connected to this leader"
            ]

        await test_leadership.run_script(site.cluster, script)

    async def test_operators_may_finalize_at_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        site = _Site(float("inf"))

        async def script() -> None:
            await site.watch_for(3 * AFTER_SECONDS)
            assert site.level == 0
            response = await site.ask("POST", "/release/finalize")
            assert response.status == 200
            assert site.level == LATEST
            status = await site.ask("GET", "/release")
            assert msgspec.json.decode(status.body)["in_force"] == LATEST

        await test_leadership.run_script(site.cluster, script)

    async def test_an_empty_cluster_begins_with_the_latest_level(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        site = _Site()
        site.cluster.queue_state.configuration = fakes.CONFIGURATION._replace(
            version=0
        )

        async def script() -> None:
            await site.watch_for(2.0)
            assert site.level == LATEST

        await test_leadership.run_script(site.cluster, script)

    def test_a_former_replica_counts_for_an_hour(self) -> None:
        known = raising.MemberLevels("a", 2)
        known.observe(("a", "b"), {"b": 1}, 0.0)
        known.observe(("a",), {}, raising.FORMER_MEMBER_SECONDS - 1)
        assert raising.find_holds(known.members, 2)
        known.observe(("a",), {}, raising.FORMER_MEMBER_SECONDS + 1)
        assert not raising.find_holds(known.members, 2)


class TestState:

    def test_level_survives_a_snapshot(self) -> None:
        state = states.QueueState()
        state.apply(1, changes.encode(levels.RaiseLevel(LATEST)))
        restored = states.QueueState()
        restored.restore(state.snapshot())
        assert restored.level == LATEST

    # The release before this one wrote such changes without a level.
    def test_records_that_left_show_the_level(self) -> None:
        state = states.QueueState()
        state.apply(1, changes.encode(forgetting.Forget()))
        assert state.level == levels.FORGETTING

    def test_a_level_that_is_too_new_is_refused(self) -> None:
        state = states.QueueState()
        change = changes.encode(levels.RaiseLevel(LATEST + 1))
        with pytest.raises(errors.ReleaseError, match=f"level {LATEST + 1}"):
            state.apply(1, change)


class TestTable:
    """Whatever is written names the level that brought it."""

    # Number of fields of the records at level 0; later ones come after them.
    FIELDS = {
        states._Snapshot: 12,  # pylint: disable=protected-access
        job_records.Job: 8,
        job_records.StepProgress: 2,
        job_records.TaskRecord: 8,
        forgetting.Forget: 4,
    }

    def test_every_kind_of_change(self) -> None:
        known = {name for names in levels.LEVELS.values() for name in names}
        kinds = changes.Change.__args__
        assert {kind.__name__ for kind in kinds} <= known
        assert handshake.CHANGES_LEVEL == LATEST == max(levels.LEVELS)

    @pytest.mark.parametrize("record", FIELDS)
    def test_every_later_field(self, record: type[msgspec.Struct]) -> None:
        known = {name for names in levels.LEVELS.values() for name in names}
        fields = msgspec.structs.fields(record)[self.FIELDS[record] :]
        for field in fields:
            assert f"{record.__name__}.{field.name}" in known
            # An earlier release leaves it out.
            assert not field.required


class TestEarlierRelease:
    """What this release writes below its own level, read as by level 0."""

    @staticmethod
    def earlier(
        record: type[msgspec.Struct], replaced: dict[str, object]
    ) -> type[msgspec.Struct]:
        """Return a record without the fields of later levels.

        Args:
            record: The record of this release.
            replaced: Types of fields that hold such records.
        """
        fields: list[tuple[str, object, object]] = []
        for field in msgspec.structs.fields(record)[: TestTable.FIELDS[record]]:
            kind = replaced.get(field.name, field.type)
            fields.append((field.name, kind, msgspec.field(default=None)))
        return msgspec.defstruct(record.__name__, fields, array_like=True)

    # Fields were added between two releases, and the earlier one could not
    # load the snapshot.
    def test_it_loads_a_snapshot(self) -> None:
        state = states.QueueState()
        demand = test_leadership.demand(2, gang=True)
        task = changes.TaskName("j", 0, 0, 0)
        for change in (
            changes.SetConfiguration(fakes.CONFIGURATION, b"{}"),
            changes.RegisterWorker(fakes.FakeWorker("w1").record),
            changes.AcceptJob("j", fakes.QUEUE.key, demand, 0),
            changes.StartRuns((changes.StartedRun(task, 1, "w1"),)),
            changes.EndRuns(
                (changes.EndedRun(task, 1, changes.Ending.FAILED, "c"),)
            ),
            changes.CancelJob("unknown"),
        ):
            state.apply(1, changes.encode(change))
        step = self.earlier(job_records.StepProgress, {})
        steps = types.GenericAlias(list, (step,))
        job = self.earlier(
            job_records.Job,
            {"occurrences": types.GenericAlias(dict, (int, steps))},
        )
        snapshot = self.earlier(
            states._Snapshot,  # pylint: disable=protected-access
            {"jobs": types.GenericAlias(dict, (str, job))},
        )
        loaded: Any = msgspec.msgpack.decode(state.snapshot(), type=snapshot)
        assert loaded.configuration == fakes.CONFIGURATION
        tasks = loaded.jobs["j"].occurrences[0][0].tasks
        assert tasks[0].failures == 1 and tasks[0].checkpoint == "c"


class TestConnections:

    # A replica of an earlier release got changes that ended its process.
    @pytest.mark.parametrize(
        ("reads", "in_force", "address", "refused"),
        [
            (0, 0, "10.0.0.1:1", False),
            (0, 1, "10.0.0.1:1", True),
            (1, 2, "10.0.0.1:1", True),
            (2, 2, "10.0.0.1:1", False),
            (0, 2, "", False),
        ],
    )
    def test_a_replica_that_can_not_read_the_level_is_refused(
        self, reads: int, in_force: int, address: str, refused: bool
    ) -> None:
        connection = envelope.Connection(trio.testing.memory_stream_pair()[0])
        connection.peer_changes_level = reads
        if not refused:
            handshake.check_level(connection, address, in_force)
            return
        with pytest.raises(errors.PeerError, match=f"level {in_force} is in"):
            handshake.check_level(connection, address, in_force)
