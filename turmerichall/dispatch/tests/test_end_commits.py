"""Tests of the commits of the ends of runs."""

import trio
import trio.testing

from turmerichall.dispatch import end_commits
from turmerichall.queues import change as changes
from turmerichall.queues import state as states


def _row(number: int) -> changes.EndedRun:
    task = changes.TaskName("a" * 16, 0, 0, number)
    return changes.EndedRun(task, 1, changes.Ending.DONE, "")


class _Commits:
    """Records changes, each of which takes a second to commit."""

    def __init__(self) -> None:
        self.sizes: list[int] = []
        self.ends = end_commits.EndCommits(states.QueueState(), self.commit)

    async def commit(self, change: changes.Change) -> None:
        """Commit a change."""
        assert isinstance(change, changes.EndRuns)
        await trio.sleep(1.0)
        self.sizes.append(len(change.rows))


class TestEndCommits:

    async def test_ends_that_arrive_during_a_commit_share_the_next(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        """An entry for each end keeps the leader's processor busy."""
        commits = _Commits()
        nursery.start_soon(commits.ends.run)
        async with trio.open_nursery() as sessions:
            sessions.start_soon(commits.ends.commit, [_row(0)])
            await trio.sleep(0.5)
            for number in range(1, 6):
                sessions.start_soon(commits.ends.commit, [_row(number)])
        assert commits.sizes == [1, 5]

    async def test_an_end_is_not_reported_before_its_own_commit(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        """A worker forgets an acknowledged end, which must be durable then."""
        commits = _Commits()
        nursery.start_soon(commits.ends.run)
        nursery.start_soon(commits.ends.commit, [_row(0)])
        await trio.sleep(0.5)
        began_at = trio.current_time()
        await commits.ends.commit([_row(1)])
        assert trio.current_time() - began_at >= 1.5
        assert commits.sizes == [1, 1]

    async def test_ends_of_a_cancelled_session_don_t_hold_up_others(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        """A worker may be removed while its ends are committed."""
        commits = _Commits()
        nursery.start_soon(commits.ends.run)
        with trio.move_on_after(0.5):
            await commits.ends.commit([_row(0)])
        with trio.fail_after(5.0):
            await commits.ends.commit([_row(1)])

    async def test_an_entry_stays_within_a_frame(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        """All workers may report all of their ends at once."""
        commits = _Commits()
        async with trio.open_nursery() as sessions:
            for _ in range(5):
                rows = [_row(number) for number in range(500)]
                sessions.start_soon(commits.ends.commit, rows)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(commits.ends.run)
        assert commits.sizes == [end_commits.MAX_ROWS, 500]
