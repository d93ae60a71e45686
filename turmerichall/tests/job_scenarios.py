"""Scenarios about jobs that do not run as they should."""

import time

import trio

from turmerichall import outcomes
from turmerichall.placement import budget
from turmerichall.tests import audit
from turmerichall.tests import harness as harnesses
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours

__all__ = ["cancel_waves", "never_runs", "noisy_wave", "wrong_sizes"]

HUGE = "huge"
HUGE_TASKS = 50
LONG = "long"
CANCELLED_JOBS = 24
LEAVING_CALLERS = 100
LEAVE_SECONDS = 0.5
SLOW_SECONDS = 2.0
STEADY_REQUESTS = 40
WRONG_TASKS = 30
TIMID_TASKS = 6
NOISY_TASKS = 64
# Declared for tasks that are let go on at a sign.
LASTING_SECONDS = 600.0
HURRY_RATIO = 0.002
LATE_SECONDS = 3.0

Harness = harnesses.Harness


def batch(
    name: str, processors: float, run_seconds: float, memory_mb: int = 500
) -> dict[str, object]:
    """Returns a batch template."""
    return {
        "name": name,
        "kind": "batch",
        "size": {"processors": processors, "memory_mb": memory_mb},
        "run_seconds": run_seconds,
    }


async def _publish(harness: Harness, body: dict[str, object]) -> None:
    path = f"/v1/templates/{body['name']}"
    await harness.load.put(path, body, again=True)


async def _publish_anew(harness: Harness, body: dict[str, object]) -> str:
    """Publishes a template of which nothing was learnt; returns its name."""
    name = f"{body['name']}-{len(harness.load.accepted_jobs)}"
    await _publish(harness, {**body, "name": name})
    return name


async def never_runs(harness: Harness) -> None:
    """A job that fits no worker is told so, and the next ones go on."""
    await _publish(harness, batch(HUGE, 100.0, 1.0))
    submitter = harness.load.new_operator("hopeful")
    hopeless = await harness.load.submit_job(submitter, HUGE, HUGE_TASKS)
    later = await harness.load.submit(submitter)
    await harness.wait_decided(hopeless, outcomes.RefusalReason.NEVER_FITS)
    await harness.wait_finished(later)
    await _cancel(harness, [hopeless])
    assert not _runs_of(harness, {hopeless})


async def cancel_waves(harness: Harness) -> None:
    """Many callers leave, and an operator cancels many jobs at once."""
    await _leave_in_a_wave(harness)
    await _publish(harness, batch(LONG, 2.0, 600.0))
    submitter = harness.load.new_operator("canceller")
    jobs = [
        await harness.load.submit_job(submitter, LONG, 2)
        for _ in range(CANCELLED_JOBS)
    ]

    async def runs() -> bool:
        return len(_running(harness, set(jobs))) >= len(harness.workers) / 2

    await harness.wait("long tasks run", runs)
    await _cancel(harness, jobs)

    async def ended() -> bool:
        return not _running(harness, set(jobs))

    await harness.wait("no cancelled task runs", ended)
    before = len(_runs_of(harness, set(jobs)))
    await harness.wait_finished(await harness.load.submit(submitter))
    assert len(_runs_of(harness, set(jobs))) == before


async def wrong_sizes(harness: Harness) -> None:
    """Sizes and run times are ten times what is declared, or a tenth."""
    await _add_workers(harness)
    declared = (
        batch("hungry", 0.5, LASTING_SECONDS, 500),
        batch("greedy", 0.5, LASTING_SECONDS, 300),
        batch("timid", 3.0, 20.0, 3000),
    )
    names = [await _publish_anew(harness, body) for body in declared]
    hungry = behaviours.Behaviour(names[0], memory_ratio=10.0, run_ratio=10.0)
    greedy = behaviours.Behaviour(names[1], 10.0, run_ratio=10.0)
    timid = behaviours.Behaviour(names[2], 0.1, 0.1, 0.1)
    await _behave(harness, hungry, greedy, timid)
    jobs = [
        await _exceed_and_return(harness, told.template)
        for told in (hungry, greedy)
    ]
    jobs.append(await _submit_lasting(harness, timid.template, TIMID_TASKS))
    await _hurry(harness, hungry, greedy)
    for job_id in jobs:
        await harness.wait_finished(job_id)
    await _behave(harness)


async def _exceed_and_return(harness: Harness, template: str) -> str:
    """Submits a job that exceeds workers until the system deals with it."""
    since = time.monotonic()
    job_id = await _submit_lasting(harness, template, WRONG_TASKS)

    async def exceeded() -> bool:
        return "use_over" in _last_uses(harness, since)

    async def within() -> bool:
        return "use_over" not in _last_uses(harness, since)

    await harness.wait("a worker is over its capacity", exceeded)
    await harness.wait("no worker is over its capacity", within)
    assert _running(harness, {job_id}), "nothing runs any more"
    return job_id


