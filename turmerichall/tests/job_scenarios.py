"""Scenarios of unschedulable, cancelled, misdeclared and noisy jobs."""

import time

import trio

from turmerichall import outcomes
from turmerichall.placement import budget
from turmerichall.tests import audit
from turmerichall.tests import harness as harnesses
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours

__all__ = ["cancel_waves", "never_runs", "noisy_wave", "wrong_sizes"]

OVERSIZED_TEMPLATE = "huge"
OVERSIZED_TASKS = 50
LONG_TEMPLATE = "long"
CANCELLED_JOBS = 24
DISCONNECTING_CALLERS = 100
DISCONNECT_AFTER_SECONDS = 0.5
SLOW_RESPONSE_SECONDS = 2.0
CONSECUTIVE_REQUESTS = 40
UNDERDECLARED_TASKS = 30
OVERDECLARED_TASKS = 6
NOISY_TASKS = 64
# Declared run time of tasks that `_end_soon` ends once a scenario has seen
# enough of them.
LONG_RUN_SECONDS = 600.0
SHORT_RUN_RATIO = 0.002
REPORT_DELAY_SECONDS = 3.0

Harness = harnesses.Harness


def batch_template(
    name: str, processors: float, run_seconds: float, memory_mb: int = 500
) -> dict[str, object]:
    """Return the body of a batch template."""
    return {
        "name": name,
        "kind": "batch",
        "size": {"processors": processors, "memory_mb": memory_mb},
        "run_seconds": run_seconds,
    }


async def _publish(harness: Harness, body: dict[str, object]) -> None:
    path = f"/v1/templates/{body['name']}"
    await harness.load.put(path, body, allow_conflict=True)


async def _publish_with_new_name(
    harness: Harness, body: dict[str, object]
) -> str:
    """Publish a template under a new name, and return the name.

    No interference or usage has been learnt for a new name.
    """
    name = f"{body['name']}-{len(harness.load.accepted_jobs)}"
    await _publish(harness, {**body, "name": name})
    return name


async def never_runs(harness: Harness) -> None:
    """Submit a job too large for any worker; it must not block later jobs."""
    await _publish(harness, batch_template(OVERSIZED_TEMPLATE, 100.0, 1.0))
    submitter = harness.load.new_operator("hopeful")
    unschedulable = await harness.load.submit_job(
        submitter, OVERSIZED_TEMPLATE, OVERSIZED_TASKS
    )
    subsequent = await harness.load.submit(submitter)
    await harness.wait_decision(
        unschedulable, outcomes.RefusalReason.NEVER_FITS
    )
    await harness.wait_finished(subsequent)
    await _cancel_jobs(harness, [unschedulable])
    assert not _job_runs(harness, {unschedulable})


async def cancel_waves(harness: Harness) -> None:
    """Disconnect many callers, and then cancel many jobs at once."""
    await _disconnect_callers(harness)
    await _publish(harness, batch_template(LONG_TEMPLATE, 2.0, 600.0))
    submitter = harness.load.new_operator("canceller")
    jobs = [
        await harness.load.submit_job(submitter, LONG_TEMPLATE, 2)
        for _ in range(CANCELLED_JOBS)
    ]

    async def enough_running() -> bool:
        return (
            len(_unfinished_runs(harness, set(jobs)))
            >= len(harness.workers) / 2
        )

    await harness.wait_until(
        "at least one long task runs for every two workers", enough_running
    )
    await _cancel_jobs(harness, jobs)

    async def ended() -> bool:
        return not _unfinished_runs(harness, set(jobs))

    await harness.wait_until("no task of a cancelled job runs", ended)
    runs_before = len(_job_runs(harness, set(jobs)))
    await harness.wait_finished(await harness.load.submit(submitter))
    assert len(_job_runs(harness, set(jobs))) == runs_before


async def wrong_sizes(harness: Harness) -> None:
    """Run tasks with ten times the declared usage and run time, or a tenth."""
    await _add_workers(harness)
    declared = (
        batch_template("hungry", 0.5, LONG_RUN_SECONDS, 500),
        batch_template("greedy", 0.5, LONG_RUN_SECONDS, 300),
        batch_template("timid", 3.0, 20.0, 3000),
    )
    names = [await _publish_with_new_name(harness, body) for body in declared]
    memory_heavy = behaviours.Behaviour(
        names[0], memory_ratio=10.0, run_ratio=10.0
    )
    processor_heavy = behaviours.Behaviour(names[1], 10.0, run_ratio=10.0)
    overdeclared = behaviours.Behaviour(names[2], 0.1, 0.1, 0.1)
    await _set_behaviours(harness, memory_heavy, processor_heavy, overdeclared)
    jobs = [
        await _wait_overload_resolved(harness, behaviour.template)
        for behaviour in (memory_heavy, processor_heavy)
    ]
    jobs.append(
        await _submit_required(
            harness, overdeclared.template, OVERDECLARED_TASKS
        )
    )
    await _end_soon(harness, memory_heavy, processor_heavy)
    for job_id in jobs:
        await harness.wait_finished(job_id)
    await _set_behaviours(harness)


async def _wait_overload_resolved(harness: Harness, template: str) -> str:
    """Submit a job that overloads workers; wait until the overload ends.

    Some of its tasks must still run then.  Returns the job id.
    """
    since = time.monotonic()
    job_id = await _submit_required(harness, template, UNDERDECLARED_TASKS)

    async def exceeded() -> bool:
        return "use_over" in _last_usage_events(harness, since)

    async def within() -> bool:
        return "use_over" not in _last_usage_events(harness, since)

    await harness.wait_until("usage exceeds the capacity of a worker", exceeded)
    await harness.wait_until(
        "usage is within the capacity of every worker", within
    )
    assert _unfinished_runs(
        harness, {job_id}
    ), "no task of the job runs any more"
    return job_id


