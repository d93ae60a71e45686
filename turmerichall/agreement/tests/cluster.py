"""Cluster of replicas in one process, with fault injection, for tests."""

import random
from collections.abc import Awaitable, Callable

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.agreement import message as messages
from turmerichall.agreement import replica
from turmerichall.agreement import replica_state
from turmerichall.peers import link
from turmerichall.storage.tests import memory_files

Handler = Callable[[str, bytes], Awaitable[bytes | None]]

MAX_DELAY_SECONDS = 0.004


class Hub:
    """Simulated network between instances, with partitions.

    Attributes:
        cut: Pairs (sender, receiver) between which messages are lost.
        networks: Networks of the running instances, by name.
        bytes_per_second: Rate of each message; messages don't share it.
        silent: Instances without power, so that calls to them time out.
    """

    def __init__(self, nursery: trio.Nursery, rng: random.Random):
        self.nursery = nursery
        self.rng = rng
        self.cut: set[tuple[str, str]] = set()
        self.networks: dict[str, "MemoryNetwork"] = {}
        self.bytes_per_second = float("inf")
        self.silent: set[str] = set()

    def isolate(self, name: str, others: set[str]) -> None:
        """Cut the connections of an instance to others in both directions."""
        for other in others - {name}:
            self.cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.cut.clear()