async def noisy_wave(harness: Harness) -> None:
    """A wave of tasks slows the services beside them, throttled or not."""
    await _add_workers(harness)
    declared = batch("noisy", 1.0, LASTING_SECONDS)
    gentle = behaviours.Behaviour(await _publish_anew(harness, declared))
    noisy = gentle._replace(noise=3.0)
    since = time.monotonic()
    await _behave(harness, gentle)
    job_id = await _submit_lasting(harness, gentle.template, NOISY_TASKS)
    await harness.wait_decided(job_id, "started")
    await _behave(harness, noisy)

    async def evicted() -> bool:
        return bool(_evicted(harness, {job_id}))

    await harness.wait("a noisy task is evicted", evicted)
    await _behave(harness, gentle)
    found = _evicted(harness, {job_id})
    throttled = _events(harness, "throttled", since)
    for run in found:
        earlier = [r for r in throttled if r.fields["task"] == run.task]
        assert earlier, f"{run.task} was evicted without a throttle"
    most = budget.MIN_BURST * len(set(harness.zone_of.values()))
    assert len(found) <= most + 1, f"{len(found)} evictions"
    await _hurry(harness, gentle)
    for run in found:
        await harness.wait_moved(run)
    await harness.wait_finished(job_id)
    await _behave(harness)


async def _add_workers(harness: Harness) -> None:
    """Adds a worker to each zone, on which no service limits batch tasks."""
    for zone in sorted(set(harness.zone_of.values())):
        name = f"w-{zone}"
        if name not in harness.workers:
            harness.zone_of[name] = zone
            await harness.start_standin(name)


async def _behave(harness: Harness, *shown: behaviours.Behaviour) -> None:
    """Has the tasks of templates differ from what is declared."""
    fields = [told._asdict() for told in shown]
    switched = {"templates": fields, "report_late_seconds": LATE_SECONDS}
    for name in harness.worker_names():
        await harness.set_worker_faults(name, switched if shown else {})


async def _hurry(harness: Harness, *shown: behaviours.Behaviour) -> None:
    """Has lasting tasks end soon, and make no more noise."""
    hurried = [
        told._replace(run_ratio=HURRY_RATIO, noise=0.0) for told in shown
    ]
    await _behave(harness, *hurried)


async def _submit_lasting(harness: Harness, template: str, tasks: int) -> str:
    """Submits a job that must finish."""
    submitter = harness.load.new_operator("lasting")
    job_id = await harness.load.submit_job(submitter, template, tasks)
    harness.load.accepted_jobs.append(job_id)
    return job_id


def _events(
    harness: Harness, event: str, since: float = 0.0
) -> list[audit_trail.Record]:
    """Returns records of workers of one kind since a time."""
    return [
        record
        for name in harness.worker_names()
        for record in harness.read_trail(name)
        if record.event == event and record.monotonic > since
    ]


def _last_uses(harness: Harness, since: float) -> list[str]:
    """Returns whether each worker last went over its capacity, or back."""
    last: dict[str, audit_trail.Record] = {}
    for event in ("use_over", "use_within"):
        for record in _events(harness, event, since):
            before = last.get(record.source, record)
            if record.monotonic >= before.monotonic:
                last[record.source] = record
    return [record.event for record in last.values()]


def _evicted(harness: Harness, jobs: set[str]) -> list[audit.Run]:
    return [run for run in _runs_of(harness, jobs) if run.detail == "evicted"]


async def _leave_in_a_wave(harness: Harness) -> None:
    """Has callers leave while their requests run, and others served."""
    for name in harness.worker_names():
        await harness.set_worker_faults(name, {"slow_seconds": SLOW_SECONDS})
    with trio.move_on_after(LEAVE_SECONDS):
        async with trio.open_nursery() as callers:
            for _ in range(LEAVING_CALLERS):
                callers.start_soon(harness.caller.send_request)
    for name in harness.worker_names():
        await harness.set_worker_faults(name, {})
    await harness.wait_steady(STEADY_REQUESTS)


async def _cancel(harness: Harness, jobs: list[str]) -> None:
    """Cancels jobs at once, and waits until they show as cancelled."""
    async with trio.open_nursery() as nursery:
        for job_id in jobs:
            canceller = harness.load.new_operator("canceller")
            path = f"/v1/jobs/{job_id}/cancel"
            nursery.start_soon(canceller.change, "POST", path)

    async def cancelled() -> bool:
        shown = await harness.load.jobs()
        return all(shown.get(job_id) == "cancelled" for job_id in jobs)

    await harness.wait("jobs are cancelled", cancelled)


def _runs_of(harness: Harness, jobs: set[str]) -> list[audit.Run]:
    """Returns the runs of the tasks of jobs."""
    return [
        run
        for name in harness.worker_names()
        for run in audit.runs_of(harness.read_trail(name))
        if run.task.partition("/")[0] in jobs
    ]


def _running(harness: Harness, jobs: set[str]) -> list[audit.Run]:
    return [run for run in _runs_of(harness, jobs) if run.state == "killed"]
