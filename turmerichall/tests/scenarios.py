"""Fault scenarios for a running cluster.

Each scenario injects faults, waits until the system has recovered from them or
tolerates them as required, and repairs them.  The caller audits the cluster
afterwards.
"""

import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from turmerichall.tests import faulty_cluster
from turmerichall.tests import harness as harnesses
from turmerichall.tests import job_scenarios
from turmerichall.tests import load as loads
from turmerichall.tests import random_faults
from turmerichall.tests import recovery_scenarios
from turmerichall.tests.standins import operator

__all__ = ["GROUPS", "SCENARIOS", "Scenario"]

RACE_ROUNDS = 10
CONSECUTIVE_REQUESTS = 40

Harness = harnesses.Harness


async def kill_replica(harness: Harness) -> None:
    """Kill and restart a daemon with a disk."""
    await harness.kill("i1")
    await harness.wait_served(20)
    await harness.wait_accepted(2)
    await harness.restart("i1")


async def kill_leader_twice(harness: Harness) -> None:
    """Kill and restart the leader, and then the next leader."""
    for _ in range(2):
        leader = await harness.wait_leader()
        await harness.kill(leader)
        await harness.wait_accepted(2)
        await harness.restart(leader)
        await harness.wait_converged()


async def kill_worker(harness: Harness) -> None:
    """Kill a worker; its tasks must be rescheduled after their leases."""
    run = await harness.wait_task_start()
    await harness.kill(run.worker)
    await harness.wait_rescheduled(run)
    await harness.start_proxied_worker(run.worker)


async def kill_authority_twice(harness: Harness) -> None:
    """Kill the holder of a zone's grant, and then its successor."""
    for _ in range(2):
        holder, epoch = await harness.find_grant("z1")
        await harness.kill(holder)
        await harness.wait_takeover("z1", epoch)
        await harness.restart(holder)


async def freeze_worker(harness: Harness) -> None:
    """Pause a worker for longer than its leases, and resume it."""
    run = await harness.wait_task_start()
    harness.send_signal(run.worker, signal.SIGSTOP)
    await harness.wait_rescheduled(run)
    harness.send_signal(run.worker, signal.SIGCONT)


async def freeze_authority(harness: Harness) -> None:
    """Pause the holder of a grant past the grant's expiry, and resume it."""
    holder, epoch = await harness.find_grant("z2")
    harness.send_signal(holder, signal.SIGSTOP)
    await harness.wait_takeover("z2", epoch)
    await harness.wait_accepted(2)
    harness.send_signal(holder, signal.SIGCONT)


async def silent_connections(harness: Harness) -> None:
    """Silence every open connection for good; new ones work."""
    harness.silence_connections()
    await harness.wait_served(30)
    await harness.wait_accepted(3)


async def one_way_cut(harness: Harness) -> None:
    """Drop traffic from one daemon to another, in this direction only."""
    harness.partition_one_way("i1", "i2")
    await harness.wait_served(20)
    await harness.wait_accepted(3)


async def zone_cut(harness: Harness) -> None:
    """Partition a zone.

    Both sides must serve requests; only the side with the quorum may accept
    changes.
    """
    harness.partition_zone("z3")
    await harness.wait_served(10, "i3")
    await harness.wait_served(10, "i1", "i2")
    await harness.wait_accepted(3)
    partitioned_operator = harness.load.new_operator("inside", "i3")
    document = {"base_version": 0, "body": loads.customer(1)}
    reply = await partitioned_operator.send(
        harness.instances["i3"].operators,
        "PUT",
        loads.CUSTOMER_PATH,
        document,
        partitioned_operator.new_operation_id(),
    )
    assert reply.status in (0, 503, 504), reply


async def lost_disk(harness: Harness) -> None:
    """Wipe the disk of a replica; once it is a voter again, kill another."""
    await harness.kill("i2")
    harness.wipe_disk("i2")
    await harness.wait_accepted(2)
    await harness.restart("i2")
    await harness.wait_voters(faulty_cluster.INSTANCES_WITH_DISK)
    await harness.kill("i1")
    await harness.wait_accepted(2)
    await harness.restart("i1")


async def operator_race(harness: Harness) -> None:
    """Let two operators revise a version; one must get a conflict."""
    racers = [
        harness.load.new_operator("race-1", "i1"),
        harness.load.new_operator("race-2", "i2"),
    ]
    async with harness.load.paused():
        await harness.wait_converged()
        for _ in range(RACE_ROUNDS):
            base = harness.load.accepted_version
            statuses = await _revise_concurrently(racers, base)
            assert sorted(statuses) == [200, 409], statuses
            harness.load.accepted_version = base + 1


async def _revise_concurrently(
    racers: list[operator.Operator], base: int
) -> list[int]:
    """Let all operators revise a version at once; return the statuses."""
    document = {"base_version": base, "body": loads.customer(90)}
    statuses: list[int] = []

    async def revise(racer: operator.Operator) -> None:
        reply = await racer.change("PUT", loads.CUSTOMER_PATH, document)
        statuses.append(reply.status)

    async with trio.open_nursery() as nursery:
        for racer in racers:
            nursery.start_soon(revise, racer)
    return statuses


