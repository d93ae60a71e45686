"""The daemon of one entry instance.

    turmerichalld FILE.ini

SIGTERM drains it: `/readyz` reports that it is not ready, then the listeners
close, and requests in flight are finished.  A second SIGTERM, or SIGINT, stops
it at once.
"""

import pathlib
import signal
import sys
import time

import fire
import trio

from turmerichall import errors
from turmerichall import readiness
from turmerichall.agreement import replica as replicas
from turmerichall.backend_servers import directory as directories
from turmerichall.backend_servers import dissemination
from turmerichall.gateway import application as gateway_application
from turmerichall.gateway import limits as gateway_limits
from turmerichall.gateway import server as gateway_server
from turmerichall.instances import absence_detector as absence_detectors
from turmerichall.instances import instance as instances
from turmerichall.instances import registration
from turmerichall.instances import share_lease as share_leases
from turmerichall.intake import reports
from turmerichall.operators import application as operators_application
from turmerichall.operators import exchange as operator_exchange
from turmerichall.peers import network as networks
from turmerichall.placement import planner as planners
from turmerichall.placement import weights
from turmerichall.settings import reader
from turmerichall.settings import settings as settings_module
from turmerichall.settings import values
from turmerichall.state import machine as machines
from turmerichall.state import proposer as proposers
from turmerichall.telemetry import counters
from turmerichall.telemetry import logs
from turmerichall.zones import announcements
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import grant_holder
from turmerichall.zones import handover as handovers
from turmerichall.zones import placement_queries
from turmerichall.zones import scheduler as schedulers
from turmerichall.zones import worker_client
from turmerichall.zones import zone_failover

__all__ = ["Daemon", "main"]

EXIT_SETTINGS = 1
EXIT_STORAGE = 3
# Time after which an idle connection of an operator or worker is closed.  It is
# longer than the interval between announcements of a worker, so that workers
# reuse their connections.
OPERATORS_KEEP_ALIVE_SECONDS = 5.0
# An instance that was heard from within this time counts as alive.
PEER_ALIVE_SECONDS = 5.0

_PRESETS = {
    "batch-throughput": weights.THROUGHPUT,
    "tail-latency": weights.TAIL_LATENCY,
}


class _Intentions:
    """Looks up what state operators want each backend server to be in."""

    def __init__(self, machine: machines.StateMachine):
        self.machine = machine

    def intention(self, backend_server: str) -> machines.changes.Intention:
        """Return the state that operators want a backend server to be in."""
        return self.machine.configuration.intention(backend_server)


