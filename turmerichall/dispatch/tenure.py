"""A leader's work in one term: places tasks, orders workers."""

from collections.abc import Callable, Iterable
import time

import trio

from turmerichall import outcomes
from turmerichall.agreement import replica as replicas
from turmerichall.dispatch import admission
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as learnt
from turmerichall.dispatch import freshness as freshnesses
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import ordering
from turmerichall.dispatch import placement
from turmerichall.dispatch import roster
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import stragglers
from turmerichall.dispatch import worker_port
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import ledger as ledgers
from turmerichall.telemetry import tally as tallies

__all__ = ["Tenure", "wall_ms"]

COMMIT_SECONDS = 20.0
# For a change that a caller waits for; then its effect is unknown.
CALLER_SECONDS = 2.5
# Between two placements, so that what arrives together is placed together.
PLACE_SECONDS = 0.005
# Placement is tried at least this often, for tails and avoidance that change.
PLACE_AGAIN_SECONDS = 0.25
# Between two looks at the clock for occurrences that are due.
DUE_SECONDS = 0.05
# Between two lines on the state of the term.
REPORT_SECONDS = 5.0
# That a job of filling tasks waits with nothing under way, until one is placed
# even where it disturbs; at its end a day counts a job idle after 3 s.
IDLE_SECONDS = 1.0
# For a run to begin, with what it saved before.
BEGIN_SECONDS = 0.8
# After a worker said that it ends.
LEAVING_SECONDS = 0.3

MakePort = Callable[[changes.WorkerRecord], worker_port.WorkerPort]


def wall_ms() -> int:
    """Returns the time of day, ms since 1970."""
    return time.time_ns() // 1_000_000


