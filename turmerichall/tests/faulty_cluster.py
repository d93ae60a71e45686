"""A cluster of real processes behind fault-injecting proxies, under load.

Each of three availability zones has two daemons, one of them with a disk, and
two stand-in workers.  Connections between daemons, from workers to daemons and
from daemons to workers go through proxies, which identify the process that
opened a connection.  A caller, an operator that revises a customer, another
that submits jobs, and an observer of each daemon run continuously; their
records and those of the workers are audited.
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

__all__ = ["INSTANCES_WITH_DISK", "FaultyCluster"]

ZONES = ("z1", "z2", "z3", "z1", "z2", "z3")
INSTANCES_WITH_DISK = 3
WORKERS_PER_ZONE = 2
REQUESTS_PER_SECOND = 10.0
READINESS_POLL_SECONDS = 0.5
READINESS_TIMEOUT_SECONDS = 0.5


class FaultyCluster(local_cluster.LocalCluster):
    """Processes connected through proxies, under load.

    Attributes:
        nursery: Runs the proxies and the load.
        random: Chooses faults; has the seed of the caller.
        proxies: Proxies by `peers:NAME`, `operators:NAME` or `worker:NAME`.
        zone_by_process: Availability zone by name of the instance or worker.
        without_bootstrap: Names of instances whose disk was wiped; they must
            join the existing cluster instead of founding a new one.
        load: Operators' changes and the versions that instances show.
        caller: Sends requests to all gateways.
    """

    def __init__(
        self, folder: pathlib.Path, nursery: trio.Nursery, seed: int = 1
    ):
        super().__init__(folder, ZONES)
        self.nursery = nursery
        self.random = random.Random(seed)
        for number, (name, instance) in enumerate(self.instances.items()):
            self.instances[name] = instance._replace(
                disk=number < INSTANCES_WITH_DISK
            )
        self.proxies: dict[str, proxy.Proxy] = {}
        self.zone_by_process = {i.name: i.zone for i in self.instances.values()}
        self.without_bootstrap: set[str] = set()
        self.load = loads.Load(
            self.instances, local_cluster.OPERATORS_KEY, self.is_up
        )
        caller_load = caller.Load(
            loads.CUSTOMER,
            loads.SERVICE,
            tuple(i.callers for i in self.instances.values()),
            REQUESTS_PER_SECOND,
        )
        caller_trail = audit_trail.AuditTrail(
            str(folder / "caller.trail"), "caller"
        )
        self.caller = caller.Caller("caller", caller_load, caller_trail, seed)

    async def _start_proxy(self, name: str, target: str) -> str:
        link_proxy = proxy.Proxy(target, self._origin_of)
        self.proxies[name] = link_proxy
        address: str = await self.nursery.start(link_proxy.run)
        return address

    def _origin_of(self, client_port: int, listening_port: int) -> str:
        pids = {name: process.pid for name, process in self.processes.items()}
        return client_process.find_name(client_port, listening_port, pids)

    def write_settings(self, instance: local_cluster.Instance) -> pathlib.Path:
        """Write settings in which peers reach each other through proxies."""
        path = super().write_settings(instance)
        seeds = ", ".join(
            f"{name}@{self.proxies[f'peers:{name}'].address}"
            for name in self.instances
        )
        founders = ", ".join(
            name for name, other in self.instances.items() if other.disk
        )
        bootstraps = (
            instance.disk and instance.name not in self.without_bootstrap
        )
        lines = []
        for line in path.read_text().splitlines():
            if line.startswith("seeds = "):
                line = f"seeds = {seeds}"
            if line.startswith("peers = "):
                advertised = self.proxies[f"peers:{instance.name}"].address
                line = f"peers = {advertised}\npeers_bind = {instance.peers}"
            if line.startswith("bootstrap = "):
                line = f"bootstrap = {str(bootstraps).lower()}"
                line += f"\nfounders = {founders}"
            lines.append(line)
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, workers_per_zone: int = WORKERS_PER_ZONE) -> None:
        """Start proxies, daemons and workers, wait for them, start the load."""
        for instance in self.instances.values():
            await self._start_proxy(f"peers:{instance.name}", instance.peers)
            await self._start_proxy(
                f"operators:{instance.name}", instance.operators
            )
        for name in self.instances:
            self.start_daemon(name)
        for number in range(workers_per_zone * len(set(ZONES))):
            name = f"w{number + 1}"
            self.zone_by_process[name] = ZONES[number % len(set(ZONES))]
            await self.start_proxied_worker(name)
        for name in self.instances:
            await self.wait_ready(name)
        await self.load.configure()
        self.nursery.start_soon(self.caller.run)
        self.nursery.start_soon(self.load.run)
        self.nursery.start_soon(self._poll_readiness)

    async def start_proxied_worker(
        self, name: str, *extra_arguments: str
    ) -> None:
        """Start or restart a stand-in worker whose links go through proxies."""
        link = f"worker:{name}"
        if link not in self.proxies:
            port = local_cluster.free_ports(1)[0]
            await self._start_proxy(link, f"127.0.0.1:{port}")
        via = {
            instance.operators: self.proxies[f"operators:{other}"].address
            for other, instance in self.instances.items()
        }
        zone = self.zone_by_process[name]
        options = ["--listen", self.proxies[link].target]
        options += ["--advertise", self.proxies[link].address]
        options += [
            "--via",
            msgspec.json.encode(via).decode(),
            *extra_arguments,
        ]
        await self.start_worker(name, zone, f"{zone}-r-{name}", *options)

    def _operator_addresses(self, zone: str) -> str:
        ordered = sorted(
            self.instances.values(), key=lambda instance: instance.zone != zone
        )
        return ",".join(
            self.proxies[f"operators:{instance.name}"].address
            for instance in ordered
        )

    async def _poll_readiness(self) -> None:
        """Let the caller send to ready daemons only.

        This simulates the load balancer of the platform.
        """
        while True:
            ready = []
            for instance in self.instances.values():
                if self.is_up(instance.name) and await self._is_ready(instance):
                    ready.append(instance.callers)
            self.caller.ready_gateways = frozenset(ready)
            await trio.sleep(READINESS_POLL_SECONDS)

    async def _is_ready(self, instance: local_cluster.Instance) -> bool:
        with trio.move_on_after(READINESS_TIMEOUT_SECONDS):
            reply = await self.load.operator.send(
                instance.operators, "GET", "/readyz"
            )
            return reply.status == 200
        return False

    def is_up(self, name: str) -> bool:
        """Return whether a process was started and not stopped since."""
        return name in self.processes

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        await self.stop(name, signal.SIGKILL)

    async def restart(self, name: str) -> None:
        """Start a stopped daemon and wait until it is ready."""
        self.start_daemon(name)
        await self.wait_ready(name)

    def wipe_disk(self, name: str) -> None:
        """Delete the data folder of a stopped daemon."""
        shutil.rmtree(self.folder / f"data-{name}")
        self.without_bootstrap.add(name)

    def partition_zone(self, zone: str) -> None:
        """Partition a zone from all others."""
        self.partition(
            {n for n, other in self.zone_by_process.items() if other == zone}
        )

    def partition(self, isolated: set[str]) -> None:
        """Block all traffic between some processes and all others."""
        outside = set(self.zone_by_process) - isolated
        for link, link_proxy in self.proxies.items():
            target = link.partition(":")[2]
            cut_from = outside if target in isolated else isolated
            link_proxy.set_client_faults(dict.fromkeys(cut_from, proxy.STALLED))

    def partition_one_way(self, source: str, target: str) -> None:
        """Block traffic from one daemon to another, in this direction only."""
        fault = proxy.LinkFaults(stall_to_target=True)
        self.proxies[f"peers:{target}"].set_client_faults({source: fault})
        fault = proxy.LinkFaults(stall_to_client=True)
        self.proxies[f"peers:{source}"].set_client_faults({target: fault})

    def silence_connections(self) -> None:
        """Stop delivery on every open connection for good; new ones work."""
        for link_proxy in self.proxies.values():
            link_proxy.silence_connections()

    def heal(self) -> None:
        """Remove all faults of links; silent connections stay silent."""
        for link_proxy in self.proxies.values():
            link_proxy.heal()
