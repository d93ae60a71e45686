"""Admission by predicted finish, with places for returns and fair shares."""

from collections.abc import Callable, Iterable
import math

from turmerichall import outcomes
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import job_estimate as job_estimates
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import capacity as capacities
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.admission_control import decision
from turmerichall.dispatch.admission_control import places as job_places
from turmerichall.dispatch.admission_control import prediction
from turmerichall.dispatch.admission_control import report as reports
from turmerichall.dispatch.admission_control import shares as group_shares
from turmerichall.dispatch.admission_control import waiting_work
from turmerichall.dispatch.forecasts import forecast

__all__ = ["FairController"]

# Time for which the waiting work and the capacity are taken as unchanged but
# for the jobs that are accepted meanwhile: computing them takes time linear in
# the number of waiting jobs and workers.
REFRESH_SECONDS = 0.25
# Time for which an accepted job that is not in the replicated state is counted
# as waiting, and accepted again.  A commit whose outcome was unknown to the
# caller may still succeed in the same term.
PENDING_SECONDS = 30.0


class _Pending:
    """An accepted job whose commit is under way."""

    __slots__ = ("accepted_at", "job")

    def __init__(self, job: prediction.WaitingJob, accepted_at: float):
        self.job = job
        self.accepted_at = accepted_at


