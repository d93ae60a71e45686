"""A task runs on after the cancelling of its job was acknowledged."""

import asyncio
import pathlib
import signal
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # pylint: disable=wrong-import-position

ENTRIES = 8
WORKERS = 4
FREEZE_SECONDS = 5.0
# For how long the client waits for the answer to its submission.
DEADLINE_SECONDS = 3.0
# `contact_ms`, `cancel_ms` and `stop_grace_ms`, and what this test may be late.
CONTACT_SECONDS, CANCEL_SECONDS, STOP_SECONDS = 3.0, 3.0, 0.4
MARGIN_SECONDS = 1.0
ACKNOWLEDGED = (200, 202, 204, 410)


async def play(deployment: deployments.Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    running: dict[tuple[str, int], float] = {}

    def observe(_: deployments.Process, event: dict[str, Any]) -> None:
        if event["what"] == "start":
            running[event["task"], event["run"]] = time.monotonic()
        elif event["what"] == "end":
            running.pop((event["task"], event["run"]), None)

    deployment.on_event.append(observe)
    await deployment.start(ENTRIES)
    await deployment.configure(1, [deployments.route("q", "/q/", "desk")])
    for number in range(WORKERS):
        await deployment.start_worker(f"worker-{number}")
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    frozen = deployment.entries[0]
    if trouble:
        deployment.note(f"SIGSTOP to {frozen.name}")
        frozen.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    job = deployments.job_id()
    path = f"/q/{job}"
    await deployment.client(
        "POST",
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
        entry=0,
        timeout_seconds=DEADLINE_SECONDS,
    )
    # The client has no answer and does not want the job any more.
    answer = None
    for number in range(1, ENTRIES):
        answer = await deployment.client("DELETE", path, entry=number)
        if answer is not None and answer.status in ACKNOWLEDGED:
            break
    if answer is None or answer.status not in ACKNOWLEDGED:
        raise deployments.CouldNotRun("the cancelling was not acknowledged")
    cancelled_at = time.monotonic()
    if trouble:
        await asyncio.sleep(frozen_at + FREEZE_SECONDS - time.monotonic())
        deployment.note(f"SIGCONT to {frozen.name}")
        frozen.signal(signal.SIGCONT)
    # A stretch without a disruption near, in which a task has to be gone.
    await asyncio.sleep(
        CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + MARGIN_SECONDS
    )
    state = await deployment.state(path)
    left = [
        f"{task} run {run}" for task, run in running if task.startswith(job)
    ]
    if not left:
        return ""
    return (
        f"{', '.join(left)} began after the cancelling was acknowledged with"
        f" {answer.status}, and runs on"
        f" {time.monotonic() - cancelled_at:.1f} s after that; the job is"
        f" {state}"
    )


deployments.main(FOLDER, play)
