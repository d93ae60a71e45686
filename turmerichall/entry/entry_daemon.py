"""An entry instance: answers clients with what the leader says."""

import trio

from turmerichall.entry import calls
from turmerichall.entry import leader_client as leader_clients
from turmerichall.http1 import message
from turmerichall.http1 import metrics
from turmerichall.http1 import server
from turmerichall.peers import link
from turmerichall.peers import network as networks
from turmerichall.settings import queue_settings
from turmerichall.telemetry import logs
from turmerichall.telemetry import lightweight_metrics

__all__ = ["EntryDaemon"]

# How long a client is taken to wait, if it doesn't say.
CLIENT_SECONDS = 3.0
# Kept for the way back of the answer.
MARGIN_SECONDS = 0.1
# From the request to stop until clients' connections are closed: the balancer
# asks each second and needs two misses.
NOTICE_SECONDS = 2.5
CONNECTION_TIMING = link.ConnectionTiming(1.0, 2.0, 1.0, 0.5)
DEADLINE_HEADER = "deadline"


class EntryDaemon:
    """Every part of an entry instance.

    Attributes:
        settings: The settings.
        network: Connections to replicas.
        leader_client: The way to the leader.
        clients: Serves clients.
        ready: Serves the balancer.
        metrics_registry: Counts of this process.
        metrics: Serves the counts.
        draining: Whether it is about to stop.
    """

    def __init__(self, settings: queue_settings.QueueSettings):
        self.settings = settings
        self.draining = False
        self.log = logs.Log("frontdoor")
        self.network = networks.Network(
            settings.instance.name,
            settings.replicas.key.encode(),
            log=logs.Log("peers"),
            timing=CONNECTION_TIMING,
        )
        self.leader_client = leader_clients.LeaderClient(
            self.network, settings.replicas.addresses(), self.log
        )
        self.clients = server.Server(
            self._answer, lambda: self.leader_client.known.limits
        )
        self.ready = server.Server(self._answer_ready)
        self.metrics_registry = lightweight_metrics.MetricsRegistry()
        self.metrics = metrics.make_server(self.metrics_registry)

    @classmethod
    def from_config(
        cls, settings: queue_settings.QueueSettings
    ) -> "EntryDaemon":
        """Joins the parts as the settings say."""
        return cls(settings)

    async def run(self) -> None:
        """Serves until it was drained."""
        listen = self.settings.listen
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run)
            nursery.start_soon(self.leader_client.run)
            async with trio.open_nursery() as servers:
                await servers.start(self.ready.run, listen.ready)
                await servers.start(self.clients.run, listen.clients)
                if listen.metrics:
                    await servers.start(self.metrics.run, listen.metrics)
                self.log.info("serving", clients=listen.clients)
            nursery.cancel_scope.cancel()
        self.log.info("stopped")

    async def drain(self) -> None:
        """Stops: not ready first, then closes connections that are idle."""
        self.draining = True
        # At least half of the time is left for calls under way.
        grace = self.settings.timing.grace_seconds
        await trio.sleep(min(NOTICE_SECONDS, grace / 2))
        await self.clients.stop()
        await self.ready.stop()
        await self.metrics.stop()

    async def _answer_ready(self, _: message.Request) -> message.Response:
        is_ready = not self.draining and self.leader_client.ready()
        return message.Response(200 if is_ready else 503)

    async def _answer(self, request: message.Request) -> message.Response:
        seconds = client_seconds(request) - MARGIN_SECONDS
        began_at = trio.current_time()
        response = await self.leader_client.pass_on(
            calls.CLIENT_CALL, request, seconds
        )
        self.metrics_registry.count(
            "calls", method=request.method, status=str(response.status)
        )
        self.metrics_registry.record_latency(
            "call", trio.current_time() - began_at
        )
        if response.status >= 429:
            self.log.info(
                "call not served",
                method=request.method,
                target=request.target,
                status=response.status,
                leader=self.leader_client.known.address,
                heard_seconds_ago=round(
                    trio.current_time() - self.leader_client.heard_at, 2
                ),
            )
        return response


def client_seconds(request: message.Request) -> float:
    """Returns how long a client waits, by its header field, in ms.

    Examples:
        >>> client_seconds(message.Request("GET", "/", {"deadline": "500"}))
        0.5
    """
    try:
        told = float(request.headers.get(DEADLINE_HEADER, "")) / 1000
    except ValueError:
        return CLIENT_SECONDS
    return told if 0 < told < 60 else CLIENT_SECONDS
