"""Planning: which tasks start now, and on which workers.

The groups of waiting tasks are placed in the order of their rank, and the
resources of each planned run are reserved.  Reservations are in memory only;
the caller commits the starts.
"""

from collections.abc import Mapping, Sequence

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import placement
from turmerichall.dispatch import preemption
from turmerichall.dispatch import ranking
from turmerichall.dispatch import run_state
from turmerichall.dispatch import ticket_cache as ticket_caches
from turmerichall.dispatch import trials
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.backfill import backfiller
from turmerichall.dispatch.evacuation import zone_states
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import order
from turmerichall.dispatch.waiting_order import selection
from turmerichall.peers import link
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

__all__ = ["PlannedRuns", "Planner"]

# Time for which a job of best-effort tasks may wait with no task running, until
# one is placed even where it slows long-running tasks too far.  The daily
# report counts a job as idle after 3 s.
STARVATION_SECONDS = 1.0
# Number of starts from which a round places no further group.  Each start takes
# a task of the leader's, and all of them run before it serves anything else:
# thousands kept it from its heartbeats for longer than the others wait for one.
MAX_STARTS = 400

PlannedRuns = list[tuple[worker_state.Worker, run_state.Run]]


class Planner:
    """Planner that chooses workers for waiting tasks.

    Attributes:
        backlog: Waiting tasks.
        workers: Workers by id.
        interference_model: Learned slowdowns of long-running tasks.
        tickets: Permissions to run steps on workers, for queues with a policy.
        scheduling: Decisions that the deployment's settings ask for.
        forecaster: Forecasts of run times.
        is_cut: Whether the latest round ended at `MAX_STARTS`.
    """

    def __init__(
        self,
        metrics_registry: lightweight_metrics.MetricsRegistry,
        backlog: backlogs.Backlog,
        workers: Mapping[str, worker_state.Worker],
        interference_model: interference_models.InterferenceModel,
        tickets: ticket_caches.TicketCache,
        log: link.Log,
        scheduling: queue_settings.Scheduling,
        forecaster: forecast.Forecaster,
    ):
        self.backlog = backlog
        self.workers = workers
        self.interference_model = interference_model
        self.tickets = tickets
        self.stops: list[preemption.Stop] = []
        self.is_cut = False
        self.scheduling = scheduling
        self.forecaster = forecaster
        self._order = selection.make_order(
            scheduling, backlog.queue_state, forecaster, workers, log
        )
        self._backfill = backfiller.make_backfiller(
            scheduling, forecaster, interference_model, log, metrics_registry
        )
        self._log = log
        self._round = 0
        # Usable workers of the latest round, each with the number of the round
        # in which it last changed or became usable.
        self._changed_rounds: dict[str, int] = {}
        self._trials = trials.Trials()
        self._zone_states = zone_states.ZoneStates(backlog.queue_state)

    def plan(self, now: float, now_ms: int) -> PlannedRuns:
        """Choose the runs that start now, and reserve their resources.

        Args:
            now: Current time on the steady clock.
            now_ms: Current time in ms since 1970.
        """
        groups = self.backlog.ready()
        self.stops = []
        self.is_cut = False
        if not groups:
            self._backfill.clear()
            return []
        ranked = self._order.ranked(groups, now, now_ms)
        self._zone_states.begin_round(self.workers.values(), now, now_ms)
        by_service = self._usable_workers(now)
        for worker_id in self._backfill.begin_round(ranked, by_service, now):
            if worker_id in self._changed_rounds:
                self._changed_rounds[worker_id] = self._round
        planned: PlannedRuns = []
        for rank, _, group in ranked:
            if len(planned) >= MAX_STARTS:
                self.is_cut = True
                break
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
        if not self.is_cut:
            self._choose_stops(ranked, by_service, now)
        self._backfill.end_round(now)
        return planned

    def _choose_stops(
        self,
        ranked: Sequence[order.RankedGroup],
        by_service: Mapping[str, list[worker_state.Worker]],
        now: float,
    ) -> None:
        """Choose long-running runs to stop for urgent tasks without room."""
        waiting: dict[str, list[preemption.WaitingTasks]] = {}
        for rank, _, group in ranked:
            step = group.step
            if not group.waiting or step.gang or step.lasting or step.fills:
                continue
            if group.queue.advice is not None or not ranking.is_on_time(rank):
                continue
            waiting.setdefault(group.queue.service, []).append(
                preemption.WaitingTasks(
                    group.job.id,
                    step,
                    len(group.waiting),
                    group.siblings(),
                )
            )
        for service, tasks in waiting.items():
            self.stops += preemption.choose_stops(
                tasks, by_service.get(service, []), now, self._may_stop
            )

    def _may_stop(self, run: run_state.Run) -> bool:
        """Return whether a long-running run may be stopped for urgent work.

        Jobs that limit how many of their tasks may be unavailable are left
        alone.
        """
        return run.step.max_unavailable < 0

    def _usable_workers(
        self, now: float
    ) -> dict[str, list[worker_state.Worker]]:
        """Begin a round; return the workers that may get tasks, by service."""
        self._round += 1
        by_service: dict[str, list[worker_state.Worker]] = {}
        rounds: dict[str, int] = {}
        self._trials.begin_round(self.workers.values(), now)
        for worker_id, worker in self.workers.items():
            if worker.draining or worker.evacuated or not worker.in_touch:
                continue
            if not worker.breaker.allows(now):
                continue
            before = self._changed_rounds.get(worker_id)
            if worker.changed or before is None:
                before = self._round
                worker.changed = False
            rounds[worker_id] = before
            by_service.setdefault(worker.record.service, []).append(worker)
        self._changed_rounds = rounds
        return by_service

    def _eligible_workers(
        self, group: backlogs.TaskGroup, workers: list[worker_state.Worker]
    ) -> list[worker_state.Worker]:
        """Return the workers with room for a task of a group, best first."""
        step = group.step
        eligible = [
            worker
            for worker in workers
            if worker.has_label(step) and worker.has_room_for(step)
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

    def _plan_group(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
    ) -> PlannedRuns:
        step = group.step
        if now < group.paused_until:
            return []
        if step.gang and len(group.waiting) < step.count:
            return []
        workers = self._trials.allowed(workers, group.job.id)
        planned: PlannedRuns = []
        if step.same_rack:
            planned = self._plan_on_one_rack(group, workers, now)
        if not planned:
            planned = self._plan_tasks(group, workers, now)
        if step.gang and len(planned) < step.count:
            self._undo(planned, now)
            return []
        if not planned and step.fills:
            planned = self._plan_starved(group, workers, now)
        elif planned:
            group.starved_since = float("inf")
        self._backfill.record_placed(group, planned, now)
        for _, run in planned:
            group.waiting.discard(run.task.number)
            group.preempted.pop(run.task.number, None)
        if not group.waiting:
            group.waiting_since = float("inf")
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
        siblings = group.siblings()

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
            self._undo(planned, now)
        return []

    def _undo(self, planned: PlannedRuns, now: float) -> None:
        """Give back what was reserved for runs that do not start."""
        for worker, run in planned:
            worker.take_back(run)
            self._trials.record_change(worker, run, now)

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
        siblings = group.siblings()
        if force:
            number = min(group.waiting)
            avoided = group.avoided.get(number, ())
            worker = placement.choose_worker(
                step,
                self._backfill.allowed(group, workers, now),
                now,
                self.interference_model,
                avoided,
                siblings,
                force,
                group.trial_name,
            )
            if worker is None:
                return []
            return [(worker, self._reserve(group, number, worker, now))]
        since = group.no_room_round
        if since and not (step.gang or step.same_rack or group.queue.advice):
            # No worker had room then, so only those that changed may have now.
            workers = [
                worker
                for worker in workers
                if self._changed_rounds[worker.record.id] > since
            ]
        candidates = placement.Candidates(
            step,
            workers,
            now,
            self.interference_model,
            siblings,
            group.trial_name,
        )
        planned: PlannedRuns = []
        tasks = group.records()
        # Tasks on trial, and tasks that avoid workers, come last: their choices
        # are made one by one.
        for number in sorted(
            group.waiting,
            key=lambda number: (
                tasks[number].on_trial,
                number in group.avoided,
                group.preempted.get(number, float("inf")),
                number,
            ),
        ):
            if len(planned) >= MAX_STARTS and group.trial_name is None:
                self.is_cut = True
                break
            worker = self._backfill.best(candidates, group, now)
            if worker is None:
                group.no_room_round = self._round
                break
            avoided = group.avoided.get(number, ())
            if tasks[number].on_trial:
                if self._trials.must_wait(group, tasks[number]):
                    break
                worker = placement.choose_worker_for_trial(
                    step,
                    self._backfill.allowed(group, workers, now),
                    now,
                    self.interference_model,
                    group.job.id,
                    avoided,
                    siblings,
                    group.trial_name,
                )
            elif avoided:
                worker = placement.choose_worker(
                    step,
                    self._backfill.allowed(group, workers, now),
                    now,
                    self.interference_model,
                    avoided,
                    siblings,
                    trial=group.trial_name,
                )
            if worker is None:
                break
            planned.append((worker, self._reserve(group, number, worker, now)))
            siblings[worker.record.id] = siblings.get(worker.record.id, 0) + 1
            candidates.update(worker)
        return planned

    def _reserve(
        self,
        group: backlogs.TaskGroup,
        number: int,
        worker: worker_state.Worker,
        now: float,
    ) -> run_state.Run:
        """Reserve the resources for a run of a task on a worker."""
        tasks = group.records()
        # The tasks of a gang, which start together, have the same run number.
        run_number = (
            max(task.run for task in tasks)
            if group.step.gang
            else tasks[number].run
        ) + 1
        run = run_state.Run(
            group.task(number), run_number, group.step, group.job.queue
        )
        run.record_suspicion(tasks[number])
        worker.add(run)
        self._trials.record_change(worker, run, now)
        worker.breaker.record_start(
            now, (run.task, run.number), group.trial_name
        )
        return run
