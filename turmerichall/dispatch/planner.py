"""Which tasks start now, and on which workers.

Offers room to the groups that wait in their order, and reserves what it plans.
It reads and reserves in memory only; the caller has starts committed.
"""

from collections.abc import Mapping

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import ordering
from turmerichall.dispatch import placement
from turmerichall.dispatch import roster
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.dispatch import tickets as ticket_books
from turmerichall.peers import link
from turmerichall.queues import state as states

__all__ = ["Planned", "Planner"]

# That a job of filling tasks waits with nothing under way, until one is placed
# even where it disturbs; at its end a day counts a job idle after 3 s.
IDLE_SECONDS = 1.0

Planned = list[tuple[roster.Worker, roster.Run]]


class Planner:
    """Places tasks that wait.

    Attributes:
        state: The replicated state.
        backlog: Tasks that wait.
        workers: Workers by id.
        sensitivity: Learnt interference.
        tickets: Tickets of queues with a policy.
    """

    def __init__(
        self,
        state: states.QueueState,
        backlog: backlogs.Backlog,
        workers: Mapping[str, roster.Worker],
        sensitivity: sensitivities.Sensitivity,
        tickets: ticket_books.Tickets,
        log: link.Log,
    ):
        self.state = state
        self.backlog = backlog
        self.workers = workers
        self.sensitivity = sensitivity
        self.tickets = tickets
        self._log = log

    def plan(self, now: float, now_ms: int) -> Planned:
        """Chooses what starts now, and reserves its room.

        Args:
            now: Steady seconds.
            now_ms: Time of day, since 1970.
        """
        groups = self.backlog.ready()
        if not groups:
            return []
        ranked = sorted(
            (
                (ordering.rank(self._claim(group, now_ms)), number, group)
                for number, group in enumerate(groups)
            )
        )
        by_service: dict[str, list[roster.Worker]] = {}
        for worker in self.workers.values():
            by_service.setdefault(worker.record.service, []).append(worker)
        planned: Planned = []
        for rank, _, group in ranked:
            workers = by_service.get(group.queue.service, [])
            advice = group.queue.advice
            if advice is None:
                planned += self._plan_group(group, workers, now)
                continue
            held = self.tickets.valid(group.name, now)
            allowed = [each for each in workers if each.record.id in held]
            planned += self._plan_group(group, allowed, now)
            if group.waiting:
                able = self._able(group, workers)
                self.tickets.wish(group.name, rank, advice, able, now)
        return planned

    def _able(
        self, group: backlogs.Group, workers: list[roster.Worker]
    ) -> list[roster.Worker]:
        """Returns the workers that could run tasks now, the emptiest first."""
        step = group.step
        able = [
            worker
            for worker in workers
            if worker.in_touch
            and not worker.draining
            and worker.has_label(step)
            and worker.holds(step)
        ]
        # Workers near the data first, then those with most room.
        able.sort(
            key=lambda worker: (
                worker.record.rack != step.data_rack,
                -worker.free_cpu(),
            )
        )
        return able

    def _claim(self, group: backlogs.Group, now_ms: int) -> ordering.Claim:
        queue = self.state.queues[group.job.queue]
        group.queue = queue
        step = group.step
        return ordering.Claim(
            queue.priority,
            step.lasting,
            step.lasting and group.job.started,
            (now_ms - group.begun_at_ms) / 1000,
            queue.objective_seconds(group.chain_seconds),
            step.estimate_ms / 1000,
        )

    def _plan_group(
        self,
        group: backlogs.Group,
        workers: list[roster.Worker],
        now: float,
    ) -> Planned:
        step = group.step
        if step.gang and len(group.waiting) < step.count:
            return []
        planned: Planned = []
        if step.same_rack:
            planned = self._plan_on_one_rack(group, workers, now)
        if not planned:
            planned = self._plan_tasks(group, workers, now)
        if step.gang and len(planned) < step.count:
            for worker, run in planned:
                worker.remove(run)
            return []
        if not planned and step.fills:
            planned = self._plan_idle(group, workers, now)
        elif planned:
            group.idle_since = float("inf")
        group.waiting -= {run.task.number for _, run in planned}
        return planned

    def _plan_idle(
        self,
        group: backlogs.Group,
        workers: list[roster.Worker],
        now: float,
    ) -> Planned:
        """Places one task of a job that would else do nothing for long."""
        if any(True for _ in group.job.runs()):
            group.idle_since = float("inf")
            return []
        group.idle_since = min(group.idle_since, now)
        if now - group.idle_since < IDLE_SECONDS:
            return []
        planned = self._plan_tasks(group, workers, now, must=True)
        for worker, run in planned:
            run.must = True
            self._log.info(
                "task placed beside lasting ones that it disturbs",
                job=group.job.id,
                worker=worker.record.id,
                idle_seconds=round(now - group.idle_since, 2),
            )
        return planned

    def _plan_on_one_rack(
        self,
        group: backlogs.Group,
        workers: list[roster.Worker],
        now: float,
    ) -> Planned:
        """Places all tasks that wait on one rack, or none."""
        by_rack: dict[str, list[roster.Worker]] = {}
        for worker in workers:
            by_rack.setdefault(worker.record.rack, []).append(worker)
        siblings = self._siblings(group)

        def preference(rack: str) -> tuple[int, float]:
            there = by_rack[rack]
            running = sum(siblings.get(each.record.id, 0) for each in there)
            return running, sum(each.free_cpu() for each in there)

        for rack in sorted(by_rack, key=preference, reverse=True):
            planned = self._plan_tasks(group, by_rack[rack], now)
            if len(planned) == len(group.waiting):
                return planned
            for worker, run in planned:
                worker.remove(run)
        return []

    def _plan_tasks(
        self,
        group: backlogs.Group,
        workers: list[roster.Worker],
        now: float,
        must: bool = False,
    ) -> Planned:
        """Places the tasks of a group until one finds no room.

        Args:
            group: The group.
            workers: The workers to choose from.
            now: Steady seconds.
            must: Whether to place one filling task wherever it fits.
        """
        step = group.step
        siblings = self._siblings(group)
        tasks = group.job.steps(group.name.occurrence)[group.name.step].tasks
        # The members of a gang share the number of their run.
        gang_run = max(task.run for task in tasks) + 1 if step.gang else 0
        planned: Planned = []
        for number in sorted(group.waiting)[: 1 if must else None]:
            worker = placement.choose(
                step,
                workers,
                now,
                self.sensitivity,
                group.avoided.get(number, ()),
                siblings,
                must,
            )
            if worker is None:
                break
            run = roster.Run(
                group.task(number),
                gang_run or tasks[number].run + 1,
                step,
                group.job.queue,
            )
            worker.add(run)
            worker.suspicion.note_start(now)
            siblings[worker.record.id] = siblings.get(worker.record.id, 0) + 1
            planned.append((worker, run))
        return planned

    def _siblings(self, group: backlogs.Group) -> dict[str, int]:
        """Returns how many tasks of a step each worker runs, by id."""
        steps = group.job.steps(group.name.occurrence)
        counts: dict[str, int] = {}
        for task in steps[group.name.step].tasks:
            if task.worker:
                counts[task.worker] = counts.get(task.worker, 0) + 1
        return counts