class FairController:
    """A `controller.AdmissionController`; see docs/design/admission.md.

    All its state is in memory, and begins empty in each term.

    Attributes:
        backlog: Waiting tasks.
        forecaster: Forecasts of run times.
        places: Places for jobs that were refused.
        shares: Demanded and accepted work by group, for each pool.
    """

    def __init__(
        self,
        backlog: backlogs.Backlog,
        forecaster: forecast.Forecaster,
        late_jobs_yield: bool,
        report: reports.AdmissionReport,
        wall_ms: Callable[[], int],
    ):
        self.backlog = backlog
        self.forecaster = forecaster
        self.places = job_places.Places()
        self.shares: dict[job_places.Pool, group_shares.Shares] = {}
        self._late_jobs_yield = late_jobs_yield
        self._report = report
        self._wall_ms = wall_ms
        self._pending: dict[str, _Pending] = {}
        self._refreshed_at = -float("inf")
        self._jobs: list[prediction.WaitingJob] = []
        self._capacities: dict[job_places.Pool, capacities.Capacity] = {}
        self._unusable: dict[job_places.Pool, capacities.UnusableFree] = {}
        self._ahead: dict[job_places.Pool, prediction.WorkAhead] = {}
        report.register_gauges(
            lambda: len(self.places.by_job),
            lambda: sum(len(each.usage) for each in self.shares.values()),
            self._lowest_acceptance,
        )

    def decide(
        self,
        submission: controller.Submission,
        workers: Iterable[worker_state.Worker],
        now: float,
    ) -> outcomes.Refusal | None:
        """See `controller.AdmissionController`."""
        queue, demand = submission.queue, submission.demand
        # A resent submission is never refused, also while the first one is
        # being committed.
        if submission.job_id in self._pending:
            return None
        of_service = [
            worker
            for worker in workers
            if worker.record.service == queue.service
        ]
        reason = job_estimates.unschedulable_reason(demand, of_service)
        if reason:
            return outcomes.Refusal(outcomes.RefusalReason.NEVER_FITS, reason)
        if demand.lasting or demand.schedule is not None:
            return None
        if now >= self._refreshed_at + REFRESH_SECONDS:
            self._refresh(now)
        best_effort = all(step.fills for step in demand.steps)
        pool = (queue.service, best_effort, queue.priority)
        capacity = self._capacities.get(pool)
        if capacity is None:
            capacity = self._capacity(pool, of_service)
        if capacity.rate <= 0:
            return None
        shape = prediction.job_shape(
            demand.steps,
            waiting_work.expected_seconds(self.forecaster, queue.key),
        )
        shares = self.shares.setdefault(pool, group_shares.Shares())
        group = shares.group(queue.key, submission.caller_zone)
        place = self.places.find(submission.job_id, now)
        if place is None:
            shares.record_demand(group, shape.work, now)
        inputs = self._inputs(
            submission, pool, shape, capacity, group, place, now
        )
        made = decision.decide(inputs)
        self._report.decided(inputs, made, group, now)
        if made.retry_seconds is None:
            if place is not None:
                self._report.count_place(
                    "used" if place.is_due(now) else "early"
                )
            self.places.drop(submission.job_id)
            if made.cause != decision.Cause.LATE:
                shares.record_accepted(group, shape.work, now)
            self._accept(submission.job_id, pool, inputs, shape, now)
            return None
        if place is not None and not place.is_due(now):
            # The call was resent, or its caller does not wait as it was told.
            made = made._replace(retry_seconds=math.ceil(place.due_at - now))
        else:
            self._keep_place(inputs, made, pool, shape.work, now)
        return _refusal(inputs, made)

    def _inputs(
        self,
        submission: controller.Submission,
        pool: job_places.Pool,
        shape: prediction.JobShape,
        capacity: capacities.Capacity,
        group: group_shares.Group,
        place: job_places.Place | None,
        now: float,
    ) -> decision.Inputs:
        """Return the inputs of the decision on a job."""
        rate = capacity.rate
        ahead = self._work_ahead(pool, rate)
        wait = ahead.on_time / rate
        long_wait = (ahead.on_time + ahead.late) / rate
        placed = self.places.work(
            pool, submission.job_id, now + wait, now + long_wait
        )
        if place is not None and place.is_due(now):
            # Returns go before newcomers, and before each other in the order in
            # which they come.
            placed = placed._replace(on_time_due=0.0, due=0.0)
        declared_chain = submission.demand.critical_path_ms() / 1000
        return decision.Inputs(
            submission.job_id,
            submission.queue.objective_seconds(declared_chain),
            now - place.first_seen_at if place is not None else 0.0,
            prediction.service_seconds(shape, rate),
            wait + placed.on_time_due / rate,
            long_wait + placed.due / rate,
            wait + placed.on_time / rate,
            long_wait + placed.total / rate,
            capacity.free > ahead.ready_cores,
            self.shares[pool].is_over(group, now),
            place.refusals if place is not None else 0,
        )

    def _capacity(
        self, pool: job_places.Pool, workers: list[worker_state.Worker]
    ) -> capacities.Capacity:
        """Return the capacity of a pool, without what tasks can't use."""
        _, best_effort, priority = pool
        capacity = capacities.capacity(workers, best_effort, priority)
        free = self._unusable.setdefault(pool, capacities.UnusableFree())
        ready_cores = self._work_ahead(pool, capacity.rate).ready_cores
        unusable = free.record(capacity.free, ready_cores)
        capacity = capacity._replace(
            rate=max(capacity.rate - unusable, capacity.rate / 2)
        )
        self._capacities[pool] = capacity
        del self._ahead[pool]
        return capacity

    def _work_ahead(
        self, pool: job_places.Pool, rate: float
    ) -> prediction.WorkAhead:
        """Return the work that waits before a new job of a pool."""
        ahead = self._ahead.get(pool)
        if ahead is None:
            service, best_effort, priority = pool
            jobs = [pending.job for pending in self._pending.values()]
            ahead = prediction.work_ahead(
                (
                    job
                    for job in self._jobs + jobs
                    if job.service == service
                    and job.best_effort == best_effort
                    and job.priority <= priority
                ),
                rate,
                self._late_jobs_yield,
            )
            self._ahead[pool] = ahead
        return ahead

    def _refresh(self, now: float) -> None:
        """Take over the waiting work, and forget what is no longer needed."""
        self._refreshed_at = now
        known = self.backlog.queue_state.jobs
        for job_id, pending in list(self._pending.items()):
            expires_at = pending.accepted_at + PENDING_SECONDS
            if job_id in known or now >= expires_at:
                del self._pending[job_id]
        self._jobs = waiting_work.waiting_jobs(
            self.backlog.groups.values(), self.forecaster, self._wall_ms()
        )
        self._capacities.clear()
        self._ahead.clear()
        self.places.expire(now)
        self._report.count_place("expired", self.places.expired)
        self.places.expired = 0
        for shares in self.shares.values():
            shares.forget_idle(now)

    def _accept(
        self,
        job_id: str,
        pool: job_places.Pool,
        inputs: decision.Inputs,
        shape: prediction.JobShape,
        now: float,
    ) -> None:
        """Count an accepted job as waiting until its commit is known."""
        waiting = prediction.WaitingJob(
            *pool, 1.0, inputs.on_time_wait, shape.work, shape.first_cores
        )
        self._pending[job_id] = _Pending(waiting, now)
        service, best_effort, priority = pool
        for other, ahead in self._ahead.items():
            if other[:2] != (service, best_effort) or other[2] < priority:
                continue
            is_on_time = inputs.wait_seconds <= inputs.on_time_wait
            self._ahead[other] = prediction.WorkAhead(
                ahead.on_time + shape.work * is_on_time,
                ahead.late + shape.work * (not is_on_time),
                ahead.ready_cores + shape.first_cores,
            )

    def _keep_place(
        self,
        inputs: decision.Inputs,
        made: decision.Decision,
        pool: job_places.Pool,
        work: float,
        now: float,
    ) -> None:
        """Keep a place for a refused job.

        Nothing is reserved for a job whose return can't have value, but its age
        is known when it returns.
        """
        assert made.retry_seconds is not None
        place = job_places.Place(
            pool,
            work if made.can_succeed else 0.0,
            now - inputs.age_seconds,
            now + made.retry_seconds,
            inputs.refusals + 1,
            inputs.wait_seconds <= inputs.on_time_wait,
        )
        is_kept = self.places.keep(inputs.job, place)
        self._report.count_place("kept" if is_kept else "full")

    def _lowest_acceptance(self) -> float:
        now = self._refreshed_at
        return min(
            (each.lowest_acceptance(now) for each in self.shares.values()),
            default=1.0,
        )


def _refusal(
    inputs: decision.Inputs, made: decision.Decision
) -> outcomes.Refusal:
    """Return the refusal of a job, with its reason for people."""
    detail = (
        f"{made.cause.value}: served after about {inputs.wait_seconds:.1f} s, "
        f"on time up to {max(inputs.on_time_wait, 0.0):.1f} s, "
        f"of value up to {max(inputs.useful_wait, 0.0):.1f} s"
    )
    if not made.can_succeed:
        detail += "; no retry of this job can have value"
    return outcomes.Refusal(
        outcomes.RefusalReason.DEADLINE, detail, made.retry_seconds
    )
