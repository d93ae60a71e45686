"""The daemon of an entry instance, which forwards clients' calls."""

import trio

from turmerichall.dispatch import lease as leases
from turmerichall.entry import calls
from turmerichall.entry import leader_client as leader_clients
from turmerichall.entry import stalls
from turmerichall.http1 import handler_errors
from turmerichall.http1 import message
from turmerichall.http1 import metrics
from turmerichall.http1 import server
from turmerichall.intake import limits as intake_limits
from turmerichall.intake import reports
from turmerichall.peers import link
from turmerichall.peers import network as networks
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_counters
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import logs

__all__ = ["EntryDaemon"]

# Timeout of a call whose client gives no deadline.
DEFAULT_TIMEOUT_SECONDS = 3.0
# Part of the client's timeout, in seconds, that is reserved for returning the
# response.
RESPONSE_MARGIN_SECONDS = 0.1
# Delay between reporting "not ready" and closing clients' connections. The load
# balancer checks every 1 s and removes an instance after 2 failed checks.
DRAIN_NOTICE_SECONDS = 2.5
CONNECTION_TIMING = link.ConnectionTiming(1.0, 2.0, 1.0, 0.5)
DEADLINE_HEADER = "deadline"


class EntryDaemon:
    """Daemon of an entry instance.

    Attributes:
        settings: Settings of the daemon.
        network: Connections to the replicas.
        leader_client: Finds the leader and forwards calls to it.
        client_server: HTTP server for clients.
        readiness_server: HTTP server for the readiness checks of the load
            balancer.
        metrics_registry: Metrics of this process.
        metrics_server: HTTP server for the metrics.
        draining: Whether the daemon is being drained and reports "not ready".
        stalls: Detects that this process stood still.
    """

    def __init__(self, settings: queue_settings.QueueSettings):
        self.settings = settings
        self.draining = False
        self.stalls = stalls.StallDetector(leases.steady_seconds())
        self.log = logs.Log("frontdoor")
        self.metrics_registry = lightweight_metrics.MetricsRegistry()
        self.network = networks.Network(
            settings.instance.name,
            settings.replicas.key.encode(),
            log=logs.Log("peers"),
            counters=lightweight_counters.LightweightCounters(
                self.metrics_registry
            ),
            timing=CONNECTION_TIMING,
        )
        self.leader_client = leader_clients.LeaderClient(
            self.network, settings.replicas.addresses(), self.log
        )
        limits = intake_limits.Limits.from_memory(settings.limits.memory_mb)
        self.client_server = server.Server(
            self._answer,
            lambda: self.leader_client.leader.limits,
            handler_errors.count_and_log(self.metrics_registry, "clients"),
            reports.make_budget(self.metrics_registry, "clients", limits),
        )
        self.readiness_server = server.Server(
            self._answer_ready,
            lambda: metrics.PROBE_LIMITS,
            budget=reports.make_budget(
                self.metrics_registry, "ready", limits.for_probes()
            ),
        )
        self.metrics_server = metrics.make_server(
            self.metrics_registry,
            reports.make_budget(
                self.metrics_registry, "metrics", limits.for_probes()
            ),
        )

    @classmethod
    def from_config(
        cls, settings: queue_settings.QueueSettings
    ) -> "EntryDaemon":
        """Create the daemon from its settings."""
        return cls(settings)

    async def run(self) -> None:
        """Serve until the daemon is drained."""
        listen = self.settings.listen
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run)
            nursery.start_soon(self.leader_client.run)
            nursery.start_soon(self._watch_stalls)
            async with trio.open_nursery() as servers:
                await servers.start(self.readiness_server.run, listen.ready)
                await servers.start(self.client_server.run, listen.clients)
                if listen.metrics:
                    await servers.start(self.metrics_server.run, listen.metrics)
                self.log.info("serving", clients=listen.clients)
            nursery.cancel_scope.cancel()
        self.log.info("stopped")

    async def drain(self) -> None:
        """Report "not ready", then close idle connections and stop."""
        self.draining = True
        # At least half of the grace period for stopping is left for calls in
        # progress.
        grace = self.settings.timing.grace_seconds
        await trio.sleep(min(DRAIN_NOTICE_SECONDS, grace / 2))
        await self.client_server.stop()
        await self.readiness_server.stop()
        await self.metrics_server.stop()

    async def _watch_stalls(self) -> None:
        while True:
            self.stalls.turn(leases.steady_seconds())
            await trio.sleep(stalls.TURN_SECONDS)

    async def _answer_ready(self, _: message.Request) -> message.Response:
        is_ready = not self.draining and self.leader_client.ready()
        return message.Response(200 if is_ready else 503)

    async def _answer(self, request: message.Request) -> message.Response:
        refusal = self.stalls.find_refusal(leases.steady_seconds())
        if request.method == "POST" and refusal is not None:
            self.metrics_registry.count("submissions_refused_after_stall")
            self.log.warning("submission refused", reason=refusal.detail)
            return message.Response(
                503, b"", {"retry-after": str(round(stalls.READ_SECONDS))}
            )
        timeout_seconds = (
            client_timeout_seconds(request) - RESPONSE_MARGIN_SECONDS
        )
        began_at = trio.current_time()
        response = await self.leader_client.forward(
            calls.CLIENT_CALL,
            calls.with_caller_zone(request, self.settings.instance.zone),
            timeout_seconds,
        )
        self.metrics_registry.count(
            "calls", method=request.method, status=str(response.status)
        )
        self.metrics_registry.record_latency(
            "call", trio.current_time() - began_at
        )
        return response


def client_timeout_seconds(request: message.Request) -> float:
    """Return how long a client waits for the response, in seconds.

    The client gives it in milliseconds, in the header field "deadline".  If it
    is missing or not a number above 0 and below 60 s, the timeout is
    `DEFAULT_TIMEOUT_SECONDS`.

    Examples:
        >>> request = message.Request("GET", "/", {"deadline": "500"})
        >>> client_timeout_seconds(request)
        0.5
    """
    try:
        seconds = float(request.headers.get(DEADLINE_HEADER, "")) / 1000
    except ValueError:
        return DEFAULT_TIMEOUT_SECONDS
    return seconds if 0 < seconds < 60 else DEFAULT_TIMEOUT_SECONDS
