"""Scenarios: what fails, and what has to be seen before it is repaired.

Each scenario injects its faults into a running cluster, waits until the
system has dealt with them, and repairs them.  The caller audits afterwards.
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
STEADY_REQUESTS = 40

Harness = harnesses.Harness


async def kill_replica(harness: Harness) -> None:
    """A daemon with a disk is killed and comes back."""
    await harness.kill("i1")
    await harness.wait_served(20)
    await harness.wait_accepted(2)
    await harness.restart("i1")


async def kill_leader_twice(harness: Harness) -> None:
    """The leading replica is killed, and after a repair the next one."""
    for _ in range(2):
        leader = await harness.wait_leader()
        await harness.kill(leader)
        await harness.wait_accepted(2)
        await harness.restart(leader)
        await harness.wait_alike()


async def kill_worker(harness: Harness) -> None:
    """A worker is killed; its tasks run elsewhere after their leases."""
    run = await harness.wait_started()
    await harness.kill(run.worker)
    await harness.wait_moved(run)
    await harness.start_standin(run.worker)


async def kill_authority_twice(harness: Harness) -> None:
    """The holder of a zone's grant is killed, and then the one after it."""
    for _ in range(2):
        holder, epoch = await harness.grant("z1")
        await harness.kill(holder)
        await harness.wait_taken_over("z1", epoch)
        await harness.restart(holder)


async def freeze_worker(harness: Harness) -> None:
    """A worker stops for longer than its leases, and then goes on."""
    run = await harness.wait_started()
    harness.send_signal(run.worker, signal.SIGSTOP)
    await harness.wait_moved(run)
    harness.send_signal(run.worker, signal.SIGCONT)


async def freeze_authority(harness: Harness) -> None:
    """The holder of a grant stops for longer than its term, and goes on."""
    holder, epoch = await harness.grant("z2")
    harness.send_signal(holder, signal.SIGSTOP)
    await harness.wait_taken_over("z2", epoch)
    await harness.wait_accepted(2)
    harness.send_signal(holder, signal.SIGCONT)


async def silent_connections(harness: Harness) -> None:
    """Every open connection goes silent for good, while new ones work."""
    harness.silence_connections()
    await harness.wait_served(30)
    await harness.wait_accepted(3)


async def one_way_cut(harness: Harness) -> None:
    """What one daemon sends to another is lost, not what comes back."""
    harness.cut_one_way("i1", "i2")
    await harness.wait_served(20)
    await harness.wait_accepted(3)


async def zone_cut(harness: Harness) -> None:
    """A zone is cut off; both sides serve, only the quorum's side changes."""
    harness.cut_zone("z3")
    await harness.wait_served(10, "i3")
    await harness.wait_served(10, "i1", "i2")
    await harness.wait_accepted(3)
    inside = harness.load.new_operator("inside", "i3")
    document = {"base_version": 0, "body": loads.customer(1)}
    reply = await inside.send(
        harness.instances["i3"].operators,
        "PUT",
        loads.CUSTOMER_PATH,
        document,
        inside.new_operation_id(),
    )
    assert reply.status in (0, 503, 504), reply


async def lost_disk(harness: Harness) -> None:
    """A replica loses its disk, and another is lost right after the repair."""
    await harness.kill("i2")
    harness.lose_disk("i2")
    await harness.wait_accepted(2)
    await harness.restart("i2")
    await harness.wait_voters(faulty_cluster.DISKS)
    await harness.kill("i1")
    await harness.wait_accepted(2)
    await harness.restart("i1")


async def operator_race(harness: Harness) -> None:
    """Two operators hold the same version; one wins, the other is told."""
    racers = [
        harness.load.new_operator("race-1", "i1"),
        harness.load.new_operator("race-2", "i2"),
    ]
    async with harness.load.paused():
        await harness.wait_alike()
        for _ in range(RACE_ROUNDS):
            base = harness.load.accepted_version
            statuses = await _race(racers, base)
            assert sorted(statuses) == [200, 409], statuses
            harness.load.accepted_version = base + 1


async def _race(racers: list[operator.Operator], base: int) -> list[int]:
    """Has all revise the same version at once; returns their statuses."""
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
    """A change whose answer was lost is sent again through another."""
    sender = harness.load.new_operator("resender", "i1")
    again = harness.load.new_operator("resender", "i2")
    operation_id = sender.new_operation_id()
    path = loads.CUSTOMER_PATH
    async with harness.load.paused():
        await harness.wait_alike()
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
    """Every daemon and worker is stopped in turn and started anew."""
    await harness.wait_steady(STEADY_REQUESTS)
    before = harness.failed_requests()
    for name in tuple(harness.instances):
        assert await harness.stop(name) == 0
        await harness.restart(name)
        await harness.wait_alike()
    for name in harness.worker_names():
        await harness.set_intention(name, "drain")
        await harness.wait_takes_work(name, takes=False)
        assert await harness.stop(name) == 0
        await harness.start_standin(name)
        await harness.set_intention(name, "resume")
        await harness.wait_takes_work(name)
    failed = harness.failed_requests() - before
    assert not failed, f"{len(failed)} requests failed: {failed}"


async def failing_worker(harness: Harness) -> None:
    """A worker fails every task that it starts; jobs finish elsewhere."""
    await harness.set_worker_faults("w3", {"fail_starts": True})
    submitter = harness.load.new_operator("during")
    job_id = await harness.load.submit(submitter)
    await harness.wait_finished(job_id)
    await harness.set_worker_faults("w3", {})


async def wrong_answers(harness: Harness) -> None:
    """Workers answer with another request's id, half answers and errors."""
    for fault in ({"wrong_request_id": True}, {"truncate": True}):
        await harness.set_worker_faults("w1", fault)
        await harness.wait_served(20)
    await harness.set_worker_faults("w1", {})


async def zone_cut_and_kill(harness: Harness) -> None:
    """A zone is cut off while a replica elsewhere is killed: no quorum."""
    run = await harness.wait_started()
    harness.send_signal(run.worker, signal.SIGSTOP)
    harness.cut_zone("z3")
    await harness.kill("i1")
    await harness.wait_served(20, "i2", "i3")
    harness.heal()
    await harness.restart("i1")
    await harness.wait_moved(run)
    harness.send_signal(run.worker, signal.SIGCONT)


async def silent_and_cut_twice(harness: Harness) -> None:
    """Silent connections, then two cuts of different zones in a row."""
    harness.silence_connections()
    for zone, inside in (("z1", "i1"), ("z2", "i2")):
        harness.cut_zone(zone)
        await harness.wait_served(5, inside)
        await harness.wait_accepted(2)
        harness.silence_connections()
        harness.heal()
        await harness.wait_alike()


class Scenario(NamedTuple):
    """One scenario of the table.

    Attributes:
        run: Injects the faults, waits and repairs them.
        group: Scenarios of a group run one after the other on one cluster.
    """

    run: Callable[[Harness], Awaitable[None]]
    group: str

    @property
    def name(self) -> str:
        """Returns its name."""
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
