"""Planning: which tasks start now, and on which workers.

The groups of waiting tasks are placed in the order of their rank, and the
resources of each planned run are reserved.  Reservations are in memory only;
the caller commits the starts.
"""

from collections.abc import Mapping

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import placement
from turmerichall.dispatch import ranking
from turmerichall.dispatch import ticket_cache as ticket_caches
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import state as states

__all__ = ["PlannedRuns", "Planner"]

# Time for which a job of best-effort tasks may wait with no task running, until
# one is placed even where it slows long-running tasks too far.  The daily
# report counts a job as idle after 3 s.
STARVATION_SECONDS = 1.0

PlannedRuns = list[tuple[worker_state.Worker, worker_state.Run]]


class Planner:
    """Planner that chooses workers for waiting tasks.

    Attributes:
        queue_state: The replicated state.
        backlog: Waiting tasks.
        workers: Workers by id.
        interference_model: Learned slowdowns of long-running tasks.
        tickets: Permissions to run steps on workers, for queues with a policy.
    """

    def __init__(
        self,
        queue_state: states.QueueState,
        backlog: backlogs.Backlog,
        workers: Mapping[str, worker_state.Worker],
        interference_model: interference_models.InterferenceModel,
        tickets: ticket_caches.TicketCache,
        log: link.Log,
    ):
        self.queue_state = queue_state
        self.backlog = backlog
        self.workers = workers
        self.interference_model = interference_model
        self.tickets = tickets
        self._log = log

    def plan(self, now: float, now_ms: int) -> PlannedRuns:
        """Choose the runs that start now, and reserve their resources.

        Args:
            now: Current time on the steady clock.
            now_ms: Current time in ms since 1970.
        """
        groups = self.backlog.ready()
        if not groups:
            return []
        ranked = sorted(
            (
                (ranking.rank(self._rank_factors(group, now_ms)), number, group)
                for number, group in enumerate(groups)
            )
        )
        by_service: dict[str, list[worker_state.Worker]] = {}
        for worker in self.workers.values():
            by_service.setdefault(worker.record.service, []).append(worker)
        planned: PlannedRuns = []
        for rank, _, group in ranked:
            workers = by_service.get(group.queue.service, [])
            advice = group.queue.advice
            if advice is None:
                planned += self._plan_group(group, workers, now)
                continue
            tickets = self.tickets.valid(group.name, now)
            allowed = [each for each in workers if each.record.id in tickets]
            planned += self._plan_group(group, allowed, now)
            if group.waiting:
                eligible = self._eligible_workers(group, workers)
                self.tickets.request(group.name, rank, advice, eligible, now)
        return planned

    def _eligible_workers(
        self, group: backlogs.TaskGroup, workers: list[worker_state.Worker]
    ) -> list[worker_state.Worker]:
        """Return the workers with room for a task of a group, best first."""
        step = group.step
        eligible = [
            worker
            for worker in workers
            if worker.in_touch
            and not worker.draining
            and worker.has_label(step)
            and worker.has_room_for(step)
        ]
        # Workers on the rack that holds the step's data come first; among
        # equals, those with the most free processors.
        eligible.sort(
            key=lambda worker: (
                worker.record.rack != step.data_rack,
                -worker.free_cpu(),
            )
        )
        return eligible

    def _rank_factors(
        self, group: backlogs.TaskGroup, now_ms: int
    ) -> ranking.Factors:
        queue = self.queue_state.queues[group.job.queue]
        group.queue = queue
        step = group.step
        return ranking.Factors(
            queue.priority,
            step.lasting,
            step.lasting and group.job.started,
            (now_ms - group.began_at_ms) / 1000,
            queue.objective_seconds(group.critical_path_seconds),
            step.estimate_ms / 1000,
        )

    def _plan_group(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
    ) -> PlannedRuns:
        step = group.step
        if step.gang and len(group.waiting) < step.count:
            return []
        planned: PlannedRuns = []
        if step.same_rack:
            planned = self._plan_on_one_rack(group, workers, now)
        if not planned:
            planned = self._plan_tasks(group, workers, now)
        if step.gang and len(planned) < step.count:
            for worker, run in planned:
                worker.remove(run)
            return []
        if not planned and step.fills:
            planned = self._plan_starved(group, workers, now)
        elif planned:
            group.starved_since = float("inf")
        group.waiting -= {run.task.number for _, run in planned}
        return planned

    def _plan_starved(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
    ) -> PlannedRuns:
        """Place one task of a job that had no running task for too long."""
        if any(True for _ in group.job.runs()):
            group.starved_since = float("inf")
            return []
        group.starved_since = min(group.starved_since, now)
        if now - group.starved_since < STARVATION_SECONDS:
            return []
        planned = self._plan_tasks(group, workers, now, force=True)
        for worker, run in planned:
            run.forced = True
            self._log.info(
                "task placed beside lasting ones that it disturbs",
                job=group.job.id,
                worker=worker.record.id,
                idle_seconds=round(now - group.starved_since, 2),
            )
        return planned

    def _plan_on_one_rack(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
    ) -> PlannedRuns:
        """Place all waiting tasks of a group on one rack, or none."""
        by_rack: dict[str, list[worker_state.Worker]] = {}
        for worker in workers:
            by_rack.setdefault(worker.record.rack, []).append(worker)
        siblings = self._siblings(group)

        def preference(rack: str) -> tuple[int, float]:
            rack_workers = by_rack[rack]
            running = sum(
                siblings.get(each.record.id, 0) for each in rack_workers
            )
            return running, sum(each.free_cpu() for each in rack_workers)

        for rack in sorted(by_rack, key=preference, reverse=True):
            planned = self._plan_tasks(group, by_rack[rack], now)
            if len(planned) == len(group.waiting):
                return planned
            for worker, run in planned:
                worker.remove(run)
        return []

    def _plan_tasks(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
        force: bool = False,
    ) -> PlannedRuns:
        """Place the tasks of a group until one finds no worker.

        Args:
            group: The group.
            workers: The workers to choose from.
            now: Current time on the steady clock.
            force: Whether to place only one task, wherever it fits, without
                regard to the long-running tasks there.
        """
        step = group.step
        siblings = self._siblings(group)
        tasks = group.job.steps(group.name.occurrence)[group.name.step].tasks
        # The tasks of a gang, which start together, have the same run number.
        gang_run = max(task.run for task in tasks) + 1 if step.gang else 0
        planned: PlannedRuns = []
        for number in sorted(group.waiting)[: 1 if force else None]:
            worker = placement.choose_worker(
                step,
                workers,
                now,
                self.interference_model,
                group.avoided.get(number, ()),
                siblings,
                force,
            )
            if worker is None:
                break
            run = worker_state.Run(
                group.task(number),
                gang_run or tasks[number].run + 1,
                step,
                group.job.queue,
            )
            worker.add(run)
            worker.breaker.record_start(now)
            siblings[worker.record.id] = siblings.get(worker.record.id, 0) + 1
            planned.append((worker, run))
        return planned

    def _siblings(self, group: backlogs.TaskGroup) -> dict[str, int]:
        """Return the number of running tasks of a group's step per worker."""
        steps = group.job.steps(group.name.occurrence)
        counts: dict[str, int] = {}
        for task in steps[group.name.step].tasks:
            if task.worker:
                counts[task.worker] = counts.get(task.worker, 0) + 1
        return counts
