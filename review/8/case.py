"""A job that lasts is given up after two crashes of its workers."""

import asyncio
import pathlib
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # pylint: disable=wrong-import-position

WORKERS = 8
CRASHES = 2
# From a start of the task to the crash of its worker.
CRASH_AFTER_SECONDS = 0.25
# For how long a crashed worker is down.
DOWN_SECONDS = 2.0
# For how long the job is looked at after the last crash.
WATCH_SECONDS = 16.0


async def play(deployment: deployments.Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    starts: asyncio.Queue[deployments.Process] = asyncio.Queue()
    failed_ends: list[dict[str, Any]] = []

    def observe(process: deployments.Process, event: dict[str, Any]) -> None:
        if event["what"] == "start":
            starts.put_nowait(process)
        elif event["what"] == "end" and event["how"] == "failed":
            failed_ends.append(event)

    deployment.on_event.append(observe)
    await deployment.start()
    await deployment.configure(1, [deployments.route("q", "/q/", "desk")])
    for number in range(WORKERS):
        await deployment.start_worker(f"worker-{number}")
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    path = f"/q/{deployments.job_id()}"
    await deployment.submit(
        path,
        {
            "spec": "lasts",
            "steps": [
                {
                    "count": 1,
                    "cpu": 2000,
                    "mem_mb": 100,
                    "est_duration_ms": 60000,
                    "long_running": True,
                }
            ],
        },
    )
    for number in range(CRASHES if trouble else 0):
        try:
            async with asyncio.timeout(20.0):
                worker = await starts.get()
        except TimeoutError:
            break
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        deployment.note(f"crash {number + 1}: SIGKILL to {worker.name}")
        await worker.end()
        await asyncio.sleep(DOWN_SECONDS)
        await deployment.start_worker(worker.name)
    deadline = time.monotonic() + WATCH_SECONDS
    state = ""
    while time.monotonic() < deadline:
        await asyncio.sleep(1.0)
        state = await deployment.state(path)
        if state == "failed" and not failed_ends:
            return (
                "the job is shown as failed, though no run of it has ended"
                " failed and nobody has cancelled it"
            )
    return ""


deployments.main(FOLDER, play)
