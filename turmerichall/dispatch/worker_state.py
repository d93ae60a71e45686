"""State of a worker, as known to the leader."""

from typing import NamedTuple

from turmerichall.dispatch import circuit_breaker as circuit_breakers
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import run_state
from turmerichall.dispatch import service_load
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.heartbeats import sequence
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

__all__ = ["LATE_ORDER_SECONDS", "Neighbour", "Worker"]

# Share of the requested processors that a long-running task is assumed to use
# until its load is known.
ASSUMED_LONG_RUNNING_USE = 0.5
# Time after which a worker no longer carries out an order that it has not
# answered: it may do so up to 12 s later.
LATE_ORDER_SECONDS = 12.5
# Assumed tail latency of an idle long-running task, as a share of its target,
# before the first sample.
DEFAULT_IDLE_TAIL = 0.25


class Neighbour(NamedTuple):
    """The long-running runs of one step on a worker.

    Best-effort tasks on the same worker may slow them.

    Attributes:
        image: Image of the runs.
        idle_tail: Tail latency without load and neighbours, as a share of the
            target.
        forecast: Predicted load.
    """

    image: str
    idle_tail: float = DEFAULT_IDLE_TAIL
    forecast: service_load.LoadForecast = service_load.DEFAULT_FORECAST


class Worker:
    """One incarnation of a worker, with the resources that its runs reserve.

    Processors are in thousandths of a core.

    Attributes:
        record: Registration of the worker.
        client: Client that sends orders to the worker.
        capacity: Its resources, as it last reported them.
        lease: Its lease.
        draining: Whether it is about to leave.
        kept_out: Whether it is kept out of use because it refuses the term; its
            runs end with its lease.
        runs: Runs by task, from their plan until their end is committed.
        runs_by_job: Number of runs, by id of the job.
        in_touch: Whether it answered the latest poll, and every start since;
            no tasks are placed on it otherwise.
        lost_at: Time on the steady clock since which it has not been in touch;
            0 if it is, or if it never was in this term.
        lost_abruptly: Whether a connection broke at that time.
        breaker: Circuit breaker that stops new runs after failures.
        cpu_reserved: Processors requested by all runs except best-effort ones;
            the worker's capacity limits them.
        long_running_load: Processors that long-running runs are predicted to
            use.
        cpu_batch: Processors requested by runs that are neither long-running
            nor best-effort.
        cpu_best_effort: Processors requested by best-effort runs.
        memory_reserved: Memory requested by all runs, in MB.
        gpu_reserved: Accelerators requested by all runs.
        long_running_count: Number of long-running runs.
        neighbours: Long-running runs that best-effort tasks may slow, by job,
            occurrence and step.
        best_effort_cpu: Processors requested by best-effort runs, by image.
        unanswered_starts: Starts that it may carry out late, or an incarnation
            of the same name; each with the time at which it was sent.
        removing: Whether its removal is being committed.
        replaced: Whether another incarnation may receive its orders, so that
            none is sent any more but stops.
        suspected_runs: Runs of tasks that are suspected of a crash.
        lapsed_runs: Runs that were lost with the lease since the worker was
            last in touch.  It may have crashed.
        heartbeats: Order of its heartbeats.
        evacuated: Whether its availability zone was in evacuation in the latest
            placing round.
        start_budget: Processors for which runs may still start there, beside
            its capacity; infinite unless its zone has just returned from an
            evacuation.
        cold_until: Time on the steady clock until which it is slow after its
            start.
        changed: Whether its runs or loads changed since the latest placing
            round, so that tasks without room may fit now.
    """

    def __init__(
        self,
        record: changes.WorkerRecord,
        client: worker_client.WorkerClient,
        term_began_at: float,
        draining: bool = False,
    ):
        self.record = record
        self.client = client
        self.capacity = record.capacity
        self.lease = leases.Lease(term_began_at)
        self.draining = draining
        self.kept_out = False
        self.runs: dict[changes.TaskName, run_state.Run] = {}
        self.runs_by_job: dict[str, int] = {}
        self.in_touch = False
        self.lost_at = 0.0
        self.lost_abruptly = False
        self.breaker = circuit_breakers.CircuitBreaker()
        self.cpu_reserved = 0
        self.long_running_load = 0.0
        self.cpu_batch = 0
        self.cpu_best_effort = 0
        self.memory_reserved = 0
        self.gpu_reserved = 0
        self.long_running_count = 0
        self.neighbours: dict[tuple[str, int, int], Neighbour] = {}
        self.best_effort_cpu: dict[str, int] = {}
        self.unanswered_starts: list[tuple[float, run_state.Run]] = []
        self.removing = False
        self.replaced = False
        self.suspected_runs: list[run_state.Run] = []
        self.lapsed_runs: list[run_state.Run] = []
        self.heartbeats = sequence.HeartbeatOrder()
        self.evacuated = False
        self.start_budget = float("inf")
        self.cold_until = -float("inf")
        self.changed = True

    def resize(self, capacity: changes.Capacity) -> None:
        """Take over a capacity that the worker reports."""
        self.capacity = capacity
        self.changed = True

    def record_contact(self) -> None:
        """Record that the worker answered a poll."""
        self.in_touch = True
        self.lost_at = 0.0
        self.lost_abruptly = False
        self.lapsed_runs.clear()

    def record_silence(self, now: float, was_abrupt: bool) -> None:
        """Record that a poll or a start was not answered.

        Args:
            now: Current time on the steady clock.
            was_abrupt: Whether the connection broke, as in a crash, instead of
                staying silent.
        """
        if self.in_touch:
            self.in_touch = False
            self.lost_at = now
            self.lost_abruptly = was_abrupt

    def record_unanswered_start(self, run: run_state.Run, now: float) -> None:
        """Record that a start was sent and not answered.

        Args:
            run: The run.
            now: Current time on the steady clock.
        """
        self._forget_old_starts(now)
        self.unanswered_starts.append((now, run))

    def runs_to_fence(self, now: float) -> list[run_state.Run]:
        """Return the runs whose starts may still be carried out.

        Args:
            now: Current time on the steady clock.
        """
        self._forget_old_starts(now)
        runs = list(self.runs.values())
        runs += [run for _, run in self.unanswered_starts]
        return list({(run.task, run.number): run for run in runs}.values())

    def unconfirmed_starts(
        self, now: float
    ) -> list[tuple[float, run_state.Run]]:
        """Return the starts that may be carried out later, with their times.

        Args:
            now: Current time on the steady clock.
        """
        self._forget_old_starts(now)
        return self.unanswered_starts + [
            (now, run)
            for run in self.runs.values()
            if run.sent_at and not run.confirmed_at
        ]

    def _forget_old_starts(self, now: float) -> None:
        self.unanswered_starts = [
            row
            for row in self.unanswered_starts
            if now - row[0] < LATE_ORDER_SECONDS
        ]

    def add(self, run: run_state.Run) -> None:
        """Add a run, and reserve the resources that it requests."""
        self.runs[run.task] = run
        job = run.task.job
        self.runs_by_job[job] = self.runs_by_job.get(job, 0) + 1
        self.start_budget -= run.step.cpu
        if run.suspected:
            self.suspected_runs.append(run)
        self._count(run.step, 1)
        if run.step.lasting and run.step.target_ms:
            key = run.task[:3]
            self.neighbours.setdefault(key, Neighbour(run.step.image))

    def remove(self, run: run_state.Run) -> None:
        """Remove a run, and free its resources."""
        if self.runs.get(run.task) is run:
            self.changed = True
            del self.runs[run.task]
            job = run.task.job
            self.runs_by_job[job] -= 1
            if not self.runs_by_job[job]:
                del self.runs_by_job[job]
            if run.suspected:
                self.suspected_runs.remove(run)
            self.breaker.take_back((run.task, run.number))
            self._count(run.step, -1)
            if run.step.lasting:
                self._forget_neighbour(run.task[:3])

    def take_back(self, run: run_state.Run) -> None:
        """Remove a run that was planned and does not start."""
        if self.runs.get(run.task) is run:
            self.remove(run)
            self.start_budget += run.step.cpu

    def _forget_neighbour(self, step: tuple[str, int, int]) -> None:
        if not any(task[:3] == step for task in self.runs):
            self.neighbours.pop(step, None)

    def _count(self, step: demands.StepDemand, sign: int) -> None:
        self.memory_reserved += sign * step.memory_mb
        self.gpu_reserved += sign * step.gpu
        if step.fills:
            self.cpu_best_effort += sign * step.cpu
            best_effort_cpu = (
                self.best_effort_cpu.get(step.image, 0) + sign * step.cpu
            )
            if best_effort_cpu > 0:
                self.best_effort_cpu[step.image] = best_effort_cpu
            else:
                self.best_effort_cpu.pop(step.image, None)
            return
        self.cpu_reserved += sign * step.cpu
        if step.lasting:
            self.long_running_count += sign
            self.long_running_load += sign * step.cpu * ASSUMED_LONG_RUNNING_USE
        else:
            self.cpu_batch += sign * step.cpu

    def clear_suspicion(self, run: run_state.Run) -> None:
        """Forget that a run's task was suspected of a crash."""
        run.suspected = run.on_trial = False
        self.suspected_runs.remove(run)

    def has_just_started_others(self, job: str, now: float) -> bool:
        """Return whether a task of another job has just started.

        Args:
            job: Id of the job that is left out.
            now: Current time on the steady clock.
        """
        return any(
            run.task.job != job and run.has_just_started(now)
            for run in self.runs.values()
        )

    def job_on_trial(self, now: float) -> str:
        """Return the id of the job with a task on trial, or nothing.

        A trial goes on while the worker is out of touch: it may have crashed.

        Args:
            now: Current time on the steady clock.
        """
        for run in self.suspected_runs:
            if run.is_on_trial(self.lost_at or now):
                return run.task.job
        return ""

    def has_room_for(self, step: demands.StepDemand) -> bool:
        """Return whether the resources for a task of a step are free.

        Best-effort tasks need no free processors.
        """
        capacity = self.capacity
        if step.cpu > self.start_budget:
            return False
        if self.memory_reserved + step.memory_mb > capacity.memory_mb:
            return False
        if self.gpu_reserved + step.gpu > capacity.gpu:
            return False
        return step.fills or self.cpu_reserved + step.cpu <= capacity.cpu

    def could_ever_run(self, step: demands.StepDemand) -> bool:
        """Return whether the worker could run a task if it had no runs.

        A capacity that has shrunk may grow again.
        """
        record, capacity = self.record, self.capacity
        return (
            step.memory_mb <= max(record.memory_mb, capacity.memory_mb)
            and step.gpu <= max(record.gpu, capacity.gpu)
            and step.cpu <= max(record.cpu, capacity.cpu)
            and self.has_label(step)
        )

    def has_label(self, step: demands.StepDemand) -> bool:
        """Return whether the worker has the label that a step requires."""
        label = step.required_label
        return not label or label in self.record.labels

    def obtainable_cpu(self, best_effort: bool) -> float:
        """Return the processors of the worker that batch tasks can have.

        These are the ones that they request now, and the free ones.

        Args:
            best_effort: Whether to count best-effort tasks instead of other
                batch tasks.
        """
        if best_effort:
            return self.cpu_best_effort + max(self.free_cpu(), 0.0)
        return self.cpu_batch + max(self.capacity.cpu - self.cpu_reserved, 0)

    def free_cpu(self) -> float:
        """Return the processors that are estimated to be unused."""
        used = self.long_running_load + self.cpu_batch + self.cpu_best_effort
        return self.capacity.cpu - used
