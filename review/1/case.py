"""A second disk is lost after a replica was replaced in a planned way."""

import pathlib
import shutil
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

# pylint: disable=wrong-import-position
import lab as labs

# Time that the new replica has before the old one is stopped; the pages allow
# it `catch_up_s`, 4 s, to take up its part.
NEW_ONE_FIRST_SECONDS = 6.0
# Time from the end of the removed replica to the loss of the next disk, also
# longer than `catch_up_s`.
LOSS_AFTER_SECONDS = 4.2
# Time until the machine that lost its disk is back.
BACK_AFTER_SECONDS = 1.0
# From the return of the machine: `recovery_s`, and `finish_s` for the answers.
ANSWER_SECONDS = labs.BOUNDS["recovery_s"] + labs.BOUNDS["finish_s"]
LASTING_JOB, DONE_JOB = "5c0e7a21d94b36f8", "6d1f8b32ea5c4709"


def script(lab: labs.Lab) -> bool:
    """Play the case; return whether what was acknowledged is answered for."""
    replicas, entry = lab.start_core()
    removed, second, third = replicas
    lab.configure([each.control for each in replicas])
    controls = [second.control, third.control, removed.control]
    for number in range(5):
        lab.start_worker(number, 1, controls)
    lab.wait_for(
        "five workers are up",
        lambda: sum(row["event"] == "up" for row in lab.trail()) == 5,
        10.0,
    )
    lab.sleep(3.0)
    step = {"count": 2, "cpu": 2000, "mem_mb": 1000, "est_duration_ms": 1000}
    lab.submit(entry, DONE_JOB, "run 1", step)
    lab.submit(
        entry, LASTING_JOB, "run forever", {**step, "long_running": True}
    )
    lab.wait_for(
        "the first job is completed",
        lambda: lab.client("GET", entry, DONE_JOB)[1] == {"state": "completed"},
        10.0,
    )
    members = [second, third]
    if lab.trouble:
        fourth = lab.program("core-4", 14, "replica", labs.ZONES[0])
        fourth.start([each.control for each in replicas])
        members.append(fourth)
        lab.sleep(NEW_ONE_FIRST_SECONDS)
        removed.terminate()
        lab.note("core-1 has been replaced by core-4")
        lab.sleep(LOSS_AFTER_SECONDS)
        version = lab.configure([second.control, third.control])
        second.kill()
        shutil.rmtree(second.data)
        lab.note("core-2 has lost its disk")
        lab.sleep(BACK_AFTER_SECONDS)
        second.start([each.control for each in members])
    else:
        lab.sleep(NEW_ONE_FIRST_SECONDS + LOSS_AFTER_SECONDS)
        version = lab.configure([second.control, third.control])
    return answered(lab, entry, members, version)


def answered(lab, entry, members, version: int) -> bool:
    """Return whether jobs and configuration are answered for in time."""
    wanted = {LASTING_JOB: "active", DONE_JOB: "completed"}
    read = 0
    until = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < until and (wanted or read < version):
        for job in list(wanted):
            status, answer = lab.client("GET", entry, job)
            if status == 200 and answer["state"] == wanted[job]:
                del wanted[job]
        for each in members:
            status, answer = lab.call(
                "GET", each.control, "/v1/config/read", timeout=1.0
            )
            lab.note(f"operator: read at {each.name} -> {status}")
            if status == 200:
                read = max(read, answer["version"])
        lab.sleep(0.5)
    for job in wanted:
        lab.note(f"job {job} was accepted, and isn't answered for in time")
    if read < version:
        lab.note(
            f"version {version} was acknowledged, and is not read back in time"
        )
    return not wanted and read >= version


if __name__ == "__main__":
    labs.play(CASE, script)