class Tenure:
    """One term of one leader.

    Attributes:
        replica: Commits changes.
        ledger: The replicated state.
        token: Fencing token of all orders; the term.
        workers: Workers by id.
        sessions: Sessions by id of the worker.
        backlog: Tasks that wait.
        durations: Learnt run times.
        sensitivity: Learnt interference.
        tally: Counts of this process.
        freshness: Whether this leader still is the only one.
        scope: Ends the term's work when cancelled.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        ledger: ledgers.Ledger,
        token: int,
        make_port: MakePort,
        freshness: freshnesses.Freshness,
        log: link.Log,
        durations: learnt.Durations,
        sensitivity: sensitivities.Sensitivity,
        tally: tallies.Tally,
    ):
        self.replica = replica
        self.ledger = ledger
        self.token = token
        self.freshness = freshness
        self.log = log
        self.durations = durations
        self.sensitivity = sensitivity
        self.tally = tally
        self.workers: dict[str, roster.Worker] = {}
        self.sessions: dict[str, sessions.Session] = {}
        self.backlog = backlogs.Backlog(ledger)
        self.scope = trio.CancelScope()
        self.was_fenced = False
        self._make_port = make_port
        self._began_at = leases.steady_seconds()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._scheduled: dict[str, int] = {}
        # Tasks that were moved for being slow.
        self._moved: set[changes.TaskName] = set()
        # Times of runs that are done, by job, occurrence and step.
        self._took: dict[tuple[str, int, int], list[float]] = {}

    # Life of the term.

    async def run(self) -> None:
        """Works until the term ends."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._load()
                self.log.info(
                    "term begins",
                    term=self.token,
                    workers=len(self.workers),
                    jobs=len(self.ledger.jobs),
                    runs=sum(len(w.runs) for w in self.workers.values()),
                )
                nursery.start_soon(self._place)
                nursery.start_soon(self._watch_schedule)
                nursery.start_soon(self._watch_leadership)
                nursery.start_soon(self._report)

    def _load(self) -> None:
        """Takes over what the ledger says is under way."""
        self.sensitivity.resume(self.ledger.interference)
        for record in self.ledger.workers.values():
            self._add_worker(record, record.id in self.ledger.draining)
        now_ms = wall_ms()
        for job in self.ledger.jobs.values():
            for name, task in job.runs():
                self._adopt(job, name, task)
            if job.open:
                self._add_job(job, now_ms)
        for worker in self.workers.values():
            for run in worker.runs.values():
                if not self.ledger.jobs[run.task.job].open:
                    self.spawn_stop(self.sessions[worker.record.id], run)

    def _adopt(
        self,
        job: ledgers.Job,
        name: changes.TaskName,
        task: ledgers.TaskRecord,
    ) -> None:
        worker = self.workers.get(task.worker)
        if worker is None:
            return
        step = job.demand.steps[name.step]
        run = roster.Run(name, task.run, step, job.queue)
        run.phase = roster.Phase.ORDERED
        if step.fills:
            # The leader before may have slowed it.
            run.pace_percent = roster.UNKNOWN_PERCENT
        worker.add(run)

    async def _watch_leadership(self) -> None:
        while self.replica.led_term() == self.token and not self.was_fenced:
            await self.replica.shared.role_changed.wait(
                trio.current_time() + PLACE_AGAIN_SECONDS
            )
        self.log.info("term ends", term=self.token)
        self.scope.cancel()

    async def _report(self) -> None:
        """Logs what decisions are made from, and keeps what was learnt."""
        while True:
            await trio.sleep(REPORT_SECONDS)
            workers = self.workers.values()
            now = leases.steady_seconds()
            self.log.info(
                "state of the term",
                waiting=sum(len(g.waiting) for g in self.backlog.ready()),
                workers=len(workers),
                in_touch=sum(worker.in_touch for worker in workers),
                avoided=sum(not w.suspicion.allows(now) for w in workers),
                runs=sum(len(worker.runs) for worker in workers),
                cpu=sum(worker.record.cpu for worker in workers),
                cpu_asked=sum(worker.cpu_asked for worker in workers),
                cpu_filled=sum(worker.cpu_filled for worker in workers),
                free_cpu=round(sum(worker.free_cpu() for worker in workers)),
                paced=sum(
                    run.pace_percent < 100
                    for worker in workers
                    for run in worker.runs.values()
                ),
            )
            table = self.sensitivity.table()
            for lasting, added in table.items():
                self.log.info(
                    "learnt interference", lasting=lasting, added=added
                )
            if table and table != self.ledger.interference:
                await self._commit_own(changes.NoteInterference(table))

    def may_renew(self) -> bool:
        """See `session.Owner`."""
        return self.freshness.may_renew()

    def fenced(self, worker: roster.Worker) -> None:
        """See `session.Owner`."""
        self.log.warning(
            "a newer term gives orders",
            worker=worker.record.id,
            term=self.token,
        )
        self.was_fenced = True
        self.scope.cancel()

    async def commit(
        self, change: changes.Change, timeout_seconds: float = CALLER_SECONDS
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Has a change committed and applied.

        Returns:
            None, or why it was not, or may not have been.
        """
        began_at = trio.current_time()
        answer = await self.replica.propose_in_term(
            changes.encode(change), self.token, timeout_seconds
        )
        self.tally.seconds("commit", trio.current_time() - began_at)
        return None if isinstance(answer, bytes) else answer

    async def _commit_own(self, change: changes.Change) -> None:
        """Has a change committed; without that the term's work ends."""
        failed = await self.commit(change, COMMIT_SECONDS)
        if failed is not None:
            self.log.info(
                "own change not committed",
                reason=failed.reason.value,
                detail=failed.detail,
            )
            self.scope.cancel()
            await trio.sleep_forever()

    # Workers.

    def _add_worker(
        self, record: changes.WorkerRecord, draining: bool
    ) -> roster.Worker:
        worker = roster.Worker(
            record, self._make_port(record), self._began_at, draining
        )
        session = sessions.Session(self, worker)
        self.workers[record.id] = worker
        self.sessions[record.id] = session
        if self._nursery is not None:
            self._nursery.start_soon(session.run)
        return worker

    async def heartbeat(self, beat: worker_port.Heartbeat) -> bool:
        """Takes in a heartbeat; returns whether it may be acknowledged."""
        record = beat.worker
        if record.id in self.ledger.gone:
            return True
        worker = self.workers.get(record.id)
        if worker is None:
            if not await self._register(beat):
                return False
            worker = self.workers.get(record.id)
            if worker is None:
                return False
        if beat.sequence < worker.heartbeat:
            return True
        worker.heartbeat = beat.sequence
        if beat.clock_ms >= 0 and not worker.lease.known:
            worker.lease.note_clock(beat.clock_ms, leases.steady_seconds())
        if beat.draining and record.id not in self.ledger.draining:
            return await self._drain(worker)
        return True

    async def _register(self, beat: worker_port.Heartbeat) -> bool:
        record = beat.worker
        other = next(
            (
                known
                for known in self.workers.values()
                if known.record.address == record.address
            ),
            None,
        )
        if other is not None and not await self._answers(record):
            self.log.info(
                "heartbeat of a worker that does not answer as itself",
                worker=record.id,
                address=record.address,
                known=other.record.id,
            )
            return False
        if await self.commit(changes.RegisterWorker(record)) is not None:
            return False
        await self._forget_lost()
        if record.id in self.ledger.workers and record.id not in self.workers:
            self._add_worker(record, False)
            self.log.info(
                "worker registered",
                worker=record.id,
                address=record.address,
                zone=record.zone,
                cpu=record.cpu,
                memory_mb=record.memory_mb,
            )
        return True

    async def _answers(self, record: changes.WorkerRecord) -> bool:
        """Tells whether this life of a worker answers at its address."""
        port = self._make_port(record)
        try:
            look = await port.look(self.token, 0, None, 0)
        finally:
            port.close()
        return isinstance(look, worker_port.Look)

    async def _drain(self, worker: roster.Worker) -> bool:
        worker.draining = True
        failed = await self.commit(changes.DrainWorker(worker.record.id))
        if failed is not None:
            return False
        self.log.info(
            "worker drains", worker=worker.record.id, runs=len(worker.runs)
        )
        session = self.sessions.get(worker.record.id)
        if session is not None:
            for run in list(worker.runs.values()):
                if run.step.lasting or run.step.checkpoints:
                    self.spawn_stop(session, run)
        return True

    async def leaving(self, worker_id: str) -> bool:
        """Takes in that a worker ends; returns whether to acknowledge it."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return worker_id in self.ledger.gone
        is_noted = worker_id in self.ledger.draining
        if not is_noted and not await self._drain(worker):
            return False
        assert self._nursery is not None
        self._nursery.start_soon(self._lose_soon, worker)
        return True

    async def _lose_soon(self, worker: roster.Worker) -> None:
        await trio.sleep(LEAVING_SECONDS)
        await self._lose(worker)

    async def replaced(self, worker: roster.Worker) -> None:
        """See `session.Owner`."""
        self.log.info("worker was replaced", worker=worker.record.id)
        await self._lose(worker)

    async def _lose(self, worker: roster.Worker) -> None:
        if worker.record.id in self.ledger.workers:
            await self._commit_own(changes.LoseWorker(worker.record.id))
        await self._forget_lost()

    async def _forget_lost(self) -> None:
        """Lets tasks of workers that the ledger no longer has wait again."""
        for worker_id in list(self.workers):
            if worker_id in self.ledger.workers:
                continue
            worker = self.workers.pop(worker_id)
            self.log.info(
                "worker gone", worker=worker_id, runs=len(worker.runs)
            )
            self.sessions.pop(worker_id).scope.cancel()
            for run in list(worker.runs.values()):
                worker.remove(run)
                if run.phase != roster.Phase.PLANNED:
                    self.backlog.put_back(run.task)
            self._wake.set()

    def watch_progress(self, session: sessions.Session) -> None:
        """See `session.Owner`."""
        now = leases.steady_seconds()
        worker = session.worker
        for run in list(worker.runs.values()):
            if run.step.lasting or run.stopping or not run.confirmed_at:
                continue
            progress = run.progress(now)
            # Most runs are soon done; their siblings are not looked up.
            if progress.seconds < stragglers.STILL_SECONDS:
                continue
            reason = stragglers.judge(
                progress, self._sibling_seconds(run, now), BEGIN_SECONDS
            )
            if not reason or not self._may_move(run, reason):
                continue
            self.log.info(
                "run is moved",
                job=run.task.job,
                step=run.task.step,
                index=run.task.number,
                run=run.number,
                worker=worker.record.id,
                reason=reason,
                seconds=round(progress.seconds, 2),
                percent=progress.percent,
                still_seconds=round(progress.still_seconds, 2),
            )
            self.tally.count("runs_moved", reason=reason)
            if reason != stragglers.HELD:
                worker.suspicion.note(False, now, run.task.job)
            run.moved = True
            self.spawn_stop(session, run)

    def _may_move(self, run: roster.Run, reason: str) -> bool:
        """Tells whether a run may be moved, which is noted.

        A task that is slow again elsewhere is so by itself.
        """
        if reason == stragglers.SLOW:
            if run.task in self._moved:
                return False
            self._moved.add(run.task)
        return True

    def _sibling_seconds(self, run: roster.Run, now: float) -> list[float]:
        """Returns expected times of other tasks of a run's step."""
        job = self.ledger.jobs.get(run.task.job)
        if job is None or not job.open:
            return []
        found = list(self._took.get(run.task[:3], ()))
        step = job.steps(run.task.occurrence)[run.task.step]
        for number, task in enumerate(step.tasks):
            worker = self.workers.get(task.worker)
            if worker is None or number == run.task.number:
                continue
            other = worker.runs.get(run.task._replace(number=number))
            if other is not None and other.confirmed_at:
                expected = other.progress(now).expected_seconds()
                if expected is not None:
                    found.append(expected)
        return found

    def worker_changed(self) -> None:
        """See `session.Owner`."""
        self._wake.set()

    def note_done(self, run: roster.Run, seconds: float) -> None:
        """See `session.Owner`."""
        if run.step.lasting:
            return
        self.durations.note((run.queue, run.step.image), seconds)
        if run.number == 1:
            self._took.setdefault(run.task[:3], []).append(seconds)

    # Runs.

    def spawn(self, session: sessions.Session, run: roster.Run) -> None:
        """See `session.Owner`."""
        assert self._nursery is not None
        job = self.ledger.jobs.get(run.task.job)
        if job is None:
            return
        order = worker_port.Order(
            run.task,
            run.number,
            job.demand.spec,
            job.task(run.task).checkpoint if job.open else "",
        )
        self._nursery.start_soon(session.start, run, order)

    def spawn_stop(self, session: sessions.Session, run: roster.Run) -> None:
        """See `session.Owner`."""
        assert self._nursery is not None
        if not run.stopping:
            run.stopping = True
            self._nursery.start_soon(session.stop, run)

    async def commit_ends(
        self, worker: roster.Worker, rows: list[changes.Ended]
    ) -> None:
        """See `session.Owner`."""
        if not rows:
            return
        open_before = {
            row.task.job: self.ledger.jobs[row.task.job].open
            for row in rows
            if row.task.job in self.ledger.jobs
        }
        await self._commit_own(changes.EndRuns(tuple(rows)))
        for row in rows:
            run = worker.runs.get(row.task)
            if run is None or run.number != row.run:
                continue
            worker.remove(run)
            if row.ending == changes.Ending.DONE:
                if self.backlog.note_done(row.task):
                    self._took.pop(row.task[:3], None)
                    self._log_step_done(row.task)
                if run.step.lasting:
                    self.backlog.put_back(row.task)
            else:
                elsewhere = row.ending == changes.Ending.FAILED or run.moved
                self.backlog.put_back(
                    row.task, worker.record.id if elsewhere else ""
                )
        self._log_ends(worker, rows)
        for job_id, was_open in open_before.items():
            job = self.ledger.jobs[job_id]
            if was_open and not job.open:
                self.tally.count("jobs_ended", state=job.state.value)
                self.log.info(
                    "job ended",
                    job=job_id,
                    state=job.state.value,
                    age_ms=wall_ms() - job.at_ms,
                )
                self._close_job(job_id)
        self._wake.set()

    def _log_ends(
        self, worker: roster.Worker, rows: Iterable[changes.Ended]
    ) -> None:
        for row in rows:
            self.tally.count("runs_ended", ending=row.ending.name.lower())
            if row.ending not in (changes.Ending.DONE, changes.Ending.STOPPED):
                self.log.info(
                    "run ended",
                    job=row.task.job,
                    step=row.task.step,
                    index=row.task.number,
                    run=row.run,
                    worker=worker.record.id,
                    ending=row.ending.name.lower(),
                )

    def _log_step_done(self, task: changes.TaskName) -> None:
        self.log.info(
            "step done",
            job=task.job,
            occurrence=task.occurrence,
            step=task.step,
            age_ms=wall_ms() - self.ledger.jobs[task.job].at_ms,
        )

    def _close_job(self, job_id: str) -> None:
        """Stops what still runs of a job that ended."""
        self.backlog.drop_job(job_id)
        self._scheduled.pop(job_id, None)
        self._moved = {task for task in self._moved if task.job != job_id}
        for worker_id, worker in self.workers.items():
            for run in list(worker.runs.values()):
                if run.task.job == job_id and run.phase != roster.Phase.PLANNED:
                    self.spawn_stop(self.sessions[worker_id], run)

    # Placement.

    async def _place(self) -> None:
        while True:
            with trio.move_on_after(PLACE_AGAIN_SECONDS):
                await self._wake.wait()
            await trio.sleep(PLACE_SECONDS)
            self._wake = trio.Event()
            if not self.may_renew():
                continue
            planned = self._plan()
            if planned:
                await self._start(planned)

    def _plan(self) -> list[tuple[roster.Worker, roster.Run]]:
        """Chooses what starts now, and reserves its room."""
        now = leases.steady_seconds()
        now_ms = wall_ms()
        groups = self.backlog.ready()
        if not groups:
            return []
        groups.sort(key=lambda group: ordering.rank(self._claim(group, now_ms)))
        by_service: dict[str, list[roster.Worker]] = {}
        for worker in self.workers.values():
            by_service.setdefault(worker.record.service, []).append(worker)
        planned: list[tuple[roster.Worker, roster.Run]] = []
        for group in groups:
            workers = by_service.get(group.queue.service, [])
            planned += self._plan_group(group, workers, now)
        return planned

    def _claim(self, group: backlogs.Group, now_ms: int) -> ordering.Claim:
        queue = self.ledger.queues[group.job.queue]
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
    ) -> list[tuple[roster.Worker, roster.Run]]:
        step = group.step
        if step.gang and len(group.waiting) < step.count:
            return []
        planned: list[tuple[roster.Worker, roster.Run]] = []
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
    ) -> list[tuple[roster.Worker, roster.Run]]:
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
            self.log.info(
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
    ) -> list[tuple[roster.Worker, roster.Run]]:
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
    ) -> list[tuple[roster.Worker, roster.Run]]:
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
        planned: list[tuple[roster.Worker, roster.Run]] = []
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

    async def _start(
        self, planned: list[tuple[roster.Worker, roster.Run]]
    ) -> None:
        """Has starts committed, then orders them."""
        rows = tuple(
            changes.Started(run.task, run.number, worker.record.id)
            for worker, run in planned
        )
        await self._commit_own(changes.StartRuns(rows))
        self.tally.count("runs_started", len(rows))
        self.log.info(
            "tasks placed",
            starts=[
                f"{row.task.job}.{row.task.occurrence}.{row.task.step}"
                f".{row.task.number}/{row.run}@{row.worker}"
                for row in rows
            ],
        )
        for worker, run in planned:
            if worker.record.id not in self.sessions:
                worker.remove(run)
                self.backlog.put_back(run.task)
                continue
            job = self.ledger.jobs.get(run.task.job)
            run.phase = roster.Phase.ORDERED
            if job is not None and job.open:
                self.spawn(self.sessions[worker.record.id], run)
                continue
            # Canceled meanwhile; nothing was sent.
            ended = changes.Ended(
                run.task, run.number, changes.Ending.UNSTARTED, ""
            )
            await self.commit_ends(worker, [ended])

    # Jobs.

    def _add_job(self, job: ledgers.Job, now_ms: int) -> None:
        begun = self.backlog.add_job(job, now_ms)
        if begun < job.demand.occurrences:
            self._scheduled[job.id] = begun

    async def _watch_schedule(self) -> None:
        """Adds occurrences of timed jobs when they are due."""
        while True:
            await trio.sleep(DUE_SECONDS)
            now_ms = wall_ms()
            for job_id, occurrence in list(self._scheduled.items()):
                job = self.ledger.jobs[job_id]
                schedule = job.demand.schedule
                if schedule is None or not job.open:
                    del self._scheduled[job_id]
                elif schedule.due_at_ms(occurrence) <= now_ms:
                    self.backlog.add_occurrence(job, occurrence)
                    self._scheduled[job_id] = occurrence + 1
                    if occurrence + 1 >= schedule.count:
                        del self._scheduled[job_id]
                    self._wake.set()

    async def submit(
        self,
        job_id: str,
        queue: configurations.Queue,
        demand: demands.JobDemand,
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Accepts a job durably; None once it is."""
        if job_id in self.ledger.jobs:
            return None
        refusal = admission.admit(self._outlook(job_id, queue, demand))
        if refusal is not None:
            self.tally.count("jobs_refused", reason=refusal.reason.value)
            self.log.info(
                "job refused",
                job=job_id,
                queue=queue.name,
                reason=refusal.reason.value,
                detail=refusal.detail,
                retry_after=refusal.retry_after_seconds,
            )
            return refusal
        change = changes.AcceptJob(job_id, queue.key, demand, wall_ms())
        failed = await self.commit(change)
        if failed is not None:
            return failed
        self.tally.count("jobs_accepted", queue=queue.name)
        self.log.info(
            "job accepted",
            job=job_id,
            queue=queue.name,
            steps=len(demand.steps),
            tasks=sum(step.count for step in demand.steps),
        )
        job = self.ledger.jobs[job_id]
        if job.open and not job.started:
            self._add_job(job, wall_ms())
            self._wake.set()
        return None

    def _outlook(
        self,
        job_id: str,
        queue: configurations.Queue,
        demand: demands.JobDemand,
    ) -> admission.Outlook:
        workers = [
            worker
            for worker in self.workers.values()
            if worker.record.service == queue.service
        ]
        fits = not workers or all(
            any(worker.may_ever_hold(step) for worker in workers)
            for step in demand.steps
        )
        filling = all(step.fills for step in demand.steps)
        rate = 0.0
        for worker in workers:
            if worker.in_touch and not worker.draining:
                rate += worker.rate(filling) / 1000
        chain = demand.chain_ms() / 1000
        return admission.Outlook(
            job_id,
            demand.lasting or demand.schedule is not None,
            fits,
            queue.objective_seconds(chain),
            chain,
            self._work_ahead(queue, filling),
            rate,
        )

    def _work_ahead(self, queue: configurations.Queue, filling: bool) -> float:
        """Returns work that waits and goes first, core-seconds."""
        work = 0.0
        for group in self.backlog.groups.values():
            step = group.step
            if not group.waiting or step.lasting or step.fills != filling:
                continue
            if group.queue.priority > queue.priority:
                continue
            kind = (group.job.queue, step.image)
            seconds = self.durations.expect(kind, step.estimate_ms / 1000)
            work += len(group.waiting) * step.cpu / 1000 * seconds
        return work

    async def cancel(
        self, job_id: str
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Cancels a job durably and stops its tasks."""
        job = self.ledger.jobs[job_id]
        if not job.open:
            return None
        failed = await self.commit(changes.CancelJob(job_id))
        if failed is None:
            self.log.info("job canceled", job=job_id)
            self._close_job(job_id)
        return failed