class Daemon:
    """Creates, connects and runs the components of one entry instance.

    Attributes:
        settings: The settings.
        machine: The replicated state.
        network: Connections to the other instances.
        replica: Replicates the state together with the other instances.
        gateway: Serves callers.
        operators: Serves operators and workers.
        zone_scheduler: Places tasks in the zone of this instance while this
            instance holds the zone's grant.
        absence_detector: Marks silent instances of the zone as absent while
            this instance holds the grant.
        share_lease: Proves that this instance may still use its shares of the
            workers' limits, since no other instance took them over.
        stop: Event that closes the listeners once it is set.
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings
        self.log = logs.Log("daemon")
        self.counters = counters.Counters()
        self.machine = machines.StateMachine()
        self.stop = trio.Event()
        name = settings.instance.name
        self.network = networks.Network(
            name,
            settings.keys.cluster.encode(),
            {seed.name: seed.address for seed in settings.peers.seeds},
            logs.Log("peers"),
            self.counters,
        )
        self.replica = self._make_replica()
        self.proposer = proposers.Proposer(self.replica)
        self.registration = registration.Registration(
            self._own_instance(), self.machine, self.proposer, self.network
        )
        self.directory = directories.Directory(_Intentions(self.machine))
        self.dissemination = dissemination.Dissemination(
            self.directory,
            self.network,
            time.time_ns(),
            settings.listen.operators,
        )
        self.grant_holder = grant_holder.GrantHolder(
            settings.instance.zone, name, self.machine, self.proposer
        )
        self.feasibility_checker = cross_zone_feasibility.FeasibilityChecker(
            self.directory
        )
        self.zone_scheduler = schedulers.ZoneScheduler(
            self.machine,
            self.grant_holder,
            self.proposer,
            worker_client.WorkerClient(settings.keys.workers),
            self._make_planner,
            self.feasibility_checker,
        )
        self.placement_queries = placement_queries.PlacementQueries(
            name, self.machine, self.zone_scheduler, self.network
        )
        self.handover = handovers.Handover(self.zone_scheduler, self.network)
        self.zone_failover = zone_failover.ZoneFailover(
            self.grant_holder, self.machine, self.proposer
        )
        self.absence_detector = self._make_absence_detector()
        self.share_lease = self._make_share_lease()
        self.readiness = readiness.Readiness(self.replica)
        self.gateway = self._make_gateway()
        self.operators = self._make_operators()

    @classmethod
    def from_config(cls, settings: settings_module.Settings) -> "Daemon":
        """Create a daemon from its settings."""
        return cls(settings)

    def _own_instance(self) -> instances.Instance:
        own = self.settings.instance
        listen = self.settings.listen
        return instances.Instance(
            own.name,
            own.region,
            own.zone,
            listen.callers,
            listen.operators,
            listen.peers,
            bool(own.data_folder),
        )

    def _make_planner(self) -> planners.Planner:
        return planners.Planner(_PRESETS[self.settings.placement.preset])

    def _make_replica(self) -> replicas.Replica:
        settings = self.settings
        own = values.Seed(settings.instance.name, settings.listen.peers)
        folder = settings.instance.data_folder
        return replicas.Replica(
            name=settings.instance.name,
            folder=pathlib.Path(folder) if folder else None,
            network=self.network,
            machine=self.machine,
            bootstrap_members=settings.peers.founder_addresses(own),
            log=logs.Log("agreement"),
            counters=self.counters,
            zones=self._zones,
        )

    def _make_absence_detector(self) -> absence_detectors.AbsenceDetector:
        own = self.settings.instance
        return absence_detectors.AbsenceDetector(
            own.name,
            own.zone,
            self.grant_holder.may_start,
            self.machine,
            self.network,
            self.proposer,
        )

    def _make_share_lease(self) -> share_leases.RenewableShareLease:
        own = self.settings.instance
        return share_leases.RenewableShareLease(
            own.name,
            own.zone,
            self.machine,
            self.replica,
            self.proposer,
            self.network,
        )

    def _zones(self) -> dict[str, str]:
        return self.registration.zones()

    def _make_gateway(self) -> gateway_application.Application:
        limits = self.settings.limits
        return gateway_application.Application(
            self.settings.instance.name,
            self.settings.instance.zone,
            self.directory,
            self.machine,
            self.network,
            self.registration.zones,
            self.counters,
            logs.Log("gateway"),
            gateway_limits.Limits(
                body_bytes=limits.max_request_bytes,
                deadline_seconds=limits.default_deadline_seconds,
                max_deadline_seconds=limits.max_deadline_seconds,
                queue_requests=limits.queue_length,
                concurrency=limits.max_requests_in_flight,
                retry_ratio=limits.retry_ratio,
                held_bytes=limits.max_held_bytes,
            ),
            self.share_lease,
        )

    def _make_operators(self) -> operators_application.Application:
        announcement_handler = announcements.AnnouncementHandler(
            self.settings.instance.name,
            self.machine,
            self.dissemination,
            self.zone_scheduler,
        )
        return operators_application.Application(
            machine=self.machine,
            submitter=self.proposer,
            announcements=announcement_handler,
            directory=self.directory,
            placement_queries=self.placement_queries,
            feasibility=self.feasibility_checker,
            replica=self.replica,
            readiness=self.readiness,
            keys=self.settings.keys,
            counters=self.counters,
            log=logs.Log("operators"),
            bounds=operator_exchange.Bounds.from_config(self.settings),
        )

    async def run(self) -> None:
        """Serve until a signal stops the daemon."""
        listen = self.settings.listen
        limit = self.settings.timing.drain_limit_seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._await_signals, nursery.cancel_scope)
            bind = listen.peers_bind or listen.peers
            await nursery.start(self.network.run, bind, listen.peers)
            await nursery.start(self.replica.run)
            nursery.start_soon(self.registration.run)
            nursery.start_soon(self.absence_detector.run)
            nursery.start_soon(self.share_lease.run)
            nursery.start_soon(self.dissemination.run)
            nursery.start_soon(self.grant_holder.run)
            nursery.start_soon(self.zone_scheduler.run)
            nursery.start_soon(self.feasibility_checker.run)
            nursery.start_soon(self.handover.run)
            nursery.start_soon(self.zone_failover.run)
            async with trio.open_nursery() as servers:
                await servers.start(
                    gateway_server.serve,
                    self.operators,
                    listen.operators,
                    self.stop,
                    limit,
                    gateway_limits.Limits(),
                    OPERATORS_KEEP_ALIVE_SECONDS,
                    reports.count_refusals(self.counters, "operators"),
                )
                await servers.start(
                    gateway_server.serve,
                    self.gateway,
                    listen.callers,
                    self.stop,
                    limit,
                    self.gateway.limits,
                    gateway_server.KEEP_ALIVE_SECONDS,
                    reports.count_refusals(self.counters, "gateway"),
                )
                self.log.info("serving", callers=listen.callers)
            nursery.cancel_scope.cancel()
        self.log.info("stopped")

    async def _await_signals(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as received:
            async for number in received:
                if number == signal.SIGINT or self.readiness.draining:
                    scope.cancel()
                    return
                await self._drain()

    def _has_successor(self) -> bool:
        """Return whether another instance can take the zone's grant now."""
        now = trio.current_time()
        own = self.settings.instance
        return any(
            instance.zone == own.zone
            and name != own.name
            and now - self.network.last_heard(name) < PEER_ALIVE_SECONDS
            for name, instance in self.machine.instances.items()
        )

    async def _drain(self) -> None:
        self.log.info("draining")
        self.readiness.draining = True
        self.gateway.drain()
        if self._has_successor():
            await self.grant_holder.release()
        await self.replica.transfer_leadership()
        await trio.sleep(self.settings.timing.drain_notice_seconds)
        self.stop.set()


async def _serve(settings: settings_module.Settings) -> None:
    await Daemon.from_config(settings).run()


def serve(settings_file: str) -> None:
    """Run the daemon of one entry instance.

    Args:
        settings_file: Path of the INI file; see docs/SETTINGS.md.
    """
    try:
        settings = reader.load(settings_file)
    except errors.SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs.configure(
        logs.Level[settings.logs.level.upper()],
        settings.logs.file or None,
        instance=settings.instance.name,
    )
    try:
        trio.run(_serve, settings)
    except errors.StorageError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_STORAGE)


def main() -> None:
    """Entry point of `turmerichalld`."""
    fire.Fire(serve, name="turmerichalld")


if __name__ == "__main__":
    main()
