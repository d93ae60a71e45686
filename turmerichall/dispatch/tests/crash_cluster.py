"""Cluster of fake workers that crash and start again, for tests."""

from collections.abc import Awaitable, Callable

import trio

from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

__all__ = ["RESTART_SECONDS", "CrashCluster", "run_script"]

# Time from the crash of a worker until it has started again.
RESTART_SECONDS = 3.0


class CrashCluster(fakes.FakeCluster):
    """A cluster whose workers start again after a crash, under another id.

    Attributes:
        deadly_tasks: Tasks that crash each worker that starts them.
        crashes: Time of each crash, with the runs that ended with it.
        gangs: Ids of jobs whose tasks end if one of them does.
        incarnations: All workers that there ever were.
    """

    def __init__(self, count: int, cpu: int = 8000):
        self.deadly_tasks: set[changes.TaskName] = set()
        self.crashes: list[tuple[float, list[changes.TaskName]]] = []
        self.gangs: set[str] = set()
        workers = [self._make(f"w{number}", cpu) for number in range(count)]
        self.incarnations = list(workers)
        super().__init__(*workers)

    def _make(self, worker_id: str, cpu: int) -> fakes.FakeWorker:
        worker = fakes.FakeWorker(worker_id, cpu)
        worker.deadly_tasks = self.deadly_tasks
        return worker

    async def restart_crashed(self) -> None:
        """Restart workers that have crashed, until cancelled."""
        seen: set[str] = set()
        async with trio.open_nursery() as nursery:
            while True:
                for worker in self.incarnations:
                    if worker.down and worker.record.id not in seen:
                        seen.add(worker.record.id)
                        nursery.start_soon(self._restart, worker)
                await trio.sleep(0.01)

    async def _restart(self, old: fakes.FakeWorker) -> None:
        lost = old.crashed_runs
        self.crashes.append((trio.current_time(), lost))
        for worker in self.workers.values():
            for task in list(worker.runs):
                if task.job in self.gangs and task[:3] in {t[:3] for t in lost}:
                    worker.end(task, changes.Ending.BROKEN)
        await trio.sleep(RESTART_SECONDS)
        name, _, number = old.record.id.partition(".")
        new = self._make(f"{name}.{int(number or 0) + 1}", old.record.cpu)
        new.record = new.record._replace(address=old.record.address)
        new.lasting_jobs = old.lasting_jobs
        new.run_seconds = old.run_seconds
        self.incarnations.append(new)
        self.workers[old.record.address] = new
        sequence = 0
        while new.record.id not in self.queue_state.workers:
            sequence += 1
            await self.leader_api.heartbeat(
                worker_client.Heartbeat(
                    new.record, False, sequence, new.clock_ms()
                )
            )
            await trio.sleep(0.5)

    def starts(self) -> list[tuple[changes.TaskName, int, float]]:
        """See `FakeCluster`."""
        found = [row for each in self.incarnations for row in each.history]
        return sorted(found, key=lambda row: row[2])

    def crashes_under(self, task: changes.TaskName) -> int:
        """Return how many workers have crashed while they ran a task."""
        return sum(task in lost for _, lost in self.crashes)

    def starts_of(self, task: changes.TaskName) -> int:
        """Return how often a task was started."""
        return sum(row[0] == task for row in self.starts())


async def run_script(
    cluster: CrashCluster, script: Callable[[], Awaitable[None]]
) -> None:
    """Run the leader and the restarts until a script is done."""

    async def with_restarts() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.restart_crashed)
            await script()
            nursery.cancel_scope.cancel()

    await test_leadership.run_script(cluster, with_restarts)
