"""A worker that leaves is cut off in one direction as it deregisters."""

import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

# pylint: disable=wrong-import-position
import lab as labs

WORKERS = 5
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
# Time for which the worker is cut off: the standard one of `srv_cut`.
CUT_SECONDS = 5.0
# The task goes on for longer than the worker lives.
RUN_SECONDS = 25


def script(lab: labs.Lab) -> bool:
    """Play the case; return whether no two runs of the task overlapped."""
    replicas, entry = lab.start_core()
    lab.configure([each.control for each in replicas])
    proxies: dict[str, list[labs.Proxy]] = {}
    processes = {}
    for number in range(WORKERS):
        own = labs.Proxy(
            f"{lab.net}.{150 + number}:8080", f"{lab.net}.{100 + number}:8080"
        )
        controls = [
            labs.Proxy(f"{lab.net}.{150 + number}:{9000 + n}", each.control)
            for n, each in enumerate(replicas)
        ]
        process = lab.start_worker(
            number, 1, [each.address for each in controls], own.address
        )
        proxies[process.worker_id] = [own, *controls]
        processes[process.worker_id] = process
    lab.sleep(4.0)
    step = {
        "count": 1,
        "cpu": 2000,
        "mem_mb": 1000,
        "est_duration_ms": RUN_SECONDS * 1000,
    }
    lab.submit(entry, JOB, f"run {RUN_SECONDS}", step)
    started = lab.wait_for(
        "the task runs", lambda: events(lab, "started", task=TASK), 10.0
    )
    leaving = started[0]["worker"]
    lab.sleep(1.0)
    lab.note(f"worker {leaving} is asked to leave")
    processes[leaving].send_signal(signal.SIGUSR1)
    lab.wait_for(
        "the last heartbeat before the end",
        lambda: events(lab, "last heartbeat acknowledged", worker=leaving),
        15.0,
    )
    own, *controls = proxies[leaving]
    if lab.trouble:
        lab.note(f"nothing reaches {leaving} for {CUT_SECONDS} s")
        own.cut.add("forward")
        for each in controls:
            each.cut.add("back")
    lab.sleep(CUT_SECONDS)
    own.cut.clear()
    for each in controls:
        each.cut.clear()
    lab.note("the cut has healed")
    processes[leaving].wait(20)
    lab.client("GET", entry, JOB)
    return not overlaps(lab)


def events(lab: labs.Lab, event: str, **fields) -> list[dict]:
    """Return the events of a kind with given fields."""
    return [
        row
        for row in lab.trail()
        if row["event"] == event
        and all(row.get(name) == value for name, value in fields.items())
    ]


def overlaps(lab: labs.Lab) -> bool:
    """Return whether two runs of the task were at work at the same time."""
    now = time.monotonic()
    spans = []
    for start in events(lab, "started", task=TASK):
        ends = [
            row["at"]
            for kind in ("ended", "terminated")
            for row in events(
                lab, kind, task=TASK, run=start["run"], worker=start["worker"]
            )
        ]
        end = min(ends, default=now)
        spans.append((start["at"], end, start["run"], start["worker"]))
        lab.note(
            f"run {start['run']} on {start['worker']}:"
            f" {start['at'] - lab.began:.3f} to {end - lab.began:.3f}"
        )
    spans.sort()
    found = False
    for first, second in zip(spans, spans[1:]):
        if second[0] < first[1]:
            found = True
            lab.note(
                f"runs {first[2]} and {second[2]} were at work at the same"
                f" time for {min(first[1], second[1]) - second[0]:.3f} s"
            )
    return found


if __name__ == "__main__":
    labs.play(CASE, script)