async def noisy_wave(harness: Harness) -> None:
    """Let many tasks slow the services beside them, throttled or not.

    Tasks must be throttled before they are evicted, and the eviction budget
    must hold.
    """
    await _add_workers(harness)
    declared = batch_template("noisy", 1.0, LONG_RUN_SECONDS)
    quiet = behaviours.Behaviour(
        await _publish_with_new_name(harness, declared)
    )
    noisy = quiet._replace(noise=3.0)
    since = time.monotonic()
    await _set_behaviours(harness, quiet)
    job_id = await _submit_required(harness, quiet.template, NOISY_TASKS)
    await harness.wait_decision(job_id, "started")
    await _set_behaviours(harness, noisy)

    async def evicted() -> bool:
        return bool(_evicted_runs(harness, {job_id}))

    await harness.wait_until("a noisy task is evicted", evicted)
    await _set_behaviours(harness, quiet)
    evicted_runs = _evicted_runs(harness, {job_id})
    throttled = _worker_records(harness, "throttled", since)
    for run in evicted_runs:
        throttle_records = [
            r for r in throttled if r.fields["task"] == run.task
        ]
        assert (
            throttle_records
        ), f"{run.task} was evicted without being throttled first"
    max_evictions = budget.MIN_BURST * len(
        set(harness.zone_by_process.values())
    )
    assert (
        len(evicted_runs) <= max_evictions + 1
    ), f"{len(evicted_runs)} evictions"
    await _end_soon(harness, quiet)
    for run in evicted_runs:
        await harness.wait_rescheduled(run)
    await harness.wait_finished(job_id)
    await _set_behaviours(harness)


async def _add_workers(harness: Harness) -> None:
    """Add a worker to each zone, on which no service limits batch tasks."""
    for zone in sorted(set(harness.zone_by_process.values())):
        name = f"w-{zone}"
        if name not in harness.workers:
            harness.zone_by_process[name] = zone
            await harness.start_proxied_worker(name)


async def _set_behaviours(
    harness: Harness, *changed: behaviours.Behaviour
) -> None:
    """Make tasks of templates differ from their declarations.

    Without behaviours, all tasks behave as declared again.
    """
    fields = [behaviour._asdict() for behaviour in changed]
    faults = {
        "templates": fields,
        "report_late_seconds": REPORT_DELAY_SECONDS,
    }
    for name in harness.worker_names():
        await harness.set_worker_faults(name, faults if changed else {})


async def _end_soon(harness: Harness, *changed: behaviours.Behaviour) -> None:
    """Let long-running tasks finish soon, without slowing services."""
    shortened = [
        behaviour._replace(run_ratio=SHORT_RUN_RATIO, noise=0.0)
        for behaviour in changed
    ]
    await _set_behaviours(harness, *shortened)


async def _submit_required(harness: Harness, template: str, tasks: int) -> str:
    """Submit a job that must finish and return its id."""
    submitter = harness.load.new_operator("lasting")
    job_id = await harness.load.submit_job(submitter, template, tasks)
    harness.load.accepted_jobs.append(job_id)
    return job_id


def _worker_records(
    harness: Harness, event: str, since: float = 0.0
) -> list[audit_trail.Record]:
    """Return the records of an event in all workers' trails since a time."""
    return [
        record
        for name in harness.worker_names()
        for record in harness.read_trail(name)
        if record.event == event and record.monotonic > since
    ]


def _last_usage_events(harness: Harness, since: float) -> list[str]:
    """Return the latest `use_over` or `use_within` event of each worker."""
    last: dict[str, audit_trail.Record] = {}
    for event in ("use_over", "use_within"):
        for record in _worker_records(harness, event, since):
            previous = last.get(record.source, record)
            if record.monotonic >= previous.monotonic:
                last[record.source] = record
    return [record.event for record in last.values()]


def _evicted_runs(harness: Harness, jobs: set[str]) -> list[audit.Run]:
    return [run for run in _job_runs(harness, jobs) if run.detail == "evicted"]


async def _disconnect_callers(harness: Harness) -> None:
    """Disconnect callers while their requests run; others must be served."""
    for name in harness.worker_names():
        await harness.set_worker_faults(
            name, {"slow_seconds": SLOW_RESPONSE_SECONDS}
        )
    with trio.move_on_after(DISCONNECT_AFTER_SECONDS):
        async with trio.open_nursery() as callers:
            for _ in range(DISCONNECTING_CALLERS):
                callers.start_soon(harness.caller.send_request)
    for name in harness.worker_names():
        await harness.set_worker_faults(name, {})
    await harness.wait_consecutive_served(CONSECUTIVE_REQUESTS)


async def _cancel_jobs(harness: Harness, jobs: list[str]) -> None:
    """Cancel jobs concurrently and wait until all show as cancelled."""
    async with trio.open_nursery() as nursery:
        for job_id in jobs:
            canceller = harness.load.new_operator("canceller")
            path = f"/v1/jobs/{job_id}/cancel"
            nursery.start_soon(canceller.change, "POST", path)

    async def cancelled() -> bool:
        states = await harness.load.job_states()
        return all(states.get(job_id) == "cancelled" for job_id in jobs)

    await harness.wait_until("all jobs are cancelled", cancelled)


def _job_runs(harness: Harness, jobs: set[str]) -> list[audit.Run]:
    """Return the runs of the tasks of jobs."""
    return [
        run
        for name in harness.worker_names()
        for run in audit.extract_runs(harness.read_trail(name))
        if run.task.partition("/")[0] in jobs
    ]


def _unfinished_runs(harness: Harness, jobs: set[str]) -> list[audit.Run]:
    return [run for run in _job_runs(harness, jobs) if run.state == "killed"]
