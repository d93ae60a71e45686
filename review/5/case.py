"""A heartbeat from another writer has a number of another type."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

# pylint: disable=wrong-import-position
import lab as labs

JOB = "5c0e7a21d94b36f8"
# For this time the other writer sends its heartbeats, at the usual interval,
# to the next node if one doesn't acknowledge them.
HEARTBEATS_SECONDS = 40.0
# The rule: on half of the core, processes end by themselves three times.
MACHINES = 2
ENDS = 3


def script(lab: labs.Lab) -> bool:
    """Play the case; return whether the processes of the core stayed up."""
    replicas, entry = lab.start_core()
    controls = [each.control for each in replicas]
    lab.configure(controls)
    for number in range(5):
        lab.start_worker(number, 1, controls)
    lab.sleep(4.0)
    step = {"count": 2, "cpu": 2000, "mem_mb": 1000, "est_duration_ms": 1000}
    lab.submit(entry, JOB, "run forever", {**step, "long_running": True})
    until = time.monotonic() + HEARTBEATS_SECONDS
    sequence = 0
    while time.monotonic() < until:
        sequence += 1
        send_heartbeat(lab, controls, sequence)
        time.sleep(labs.HEARTBEAT_MS / 1000)
    lab.client("GET", entry, JOB)
    for each in replicas:
        lab.note(f"{each.name} ended by itself {len(each.ends)} times")
    ended = sum(len(each.ends) >= ENDS for each in replicas)
    return ended < MACHINES


def send_heartbeat(lab: labs.Lab, controls: list[str], sequence: int) -> None:
    """Send one heartbeat of the other writer, to each node until one answers.

    With the disruption, `cpu` is a fraction beyond all whole numbers.
    """
    document = {
        "service": "desk",
        "address": f"{lab.net}.90:8080",
        "machine": "m-00090",
        "zone": labs.ZONES[0],
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {
            "cpu": 1.6e30 if lab.trouble else 16000,
            "mem_mb": 32768,
            "gpu": 0,
        },
        "labels": ["a", "r1-1"],
        "clock_ms": 5000 + sequence * labs.HEARTBEAT_MS,
        "seq": sequence,
    }
    for control in controls:
        status, _ = lab.call(
            "POST",
            control,
            "/v1/instances/i-9099other/heartbeat",
            document,
            timeout=1.0,
        )
        lab.note(f"other writer: heartbeat {sequence} to {control} -> {status}")
        if 200 <= status < 300:
            return


if __name__ == "__main__":
    labs.play(CASE, script)
