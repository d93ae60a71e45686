"""Random histories of operations and faults on a small cluster."""

import random
from typing import NamedTuple

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.agreement.tests import history
from turmerichall.agreement.tests import history_faults
from turmerichall.customers import customer
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template

__all__ = ["Report", "run"]

KEYS = ("t0", "t1", "t2")
ZONE = "z1"
TIMING = replica_state.Timing(
    snapshot_entries=50, retained_entries=20, part_bytes=4096, batch_bytes=4096
)
SETTLE_SECONDS = 900.0


class Report(NamedTuple):
    """Result of one history.

    Attributes:
        seed: Its seed.
        steps: Number of operations and faults.
        calls: Number of calls whose outcome became known.
        attempts: Number of task attempts that were granted.
        faults: Number of injected faults.
        findings: Violations that were found, a sentence each.
    """

    seed: int
    steps: int
    calls: int
    attempts: int
    faults: int
    findings: list[str]


class _Applied(NamedTuple):
    """A change and its result, as one replica applied it."""

    data: bytes
    result: bytes


class _Machine(machines.StateMachine):
    """State machine that checks that all replicas apply the same entries."""

    def __init__(self, history_run: "_Run"):
        super().__init__()
        self.run = history_run

    def apply(self, index: int, data: bytes) -> bytes:
        result = super().apply(index, data)
        applied = _Applied(data, result)
        if self.run.applied.setdefault(index, applied) != applied:
            self.run.found.append(f"entry {index} differs between replicas")
        return result


