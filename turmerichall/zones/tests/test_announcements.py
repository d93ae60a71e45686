"""Tests of updates to announcements, and of requests for full ones."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import updates
from turmerichall.benchmarks import synthetic_state
from turmerichall.state import change as changes

FINISHED = announcement.ReportedState.FINISHED


class _Worker:
    """A worker with tasks, and the authority that it announces itself to."""

    def __init__(self) -> None:
        self.zone = synthetic_state.populated_zone()
        self.receiver = synthetic_state.announcement_handler(self.zone)
        self.update_builder = updates.UpdateBuilder()
        self.announcement = synthetic_state.make_announcement(0, 1)

    def next_update(self) -> updates.Update:
        """Return the next update, without sending it."""
        self.announcement = self.announcement._replace(
            sequence=self.announcement.sequence + 1
        )
        update = self.update_builder.build(
            self.announcement, trio.current_time()
        )
        assert update is not None
        return update

    async def update(self) -> updates.UpdateReply:
        """Send an update, and apply its answer if it was accepted."""
        update = self.next_update()
        answer = await self.receiver.update(update)
        if answer.reply.accepted:
            self.update_builder.record_accepted(
                self.announcement, update, trio.current_time()
            )
        return answer

    async def send_full_announcement(self) -> announcement.Reply:
        """Send a full announcement, which must be accepted."""
        self.announcement = self.announcement._replace(
            sequence=self.announcement.sequence + 1
        )
        reply = await self.receiver.announce(self.announcement)
        assert reply.accepted
        self.update_builder.record_accepted(
            self.announcement, None, trio.current_time()
        )
        return reply

    def report(self, **changed: object) -> None:
        """Change fields in the report of the first task."""
        first, *others = self.announcement.tasks
        changed_report = first._replace(**changed)  # type: ignore[arg-type]
        self.announcement = self.announcement._replace(
            tasks=(changed_report, *others)
        )

    def measured_at(self) -> float:
        """Return the planner's time of the first task's last measurement."""
        epoch_state = self.zone.scheduler.epoch_state
        assert epoch_state is not None
        fleet = epoch_state.feed.planner.fleet
        allocation = fleet.allocation(
            self.announcement.tasks[0].task_id, self.announcement.name
        )
        assert allocation is not None
        return allocation.measured_at

    def known(self) -> announcement.Announcement:
        """Return the receiver's copy of the worker's announcement."""
        directory = self.receiver.dissemination.directory
        return directory.entries[self.announcement.name].announcement


@pytest.fixture(name="worker")
async def _worker() -> _Worker:
    created = _Worker()
    await created.send_full_announcement()
    return created


async def _lost_reply(worker: _Worker) -> updates.UpdateReply:
    await worker.receiver.update(worker.next_update())
    return await worker.update()


async def _reordered(worker: _Worker) -> updates.UpdateReply:
    late = worker.next_update()
    await worker.update()
    return await worker.receiver.update(late)


async def _duplicate(worker: _Worker) -> updates.UpdateReply:
    update = worker.next_update()
    assert (await worker.receiver.update(update)).reply.accepted
    return await worker.receiver.update(update)


async def _daemon_restarted(worker: _Worker) -> updates.UpdateReply:
    worker.receiver = synthetic_state.announcement_handler(worker.zone)
    return await worker.update()


async def _heard_elsewhere(worker: _Worker) -> updates.UpdateReply:
    directory = worker.receiver.dissemination.directory
    entry = directory.entries[worker.announcement.name]
    directory.entries[worker.announcement.name] = entry._replace(via="entry-02")
    return await worker.update()


async def _authority_changed(worker: _Worker) -> updates.UpdateReply:
    holder = worker.zone.scheduler.holder
    holder.observe()
    assert await holder.acquire()
    return await worker.update()


async def _worker_restarted(worker: _Worker) -> updates.UpdateReply:
    late = worker.next_update()
    restarted = worker.announcement._replace(
        incarnation=worker.announcement.incarnation + 1, sequence=late.base
    )
    assert (await worker.receiver.announce(restarted)).accepted
    return await worker.receiver.update(late)


async def _digest_differs(worker: _Worker) -> updates.UpdateReply:
    worker.announcement = worker.announcement._replace(
        tasks=worker.announcement.tasks[1:]
    )
    return await worker.receiver.update(worker.next_update()._replace(gone=()))


_REASONS = outcomes.RetryReason
_CASES = [
    (_lost_reply, _REASONS.BASE_MISMATCH),
    (_reordered, _REASONS.BASE_MISMATCH),
    (_duplicate, _REASONS.BASE_MISMATCH),
    (_daemon_restarted, _REASONS.UNKNOWN_BASE),
    (_heard_elsewhere, _REASONS.UNKNOWN_BASE),
    (_authority_changed, _REASONS.NEW_AUTHORITY),
    (_worker_restarted, _REASONS.DIGEST_MISMATCH),
    (_digest_differs, _REASONS.DIGEST_MISMATCH),
]


class TestFullAnnouncementRequested:

    @pytest.mark.parametrize(("fault", "reason"), _CASES)
    async def test_no_lease_is_renewed_before_the_full_announcement(
        self,
        worker: _Worker,
        autojump_clock: trio.testing.MockClock,
        fault: Callable[[_Worker], Awaitable[updates.UpdateReply]],
        reason: outcomes.RetryReason,
    ) -> None:
        answer = await fault(worker)
        assert answer.whole == reason
        assert not answer.reply.accepted
        assert not answer.renewed and not answer.reply.renewed
        if fault is not _worker_restarted:
            reply = await worker.send_full_announcement()
            assert len(reply.renewed) == len(worker.announcement.tasks)
            assert (await worker.update()).renewed


class TestUpdate:

    async def test_update_without_changes_renews_every_lease(
        self, worker: _Worker, autojump_clock: trio.testing.MockClock
    ) -> None:
        update = worker.next_update()
        assert not update.tasks and not update.gone
        answer = await worker.receiver.update(update)
        names = updates.expand_reply(worker.announcement, answer).renewed
        assert len(names) == len(worker.announcement.tasks)
        other = worker.announcement._replace(
            tasks=worker.announcement.tasks[1:]
        )
        assert not updates.expand_reply(other, answer).renewed

    async def test_change_in_a_lost_request_is_sent_again(
        self, worker: _Worker, autojump_clock: trio.testing.MockClock
    ) -> None:
        worker.report(state=FINISHED)
        worker.next_update()
        assert not (await worker.update()).whole
        assert worker.known() == worker.announcement
        await worker.zone.scheduler.step()
        answer = await worker.update()
        (ended,) = answer.reply.acknowledged
        worker.announcement = worker.announcement._replace(
            tasks=worker.announcement.tasks[1:]
        )
        assert worker.next_update().gone == (ended,)
        assert (await worker.update()).renewed
        assert worker.known() == worker.announcement

    async def test_attempt_that_is_not_current_is_stopped_not_renewed(
        self, worker: _Worker, autojump_clock: trio.testing.MockClock
    ) -> None:
        name = worker.announcement.tasks[0].task_id
        end = changes.End(name, 1, changes.Ending.LOST)
        change = changes.EndTasks(synthetic_state.ZONE, 1, 1.0, [end])
        synthetic_state.ImmediateLog(worker.zone.machine).apply(change)
        answer = await worker.update()
        reply = updates.expand_reply(worker.announcement, answer)
        assert f"{name}#1" not in reply.renewed
        assert len(reply.renewed) == len(worker.announcement.tasks) - 1
        assert [command.task_id for command in reply.commands] == [name]

    async def test_other_changes_need_a_full_announcement(
        self, worker: _Worker, autojump_clock: trio.testing.MockClock
    ) -> None:
        for changed in ({"epoch": 2}, {"address": "h:2"}, {"leaving": True}):
            announced = worker.announcement._replace(**changed)
            assert worker.update_builder.build(announced, 0.0) is None

    async def test_receiver_without_updates_gets_full_announcements(
        self, worker: _Worker, autojump_clock: trio.testing.MockClock
    ) -> None:
        worker.update_builder.reset(full_only=True)
        assert await worker.send_full_announcement()
        assert worker.update_builder.build(worker.announcement, 0.0) is None


class TestMeasurements:

    @pytest.mark.parametrize(
        ("changed", "seconds", "sent"),
        [
            ({"slowdown": 1.27}, 2, False),
            ({"slowdown": 1.29}, 2, True),
            ({"usage": resources.Resources(2.5, 8300)}, 2, False),
            ({"usage": resources.Resources(2.7, 8000)}, 2, True),
            ({"usage": resources.Resources(2.0, 8500)}, 2, True),
            ({"usage": resources.Resources(2.0, 8000, 1)}, 2, True),
            ({"measured_seconds_ago": 3.5}, 99, False),
            ({"checkpoint": "0.43"}, updates.REPORT_PERIOD_SECONDS - 1, False),
            ({"checkpoint": "0.43"}, updates.REPORT_PERIOD_SECONDS, True),
            ({}, 10 * updates.REPORT_PERIOD_SECONDS, False),
        ],
    )
    async def test_is_sent_if_it_moved_or_after_a_period(
        self,
        worker: _Worker,
        autojump_clock: trio.testing.MockClock,
        changed: dict[str, object],
        seconds: float,
        sent: bool,
    ) -> None:
        await worker.update()
        await trio.sleep(seconds)
        worker.report(**changed)
        assert len(worker.next_update().tasks) == sent

    async def test_small_changes_accumulate(
        self, worker: _Worker, autojump_clock: trio.testing.MockClock
    ) -> None:
        for _ in range(2):
            first = worker.announcement.tasks[0]
            worker.report(slowdown=first.slowdown + 0.15)
            await worker.update()
        slowdown = worker.announcement.tasks[0].slowdown
        assert worker.known().tasks[0].slowdown == slowdown

    @pytest.mark.parametrize(
        ("aged", "others_aged", "measured"),
        [(10.0, 10.0, False), (1.0, 1.0, True), (1.0, 10.0, False)],
    )
    async def test_unmoved_task_counts_as_measured_if_all_tasks_were(
        self,
        worker: _Worker,
        autojump_clock: trio.testing.MockClock,
        aged: float,
        others_aged: float,
        measured: bool,
    ) -> None:
        before = worker.measured_at()
        await trio.sleep(8.5)
        tasks = tuple(
            report._replace(measured_seconds_ago=others_aged)
            for report in worker.announcement.tasks
        )
        worker.announcement = worker.announcement._replace(tasks=tasks)
        worker.report(measured_seconds_ago=aged)
        update_not_sent = worker.next_update()
        assert (update_not_sent.measured_seconds_ago is not None) == measured
        await worker.update()
        await worker.update()
        again = trio.current_time() - 1.0
        assert worker.measured_at() == (again if measured else before)