async def resend_after_lost_answer(harness: Harness) -> None:
    """Resend a change whose answer was lost through another instance."""
    sender = harness.load.new_operator("resender", "i1")
    again = harness.load.new_operator("resender", "i2")
    operation_id = sender.new_operation_id()
    path = loads.CUSTOMER_PATH
    async with harness.load.paused():
        await harness.wait_converged()
        base = harness.load.accepted_version
        document = {"base_version": base, "body": loads.customer(77)}
        with trio.move_on_after(0.01):
            await sender.change("PUT", path, document, operation_id)
        for _ in range(2):
            reply = await again.change("PUT", path, document, operation_id)
            assert reply.status == 200, reply
            assert reply.body["version"] == base + 1, reply
        harness.load.accepted_version = base + 1


async def rolling_upgrade(harness: Harness) -> None:
    """Restart each daemon in turn, then drain and restart each worker.

    No request may fail.
    """
    await harness.wait_consecutive_served(CONSECUTIVE_REQUESTS)
    before = harness.failed_requests()
    for name in tuple(harness.instances):
        assert await harness.stop(name) == 0
        await harness.restart(name)
        await harness.wait_converged()
    for name in harness.worker_names():
        await harness.set_intention(name, "drain")
        await harness.wait_takes_new_work(name, takes_new_work=False)
        assert await harness.stop(name) == 0
        await harness.start_proxied_worker(name)
        await harness.set_intention(name, "resume")
        await harness.wait_takes_new_work(name)
    failed = harness.failed_requests() - before
    assert not failed, f"{len(failed)} requests failed: {failed}"


async def failing_worker(harness: Harness) -> None:
    """Let a worker fail every task it starts; others must finish the job."""
    await harness.set_worker_faults("w3", {"fail_starts": True})
    submitter = harness.load.new_operator("during")
    job_id = await harness.load.submit(submitter)
    await harness.wait_finished(job_id)
    await harness.set_worker_faults("w3", {})


async def wrong_answers(harness: Harness) -> None:
    """Let a worker send wrong request ids, and then truncated answers."""
    for fault in ({"wrong_request_id": True}, {"truncate": True}):
        await harness.set_worker_faults("w1", fault)
        await harness.wait_served(20)
    await harness.set_worker_faults("w1", {})


async def zone_cut_and_kill(harness: Harness) -> None:
    """Partition a zone and kill a replica elsewhere: no quorum is left."""
    run = await harness.wait_task_start()
    harness.send_signal(run.worker, signal.SIGSTOP)
    harness.partition_zone("z3")
    await harness.kill("i1")
    await harness.wait_served(20, "i2", "i3")
    harness.heal()
    await harness.restart("i1")
    await harness.wait_rescheduled(run)
    harness.send_signal(run.worker, signal.SIGCONT)


async def silent_and_cut_twice(harness: Harness) -> None:
    """Silence connections, and partition two zones in turn."""
    harness.silence_connections()
    for zone, instance in (("z1", "i1"), ("z2", "i2")):
        harness.partition_zone(zone)
        await harness.wait_served(5, instance)
        await harness.wait_accepted(2)
        harness.silence_connections()
        harness.heal()
        await harness.wait_converged()


class Scenario(NamedTuple):
    """A scenario and its group.

    Attributes:
        run: Injects faults, waits and repairs them.
        group: Scenarios of a group run in sequence on the same cluster.
    """

    run: Callable[[Harness], Awaitable[None]]
    group: str

    @property
    def name(self) -> str:
        """Return the name of the scenario."""
        return self.run.__name__


SCENARIOS = (
    Scenario(kill_replica, "instances"),
    Scenario(kill_leader_twice, "instances"),
    Scenario(kill_authority_twice, "instances"),
    Scenario(freeze_authority, "instances"),
    Scenario(kill_worker, "workers"),
    Scenario(freeze_worker, "workers"),
    Scenario(failing_worker, "workers"),
    Scenario(wrong_answers, "workers"),
    Scenario(silent_connections, "links"),
    Scenario(one_way_cut, "links"),
    Scenario(zone_cut, "links"),
    Scenario(lost_disk, "state"),
    Scenario(operator_race, "state"),
    Scenario(resend_after_lost_answer, "state"),
    Scenario(rolling_upgrade, "upgrade"),
    Scenario(zone_cut_and_kill, "together"),
    Scenario(silent_and_cut_twice, "together"),
    Scenario(recovery_scenarios.torn_log, "disks"),
    Scenario(recovery_scenarios.damaged_log, "disks"),
    Scenario(recovery_scenarios.hundreds_pending, "disks"),
    Scenario(recovery_scenarios.isolated_long, "disks"),
    Scenario(job_scenarios.never_runs, "work"),
    Scenario(job_scenarios.cancel_waves, "work"),
    Scenario(job_scenarios.wrong_sizes, "work"),
    Scenario(job_scenarios.noisy_wave, "noise"),
    Scenario(random_faults.drawn_pairs, "pairs"),
)

GROUPS = tuple(dict.fromkeys(scenario.group for scenario in SCENARIOS))