class _Run:
    """One history; `found` collects the violations."""

    def __init__(self, nursery: trio.Nursery, seed: int, disks_recover: bool):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.cluster = clusters.Cluster(
            nursery, 3 + 2 * (seed % 2), seed, TIMING, lambda: _Machine(self)
        )
        self.applied: dict[int, _Applied] = {}
        self.found: list[str] = []
        self.calls: list[history.Call] = []
        self.attempts: list[history.Attempt] = []
        self.faults = history_faults.Faults(
            self.cluster, self.rng, disks_recover
        )
        self.newest_seen: dict[str, int] = {}
        self.last_ended: dict[str, int] = {}
        self.next_id = 0
        self.busy = 0

    def machine(self, name: str) -> machines.StateMachine:
        machine = self.cluster.machines[name]
        assert isinstance(machine, machines.StateMachine)
        return machine

    def new_id(self) -> int:
        self.next_id += 1
        return self.next_id

    def random_instance(self) -> str | None:
        """Return the name of a random running instance; None without one."""
        return self.rng.choice(sorted(self.cluster.replicas) or [None])

    async def propose(
        self, name: str, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Propose a change through an instance."""
        proposed = self.cluster.replicas[name].propose(changes.encode(change))
        result = await proposed
        if isinstance(result, bytes):
            return changes.decode_result(result)
        return result

    async def set_up(self) -> None:
        """Start all instances and accept a job of 6 tasks."""
        await self.cluster.start_all()
        leader = await self.cluster.wait_for_leader()
        self.cluster.zones.update(dict.fromkeys(history_faults.OBSERVERS, "o"))
        for name in history_faults.OBSERVERS:
            await self.cluster.start(name, disk=False)
        body = customer.Customer(
            "c", "team", customer.Urgency.NORMAL, (ZONE,), {}
        )
        for change in (
            changes.PublishTemplate(self.operation(), 0, _template("r", 1.0)),
            changes.SetCustomer(self.operation(), 0, body),
            changes.AcceptJob(self.operation(), "j", "c", "r", 6, 9.0),
        ):
            await self.cluster.put_bytes(leader, changes.encode(change))

    def operation(self) -> changes.Operation:
        return changes.Operation(f"op{self.new_id()}", "ann", 1.0)

    async def revise(self, name: str, key: str) -> None:
        """Revise a template; resend it while the effect is unknown."""
        value = float(self.new_id())
        base = self.version(name, key)
        change = changes.PublishTemplate(
            self.operation(), base, _template(key, value)
        )
        began = trio.current_time()
        unknown = False
        for _ in range(4):
            result = await self.propose(name, change)
            if isinstance(result, changes.Result):
                break
            unknown = unknown or isinstance(result, outcomes.Unknown)
            if not unknown:
                break
            await trio.sleep(self.rng.uniform(0, 2.0))
            another = self.random_instance()
            if another is None:
                return
            name = another
        ended = trio.current_time()
        if isinstance(result, changes.Result):
            applied = result.status == changes.Status.APPLIED
            kind = history.Kind.WRITE if applied else history.Kind.CONFLICT
            self.calls.append(
                history.Call(kind, key, began, ended, result.version, value)
            )
        elif not unknown:
            kind = history.Kind.REFUSED
            self.calls.append(history.Call(kind, key, began, ended, 0, value))

    def version(self, name: str, key: str) -> int:
        entry = self.machine(name).configuration.templates.get(key)
        return entry.version if entry else 0

    async def race(self, key: str) -> None:
        """Let two operators revise a template concurrently."""
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                name = self.random_instance()
                if name is not None:
                    nursery.start_soon(self.revise, name, key)

    async def read(self, name: str, key: str) -> None:
        """Read a template after a barrier."""
        began = trio.current_time()
        machine = self.machine(name)
        if await self.cluster.replicas[name].barrier() is not None:
            return
        entry = machine.configuration.templates.get(key)
        version = entry.version if entry else 0
        value = entry.body.run_seconds if entry else 0.0
        ended = trio.current_time()
        self.calls.append(
            history.Call(history.Kind.READ, key, began, ended, version, value)
        )

    async def place(self, name: str) -> None:
        """Start or end a task as the holder of the zone's grant.

        The holder is looked up in the state of a running instance.  If the
        instance does not hold the grant, it may take it over instead.
        """
        holder = self.machine(name).grant(ZONE).holder
        if holder in self.cluster.replicas and self.rng.random() < 0.9:
            name = holder
        machine = self.machine(name)
        grant = machine.grant(ZONE)
        if grant.holder != name:
            if self.rng.random() < 0.5:
                take = changes.TakeGrant(ZONE, name, grant.epoch, grant.renewal)
                await self.propose(name, take)
            return
        tasks = list(machine.job_store.tasks.values())
        if not tasks:
            return
        task = self.rng.choice(tasks)
        if task.state == job.TaskState.WAITING:
            await self.start_task(name, task, grant.epoch)
        elif task.held is not None:
            await self.end_task(name, task, grant.epoch)

    async def start_task(self, name: str, task: job.Task, epoch: int) -> None:
        """Start a waiting task, and record the attempt if it is granted."""
        worker = f"{name}-{self.new_id()}"
        start = changes.Start(task.task_id, task.attempt + 1, worker, 1)
        change = changes.StartTasks(ZONE, epoch, 1.0, [start])
        result = await self.propose(name, change)
        if not isinstance(result, changes.Result) or result.refused:
            return
        if result.status != changes.Status.APPLIED:
            return
        attempt = history.Attempt(
            task.task_id, start.attempt, worker, trio.current_time()
        )
        self.attempts.append(attempt)
        ended = self.last_ended.get(task.task_id, start.attempt)
        if ended < start.attempt - 1:
            self.found.append(f"{attempt} began before the previous one ended")

    async def end_task(self, name: str, task: job.Task, epoch: int) -> None:
        """Evict a running task with a checkpoint."""
        # The worker has stopped the task before the end is reported.
        self.last_ended[task.task_id] = max(
            task.attempt, self.last_ended.get(task.task_id, 0)
        )
        end = changes.End(
            task.task_id,
            task.attempt,
            changes.Ending.EVICTED,
            f"c{task.attempt}",
        )
        await self.propose(name, changes.EndTasks(ZONE, epoch, 1.0, [end]))

    def watch(self) -> None:
        """Check that no instance reverts to an older state."""
        for name, each in self.cluster.replicas.items():
            if not each.status().recovered:
                continue
            index = self.machine(name).applied_index
            if index < self.newest_seen.get(name, 0):
                self.found.append(
                    f"{name} reverted from {self.newest_seen[name]} to {index}"
                )
            self.newest_seen[name] = max(index, self.newest_seen.get(name, 0))

    async def step(self) -> None:
        """Inject a fault, or start an operation in the background."""
        name = self.random_instance()
        draw = self.rng.random()
        if draw < 0.12 or name is None:
            await self.faults.inject()
            return
        key = self.rng.choice(KEYS)
        if draw < 0.35:
            self.nursery.start_soon(self.guard, self.revise, name, key)
        elif draw < 0.45:
            self.nursery.start_soon(self.guard, self.race, key)
        elif draw < 0.65:
            self.nursery.start_soon(self.guard, self.read, name, key)
        else:
            self.nursery.start_soon(self.guard, self.place, name)

    async def guard(self, operation, *arguments: str) -> None:  # type: ignore[no-untyped-def]
        """Run an operation and count it in `busy` meanwhile."""
        self.busy += 1
        try:
            await operation(*arguments)
        except KeyError:
            # The instance was killed between two attempts.
            pass
        finally:
            self.busy -= 1

    async def settle(self) -> None:
        """End all faults and check that all replicas become equal."""
        cluster = self.cluster
        cluster.hub.heal()
        for files in cluster.files.values():
            files.full = files.sync_fails = False
        for name in cluster.names + history_faults.OBSERVERS:
            if name not in cluster.replicas:
                await cluster.start(name, name not in history_faults.OBSERVERS)
        await cluster.wait_until(lambda: self.busy == 0, SETTLE_SECONDS)
        with trio.move_on_after(SETTLE_SECONDS) as scope:
            while True:
                await self.faults.replace_stopped()
                states = {
                    (each.status().applied, each.status().recovered)
                    for each in cluster.replicas.values()
                }
                if len(states) == 1 and self.faults.may_lose_a_disk():
                    break
                await trio.sleep(1.0)
        if scope.cancelled_caught:
            self.found.append("the replicas did not become equal again")
            return
        for name, each in cluster.replicas.items():
            if each.status().diverged_at:
                self.found.append(f"{name} detected a digest mismatch")
        snapshots = {self.machine(name).snapshot() for name in cluster.replicas}
        if len(snapshots) != 1:
            self.found.append("equal logs resulted in different states")

    def check(self) -> None:
        """Check the whole history and the final state."""
        self.found += history.findings(self.calls)
        self.found += history.attempt_findings(self.attempts)
        final = self.machine(self.cluster.names[0])
        templates = final.configuration.templates
        for call in self.calls:
            if call.kind == history.Kind.WRITE:
                current = templates.get(call.key)
                if current is None or current.version < call.version:
                    self.found.append(f"{call} was lost")
        for attempt in self.attempts:
            task = final.job_store.tasks.get(attempt.task_id)
            if task is None or task.attempt < attempt.number:
                self.found.append(f"{attempt} was lost")


def _template(name: str, run_seconds: float) -> template.Template:
    size = resources.Resources(1, 100)
    return template.Template(name, template.Kind.BATCH, size, run_seconds)


async def _history(seed: int, steps: int, disks_recover: bool) -> Report:
    async with trio.open_nursery() as nursery:
        history_run = _Run(nursery, seed, disks_recover)
        await history_run.set_up()
        for _ in range(steps):
            await history_run.step()
            await trio.sleep(history_run.rng.uniform(0, 0.2))
            history_run.watch()
        await history_run.settle()
        history_run.check()
        nursery.cancel_scope.cancel()
    return Report(
        seed,
        steps,
        len(history_run.calls),
        len(history_run.attempts),
        history_run.faults.count,
        history_run.found,
    )


def run(seed: int, steps: int, disks_recover: bool = False) -> Report:
    """Run one history on a mocked clock.

    Args:
        seed: Seed of all random choices.
        steps: Operations and faults.
        disks_recover: Whether disks that fail work again after a while.

    Returns:
        The result; equal seeds give equal histories.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    # The order in which trio runs tasks is random too.
    trio_random = trio._core._run._r  # pylint: disable=protected-access
    state = trio_random.getstate()
    trio_random.seed(seed)
    try:
        return trio.run(_history, seed, steps, disks_recover, clock=clock)
    finally:
        trio_random.setstate(state)
