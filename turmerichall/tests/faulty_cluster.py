"""A cluster of real processes behind fault-injecting proxies, under load.

Six daemons stand in three availability zones, one of each zone with a disk,
and two stand-in workers in each zone.  Links between daemons, from workers to
daemons and from daemons to workers go through proxies, which tell connections
apart by the process that opened them.  Callers, an operator who keeps
revising a customer, one who keeps submitting jobs, and an observer of every
daemon run all the time; what they and the workers noted is audited.
"""

import pathlib
import random
import shutil
import signal
import msgspec
import trio

from turmerichall.tests import load as loads
from turmerichall.tests import local_cluster
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import caller
from turmerichall.tests.standins import client_process
from turmerichall.tests.standins import proxy

__all__ = ["DISKS", "FaultyCluster"]

ZONES = ("z1", "z2", "z3", "z1", "z2", "z3")
DISKS = 3
WORKERS_PER_ZONE = 2
REQUESTS_PER_SECOND = 10.0
BALANCE_PERIOD_SECONDS = 0.5
BALANCE_TIMEOUT_SECONDS = 0.5


class FaultyCluster(local_cluster.LocalCluster):
    """The processes, the links between them and the load.

    Attributes:
        nursery: Runs proxies and load.
        random: Draws faults, seeded as the callers' choices are.
        proxies: By `peers:NAME`, `operators:NAME` or `worker:NAME`.
        caller: Sends requests to all gateways.
        load: Operators' changes and what each instance shows.
    """

    def __init__(
        self, folder: pathlib.Path, nursery: trio.Nursery, seed: int = 1
    ):
        super().__init__(folder, ZONES)
        self.nursery = nursery
        self.random = random.Random(seed)
        for number, (name, instance) in enumerate(self.instances.items()):
            self.instances[name] = instance._replace(disk=number < DISKS)
        self.proxies: dict[str, proxy.Proxy] = {}
        self.zone_of = {i.name: i.zone for i in self.instances.values()}
        self.rejoining: set[str] = set()
        self.load = loads.Load(
            self.instances, local_cluster.OPERATORS_KEY, self.is_up
        )
        sent = caller.Load(
            loads.CUSTOMER,
            loads.SERVICE,
            tuple(i.callers for i in self.instances.values()),
            REQUESTS_PER_SECOND,
        )
        record = audit_trail.AuditTrail(str(folder / "caller.trail"), "caller")
        self.caller = caller.Caller("caller", sent, record, seed)

    async def _add_proxy(self, name: str, target: str) -> str:
        made = proxy.Proxy(target, self._origin_of)
        self.proxies[name] = made
        address: str = await self.nursery.start(made.run)
        return address

    def _origin_of(self, client_port: int, listening_port: int) -> str:
        pids = {name: held.pid for name, held in self.processes.items()}
        return client_process.find_name(client_port, listening_port, pids)

    def write_settings(self, instance: local_cluster.Instance) -> pathlib.Path:
        """Writes settings in which every peer is reached through its proxy."""
        path = super().write_settings(instance)
        seeds = ", ".join(
            f"{name}@{self.proxies[f'peers:{name}'].address}"
            for name in self.instances
        )
        founders = ", ".join(
            name for name, held in self.instances.items() if held.disk
        )
        bootstraps = instance.disk and instance.name not in self.rejoining
        lines = []
        for line in path.read_text().splitlines():
            if line.startswith("seeds = "):
                line = f"seeds = {seeds}"
            if line.startswith("peers = "):
                told = self.proxies[f"peers:{instance.name}"].address
                line = f"peers = {told}\npeers_bind = {instance.peers}"
            if line.startswith("bootstrap = "):
                line = f"bootstrap = {str(bootstraps).lower()}"
                line += f"\nfounders = {founders}"
            lines.append(line)
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, workers_per_zone: int = WORKERS_PER_ZONE) -> None:
        """Starts proxies, daemons, workers and load; waits until it runs."""
        for instance in self.instances.values():
            await self._add_proxy(f"peers:{instance.name}", instance.peers)
            await self._add_proxy(
                f"operators:{instance.name}", instance.operators
            )
        for name in self.instances:
            self.start_daemon(name)
        for number in range(workers_per_zone * len(set(ZONES))):
            name = f"w{number + 1}"
            self.zone_of[name] = ZONES[number % len(set(ZONES))]
            await self.start_standin(name)
        for name in self.instances:
            await self.wait_ready(name)
        await self.load.configure()
        self.nursery.start_soon(self.caller.run)
        self.nursery.start_soon(self.load.run)
        self.nursery.start_soon(self._balance)

    async def start_standin(self, name: str, *more: str) -> None:
        """Starts a worker, or starts it anew."""
        link = f"worker:{name}"
        if link not in self.proxies:
            port = local_cluster.free_ports(1)[0]
            await self._add_proxy(link, f"127.0.0.1:{port}")
        via = {
            instance.operators: self.proxies[f"operators:{held}"].address
            for held, instance in self.instances.items()
        }
        zone = self.zone_of[name]
        options = ["--listen", self.proxies[link].target]
        options += ["--advertise", self.proxies[link].address]
        options += ["--via", msgspec.json.encode(via).decode(), *more]
        await self.start_worker(name, zone, f"{zone}-r-{name}", *options)

    def _entries_of(self, zone: str) -> str:
        ordered = sorted(
            self.instances.values(), key=lambda held: held.zone != zone
        )
        return ",".join(
            self.proxies[f"operators:{held.name}"].address for held in ordered
        )

    async def _balance(self) -> None:
        """Acts as the platform's balancer: only ready daemons are sent to."""
        while True:
            ready = []
            for instance in self.instances.values():
                if self.is_up(instance.name) and await self._is_ready(instance):
                    ready.append(instance.callers)
            self.caller.ready_gateways = frozenset(ready)
            await trio.sleep(BALANCE_PERIOD_SECONDS)

    async def _is_ready(self, instance: local_cluster.Instance) -> bool:
        with trio.move_on_after(BALANCE_TIMEOUT_SECONDS):
            reply = await self.load.operator.send(
                instance.operators, "GET", "/readyz"
            )
            return reply.status == 200
        return False

    def is_up(self, name: str) -> bool:
        """Tells whether a process was started and not stopped since."""
        return name in self.processes

    async def kill(self, name: str) -> None:
        """Kills a process."""
        await self.stop(name, signal.SIGKILL)

    async def restart(self, name: str) -> None:
        """Starts a daemon that was stopped, and waits until it is ready."""
        self.start_daemon(name)
        await self.wait_ready(name)

    def lose_disk(self, name: str) -> None:
        """Removes the data folder of a stopped daemon."""
        shutil.rmtree(self.folder / f"data-{name}")
        self.rejoining.add(name)

    def cut_zone(self, zone: str) -> None:
        """Cuts a zone off: nothing passes between it and the others."""
        self.cut_off({n for n, held in self.zone_of.items() if held == zone})

    def cut_off(self, inside: set[str]) -> None:
        """Lets nothing pass between some processes and all others."""
        outside = set(self.zone_of) - inside
        for link, made in self.proxies.items():
            target = link.partition(":")[2]
            away = outside if target in inside else inside
            made.set_client_faults(dict.fromkeys(away, proxy.STALLED))

    def cut_one_way(self, source: str, target: str) -> None:
        """Drops what one daemon sends to another, not what comes back."""
        fault = proxy.LinkFaults(stall_to_target=True)
        self.proxies[f"peers:{target}"].set_client_faults({source: fault})
        fault = proxy.LinkFaults(stall_to_client=True)
        self.proxies[f"peers:{source}"].set_client_faults({target: fault})

    def silence_connections(self) -> None:
        """Makes every open connection silent for good."""
        for made in self.proxies.values():
            made.silence_connections()

    def heal(self) -> None:
        """Ends all faults of links."""
        for made in self.proxies.values():
            made.heal()
