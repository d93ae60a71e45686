"""One job with many steps stops the whole service."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-3"))

import platform_model  # noqa: E402

# The large job is within the published limits: its text has below 4,000 bytes,
# and its body below max_body_bytes, 262,144.
LARGE_TASKS = 3500
LARGE = {"count": 1, "cpu": 10, "mem_mb": 1, "est_duration_ms": 200}
STEP = {"count": 2, "cpu": 1000, "mem_mb": 256, "est_duration_ms": 2000}
ORDINARY_JOBS = 6
# Bounds of the rules: `finish_s`, and 3 s without a running task.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
# For how long each job is asked for then; each call waits 3 s at most.
ASK_SECONDS = 12.0


def has_turn(world, job):
    """Return whether a task of a job may run, and none of the job runs."""
    steps = world.jobs[job]["body"]["steps"]
    for number, step in enumerate(steps):
        names = [f"{job}.0.{number}.{each}" for each in range(step["count"])]
        if any(world.running.get(name) for name in names):
            return False
        if not all(name in world.done for name in names):
            return True
    return False


async def main(world, trouble):
    """Run the case; return whether it could run."""
    world.start_programs()
    await world.configure()
    await world.start_workers(12)
    if not await world.wait_ready():
        return False
    chain = [STEP] + [{**STEP, "after": [number]} for number in range(3)]
    jobs = []
    for _ in range(ORDINARY_JOBS):
        jobs.append(await world.submit("batch", chain))
        await asyncio.sleep(0.3)
    if not all(jobs):
        return False
    # The same work in one step is handed in without trouble.
    steps = [{**LARGE, "count": LARGE_TASKS}]
    if trouble:
        steps = [LARGE] * LARGE_TASKS
    await world.submit("batch", steps, tries=1)
    world.record.add("end of the traffic")
    await asyncio.sleep(FINISH_SECONDS)
    answers = {job: set() for job in jobs}
    idle_since = {}
    idle = {}

    async def ask(job):
        until = time.monotonic() + ASK_SECONDS
        while time.monotonic() < until:
            answers[job].add(await world.state(job))
            await asyncio.sleep(0.5)

    async def watch():
        while True:
            now = time.monotonic()
            for job in jobs:
                if has_turn(world, job):
                    since = idle_since.setdefault(job, now)
                    idle[job] = max(idle.get(job, 0.0), now - since)
                else:
                    idle_since.pop(job, None)
            await asyncio.sleep(0.05)

    watching = world.spawn(watch())
    await asyncio.gather(*(ask(job) for job in jobs))
    watching.cancel()
    for job in jobs:
        if all(each.isdecimal() for each in answers[job]):
            world.broke(
                "LOST",
                f"accepted job {job} gets no answer in {ASK_SECONDS} s,"
                f" only {sorted(answers[job])}",
            )
        if idle.get(job, 0.0) > IDLE_SECONDS:
            world.broke(
                "LOST",
                f"accepted job {job} has nothing running for"
                f" {idle[job]:.1f} s; the service is nearly empty",
            )
    return True


platform_model.run_case(main)
