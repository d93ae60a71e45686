"""A task runs twice after its worker has started again under its id."""

import asyncio
import pathlib
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # pylint: disable=wrong-import-position

# One of ten workers goes down, once.
WORKERS = 10
# For how long the worker is silent.
DOWN_MS = 650
# Most that a stop takes (`stop_grace_ms`); each stop takes nine tenths of it.
STOP_GRACE_MS = 400
WATCH_SECONDS = 14.0
WORK_MS = 300


class _Judge:
    """What workers have begun, ended and been told to forget.

    Attributes:
        broken: What broke the rule.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        # Runs under way, by task: name of the worker and number of the run.
        self._running: dict[str, set[tuple[str, int]]] = {}
        self._done: dict[str, tuple[str, int]] = {}
        # Tasks of which the first such end was taken note of, and starts after
        # it that count once it is.
        self._noted: set[str] = set()
        self._restarts: dict[str, str] = {}

    def observe(
        self, process: deployments.Process, event: dict[str, Any]
    ) -> None:
        """Take note of a line of a worker."""
        what = event["what"]
        if what == "down":
            # What ran there ends with its life.
            for runs in self._running.values():
                runs.difference_update(
                    [key for key in runs if key[0] == process.name]
                )
        if what not in ("start", "end", "noted"):
            return
        task, number = event["task"], event["run"]
        runs = self._running.setdefault(task, set())
        key = (process.name, number)
        if what == "start":
            for worker, other in runs:
                self.broken.append(
                    f"run {number} of {task} began on {process.name} while run"
                    f" {other} was under way on {worker}"
                )
            if task in self._done:
                worker, other = self._done[task]
                text = (
                    f"run {number} of {task} began on {process.name} after run"
                    f" {other} had ended done on {worker}, of which note was"
                    " taken"
                )
                if task in self._noted:
                    self.broken.append(text)
                else:
                    self._restarts[task] = text
            runs.add(key)
        elif what == "end":
            runs.discard(key)
            if event["how"] == "done":
                self._done.setdefault(task, key)
        elif event["how"] == "done" and self._done.get(task) == key:
            if task in self._restarts:
                self.broken.append(self._restarts.pop(task))
            else:
                self._noted.add(task)


async def play(deployment: deployments.Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    judge = _Judge()
    deployment.on_event.append(judge.observe)
    await deployment.start()
    await deployment.configure(1, [deployments.route("q", "/q/", "desk")])
    for number in range(WORKERS):
        await deployment.start_worker(
            f"worker-{number}",
            keeps_id=True,
            stop_ms=STOP_GRACE_MS * 9 // 10,
            cpu_asked=4_000,
        )
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    if trouble:
        # The first worker that is told to start something goes down then.
        for worker in deployment.workers.values():
            worker.tell(f"fall {DOWN_MS}")

    def spare_others(
        process: deployments.Process, event: dict[str, Any]
    ) -> None:
        if event["what"] == "down":
            for worker in deployment.workers.values():
                if worker is not process:
                    worker.tell("stand")

    deployment.on_event.append(spare_others)
    step = {
        "count": 1,
        "cpu": 4000,
        "mem_mb": 100,
        "est_duration_ms": WORK_MS,
    }
    path = f"/q/{deployments.job_id()}"
    await deployment.submit(path, {"spec": f"work {WORK_MS}", "steps": [step]})
    deadline = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < deadline:
        await asyncio.sleep(1.0)
        if await deployment.state(path) == "completed":
            break
    # The ends that are listed then are taken note of within a poll or two.
    await asyncio.sleep(3.0)
    return "; ".join(judge.broken)


deployments.main(FOLDER, play)