class MemoryNetwork:
    """In-memory replacement of `peers.network.Network`."""

    def __init__(self, name: str, hub: Hub, addresses: dict[str, str]):
        self.name = name
        self.hub = hub
        self.addresses = addresses
        self.listen_address = f"{name}:1"
        self.handlers: dict[str, Handler] = {}

    def handle(
        self, kind: str, handler: Handler, is_critical: bool = False
    ) -> None:
        del is_critical
        self.handlers[kind] = handler

    def set_addresses(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Deliver a call and its answer, each with a random delay.

        The timeout begins once the call is sent, as that of a call in parts.
        """
        hub = self.hub
        transfer_seconds = len(body) / hub.bytes_per_second
        if hub.networks.get(self.name) is not self:
            # This instance was killed.
            await trio.sleep(timeout_seconds)
            return outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)
        if instance not in hub.networks:
            if instance in hub.silent:
                await trio.sleep(timeout_seconds)
                return outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)
            await trio.sleep(0.001)
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        answers: list[bytes | outcomes.Refusal] = []
        done = trio.Event()

        async def deliver() -> None:
            delay = hub.rng.uniform(0, MAX_DELAY_SECONDS)
            await trio.sleep(transfer_seconds + delay)
            target = hub.networks.get(instance)
            if target is None or (self.name, instance) in hub.cut:
                return
            answer = await target.serve(self.name, kind, body)
            await trio.sleep(hub.rng.uniform(0, MAX_DELAY_SECONDS))
            same = hub.networks.get(instance) is target
            if same and (instance, self.name) not in hub.cut:
                answers.append(answer)
                done.set()

        hub.nursery.start_soon(deliver)
        with trio.move_on_after(transfer_seconds + timeout_seconds):
            await done.wait()
        if answers:
            return answers[0]
        return outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)

    async def serve(
        self, sender: str, kind: str, body: bytes
    ) -> bytes | outcomes.Refusal:
        """Run a handler and map its errors as the real network does."""
        handler = self.handlers.get(kind)
        if handler is None:
            return outcomes.Refusal(outcomes.RefusalReason.UNKNOWN_NAME)
        try:
            return await handler(sender, body) or b""
        except errors.StorageError as error:
            reason = outcomes.RefusalReason.STOPPED
            return outcomes.Refusal(reason, str(error))


class KeyValueMachine:
    """State machine of `key=value` changes that records what it applied.

    Attributes:
        values: The current values by key.
        applied: All applied changes, in order.
        fault: Appended to each result, to simulate divergence.
    """

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.applied: list[str] = []
        self.fault = b""

    def apply(self, index: int, data: bytes) -> bytes:
        key, _, value = data.decode().partition("=")
        self.values[key] = value
        self.applied.append(data.decode())
        return str(index).encode() + self.fault

    def snapshot(self) -> bytes:
        return "\n".join(self.applied).encode()

    def restore(self, data: bytes) -> None:
        self.applied = data.decode().split("\n") if data else []
        self.values = dict(
            (line.split("=")[0], line.split("=")[1]) for line in self.applied
        )


class NullLog:
    """A log that discards everything."""

    def info(self, message: str, **fields: object) -> None:
        """Discard the line."""

    warning = info
    error = info


class Cluster:
    """Instances that can be started, killed, isolated and wiped.

    Attributes:
        names: Names of the initial members.
        files: Data folders by name.
        replicas: Running replicas by name.
        machines: Their state machines by name.
        zones: Zones of the listed instances by name.
        logs: Logs by name, kept when an instance is started again.
        max_voters: See `replica.Replica`.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        size: int = 3,
        seed: int = 1,
        timing: replica_state.Timing = replica_state.Timing(),
        machine: Callable[[], replica_state.StateMachine] = KeyValueMachine,
        log: Callable[[], link.Log] = NullLog,
        max_voters: int = 0,
    ):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.hub = Hub(nursery, self.rng)
        self.timing = timing
        self.new_machine = machine
        self.new_log = log
        self.max_voters = max_voters
        self.logs: dict[str, link.Log] = {}
        self.names = [chr(ord("a") + number) for number in range(size)]
        self.addresses = {name: f"{name}:1" for name in self.names}
        self.files: dict[str, memory_files.MemoryFiles] = {}
        self.replicas: dict[str, replica.Replica] = {}
        self.machines: dict[str, replica_state.StateMachine] = {}
        self.zones: dict[str, str] = {}
        self._scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str, disk: bool = True) -> replica.Replica:
        """Start an instance, with its previous data folder if it had one."""
        files = (
            self.files.setdefault(name, memory_files.MemoryFiles())
            if disk
            else None
        )
        addresses = dict(self.addresses)
        addresses.pop(name, None)
        network = MemoryNetwork(name, self.hub, addresses)
        machine = self.new_machine()
        started = replica.Replica(
            name,
            None,
            network,
            machine,
            self.addresses if name in self.names else {},
            self.logs.setdefault(name, self.new_log()),
            self.timing,
            files,
            random.Random(self.rng.random()),
            zones=lambda: self.zones,
            max_voters=self.max_voters,
        )
        self.hub.networks[name] = network
        self.machines[name] = machine
        self.replicas[name] = started
        scope = trio.CancelScope()
        self._scopes[name] = scope

        async def run(*, task_status: trio.TaskStatus[None]) -> None:
            with scope:
                await started.run(task_status=task_status)

        await self.nursery.start(run)
        return started

    async def start_all(self) -> None:
        for name in self.names:
            await self.start(name)

    def kill(self, name: str) -> None:
        """Kill an instance; data that it has not synced is lost."""
        self._scopes.pop(name).cancel()
        del self.hub.networks[name]
        del self.replicas[name]
        if name in self.files:
            survived = memory_files.MemoryFiles()
            survived.content = dict(self.files[name].content)
            self.files[name] = survived

    def wipe(self, name: str) -> None:
        """Replace the disk of a stopped instance by an empty one."""
        self.files[name] = memory_files.MemoryFiles()

    def leaders(self) -> list[str]:
        """Return the names of the replicas that consider themselves leader."""
        return [
            name
            for name, each in self.replicas.items()
            if each.status().role == replica_state.Role.LEADER
        ]

    async def wait_until(
        self, condition: Callable[[], bool], seconds: float = 60.0
    ) -> None:
        """Wait until a condition holds; fail after mocked seconds."""
        with trio.fail_after(seconds):
            while not condition():
                await trio.sleep(0.01)

    async def wait_for_leader(self, among: set[str] | None = None) -> str:
        """Wait until the given instances agree on one of them as leader."""
        names = among or set(self.replicas)

        def agreed() -> bool:
            statuses = [self.replicas[name].status() for name in names]
            found = {status.leader for status in statuses}
            known = all(status.members for status in statuses)
            one = len(found) == 1 and found <= names & set(self.leaders())
            return known and one

        await self.wait_until(agreed)
        return self.replicas[min(names)].status().leader

    async def put(self, name: str, change: str) -> bytes:
        """Propose a change through an instance until it is accepted."""
        return await self.put_bytes(name, change.encode())

    async def put_bytes(self, name: str, change: bytes) -> bytes:
        """Propose an encoded change until it is accepted."""
        with trio.fail_after(60):
            while True:
                result = await self.replicas[name].propose(change)
                if isinstance(result, bytes):
                    return result
                await trio.sleep(0.1)

    def values(self, name: str) -> dict[str, str]:
        machine = self.machines[name]
        assert isinstance(machine, KeyValueMachine)
        return machine.values

    def applied(self, name: str) -> list[str]:
        machine = self.machines[name]
        assert isinstance(machine, KeyValueMachine)
        return machine.applied

    async def wait_until_applied(
        self, change: str, names: set[str] | None = None
    ) -> None:
        """Wait until a change is applied on the given instances, or on all."""
        key, _, value = change.partition("=")
        await self.wait_until(
            lambda: all(
                self.values(name).get(key) == value
                for name in names or set(self.replicas)
            )
        )


ADD = messages.MemberAction.ADD
REMOVE = messages.MemberAction.REMOVE
