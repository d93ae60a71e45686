"""Daemon of a replica, which votes, stores changes, and may lead."""

from collections.abc import Callable
import pathlib

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.agreement import replica as replicas
from turmerichall.agreement import replica_state
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import replica_gauges
from turmerichall.dispatch import term_watch
from turmerichall.dispatch.releases import release_watch
from turmerichall.dispatch.releases import requests as release_requests
from turmerichall.dispatch.evacuation import gauges as evacuation_gauges
from turmerichall.dispatch.retention import gauges as retention_gauges
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.entry import calls
from turmerichall.http1 import handler_errors
from turmerichall.http1 import message
from turmerichall.http1 import metrics
from turmerichall.http1 import server
from turmerichall.intake import limits as intake_limits
from turmerichall.intake import reports
from turmerichall.peers import link
from turmerichall.peers import network as networks
from turmerichall.platform import client_requests
from turmerichall.platform import control_requests
from turmerichall.platform import http_policy_client
from turmerichall.platform import http_worker_client
from turmerichall.queues import levels
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings
from turmerichall.supervision import reporter as reporters
from turmerichall.telemetry import lightweight_counters
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import logs

__all__ = ["ReplicaDaemon", "TIMING"]

TIMING = replica_state.Timing(
    heartbeat_seconds=0.3,
    election_seconds=1.0,
    election_jitter_seconds=0.6,
    call_seconds=0.8,
    commit_delay_seconds=0.02,
    append_interval_seconds=0.01,
)
CONNECTION_TIMING = link.ConnectionTiming(1.0, 2.0, 1.0, 0.5)
BYTES_PER_MB = 1_000_000
# Timeout for a request of a worker or an operator that is forwarded to the
# leader; afterwards the client asks another replica.
FORWARD_TIMEOUT_SECONDS = 0.9
CONTROL_LIMITS = server.Limits(body_bytes=4 * 1024 * 1024, idle_seconds=30.0)
# Time between the transfer of leadership in a drain and the close of
# connections.
DRAIN_NOTICE_SECONDS = 0.5
# Part of the grace of a stop that is kept for the close of connections.
CLOSE_SECONDS = 1.25


class ReplicaDaemon:
    """A replica with its servers.

    Attributes:
        settings: The settings.
        network: Connections to other instances.
        queue_state: The replicated state of queues.
        replica: This instance's replica of the agreed log.
        release_watch: Raises the level of changes while this replica leads.
        leader_api: Answers requests while this replica leads.
        term_watch: Warns while this replica leads without doing its work.
        control: Server for workers and operators.
        metrics_registry: Metrics of this process.
        metrics: Server for the metrics.
    """

    def __init__(self, settings: queue_settings.QueueSettings):
        self.settings = settings
        self.log = logs.Log("dispatch")
        self.metrics_registry = lightweight_metrics.MetricsRegistry()
        own = settings.listen.peers
        seeds = settings.replicas.addresses()
        self.network = networks.Network(
            own,
            settings.replicas.key.encode(),
            {seed: seed for seed in seeds},
            logs.Log("peers"),
            lightweight_counters.LightweightCounters(self.metrics_registry),
            timing=CONNECTION_TIMING,
        )
        self.queue_state = states.QueueState()
        self.network.least_level = lambda: self.queue_state.level
        founders = seeds if settings.replicas.bootstrap and own in seeds else ()
        self.replica = replicas.Replica(
            name=own,
            folder=pathlib.Path(settings.instance.data_folder),
            network=self.network,
            machine=self.queue_state,
            bootstrap_members={seed: seed for seed in founders},
            log=logs.Log("agreement"),
            timing=TIMING.fitted_to(
                settings.limits.disk_mb * BYTES_PER_MB,
                settings.limits.memory_mb * BYTES_PER_MB,
            ),
            max_voters=settings.replicas.max_voters,
        )
        policy = settings.policy.address
        self.leader_api = leader_apis.LeaderApi(
            self.replica,
            self.queue_state,
            http_worker_client.HttpWorkerClient,
            self.log,
            self.metrics_registry,
            http_policy_client.HttpPolicyClient(policy) if policy else None,
            settings.scheduling,
            settings.zones.names,
            self._may_revise,
            retentions.Options(
                settings.retention.ended_seconds,
                settings.limits.memory_mb * BYTES_PER_MB,
                self._may_forget,
            ),
        )
        self.release_watch = release_watch.ReleaseWatch(
            lambda: self.leader_api.leadership,
            release_watch.Options(
                own,
                lambda: (each.name for each in self.replica.state.members),
                self._connected_levels,
                settings.release.after_seconds(),
            ),
            reporters.FailureReporter(self.log, self.metrics_registry),
        )
        self.term_watch = term_watch.TermWatch(
            self.replica, self._is_work_under_way, self.log
        )
        replica_gauges.register(
            self.metrics_registry, self.replica, self._is_work_under_way
        )
        evacuation_gauges.register(self.metrics_registry, self.queue_state)
        retention_gauges.register(
            self.metrics_registry,
            self.queue_state,
            settings.limits.memory_mb * BYTES_PER_MB,
        )
        limits = intake_limits.Limits.from_memory(settings.limits.memory_mb)
        self.network.messages.max_bytes = limits.max_bytes
        self.metrics = metrics.make_server(
            self.metrics_registry,
            reports.make_budget(
                self.metrics_registry, "metrics", limits.for_probes()
            ),
        )
        self.control = server.Server(
            self._answer,
            lambda: CONTROL_LIMITS,
            handler_errors.count_and_log(self.metrics_registry, "control"),
            reports.make_budget(self.metrics_registry, "control", limits),
        )

    @classmethod
    def from_config(
        cls, settings: queue_settings.QueueSettings
    ) -> "ReplicaDaemon":
        """Return a replica as configured by the settings."""
        return cls(settings)

    async def run(self) -> None:
        """Serve until the drain is complete.

        Raises:
            StorageError: The data folder can't be opened.
        """
        listen = self.settings.listen
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run, listen.peers, listen.peers)
            self.network.handle(calls.CLIENT_CALL, self._on_client)
            self.network.handle(calls.CONTROL_CALL, self._on_control)
            self.network.handle(calls.LEADER_QUERY, self._on_leader)
            await nursery.start(self.replica.run)
            nursery.start_soon(self.leader_api.run)
            nursery.start_soon(self.term_watch.run)
            nursery.start_soon(self.release_watch.run)
            await nursery.start(self.control.run, listen.control)
            if listen.metrics:
                await nursery.start(self.metrics.run, listen.metrics)
            self.log.info("serving", control=listen.control)
            await self.control.stopped.wait()
            nursery.cancel_scope.cancel()
        self.log.info("stopped")

    async def drain(self) -> None:
        """Hand over leadership and the vote, then close connections.

        The vote is handed over if a learner can take it.  A stop for a restart
        can't be told from one for good.
        """
        grace = self.settings.timing.grace_seconds
        deadline = trio.current_time() + grace - CLOSE_SECONDS
        await self.replica.transfer_leadership(1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.replica.hand_over_vote, deadline - trio.current_time()
            )
            await trio.sleep(DRAIN_NOTICE_SECONDS)
        await self.control.stop()

    def _may_revise(self) -> bool:
        """Return whether all other replicas are connected and recent.

        Releases that take no messages in parts don't know changes that revise
        a configuration.
        """
        return self._all_peers(lambda peer: peer.max_message_bytes > 0)

    def _may_forget(self) -> bool:
        """Return whether all replicas can read that records leave."""
        return self.queue_state.level >= levels.FORGETTING

    def _connected_levels(self) -> dict[str, int]:
        """Return the levels that the connected replicas read, by name."""
        return {
            name: each.changes_level
            for name, each in self.network.links.items()
            if each.connected
        }

    def _all_peers(self, condition: Callable[[link.Link], bool]) -> bool:
        """Return whether a condition holds for the links to all replicas."""
        links = self.network.links
        return all(
            each.name in links and condition(links[each.name])
            for each in self.replica.state.members
            if each.name != self.network.name
        )

    def _is_work_under_way(self) -> bool:
        return self.leader_api.leadership is not None

    async def _on_leader(self, _: str, __: bytes) -> bytes:
        return calls.encode(self.leader_api.leader())

    async def _on_client(self, _: str, body: bytes) -> bytes:
        request = calls.decode_request(body)
        if not self.leader_api.may_process(calls.attempt(request)):
            return self._encode_answer(leader_apis.NOT_LEADER)
        return self._encode_answer(
            await client_requests.handle(self.leader_api, request)
        )

    async def _on_control(self, _: str, body: bytes) -> bytes:
        request = calls.decode_request(body)
        return self._encode_answer(await self._control_here(request))

    async def _control_here(
        self, request: message.Request
    ) -> message.Response | outcomes.Refusal:
        if release_requests.is_for_releases(request):
            return await release_requests.handle(self.release_watch, request)
        return await control_requests.handle(
            self.leader_api, request, self.settings.listen.control, self.log
        )

    def _encode_answer(
        self, answer: message.Response | outcomes.Refusal
    ) -> bytes:
        state = self.replica.state
        if isinstance(answer, outcomes.Refusal):
            return calls.encode(calls.not_leading(state.leader, state.term))
        leadership = self.leader_api.leadership
        term = 0 if leadership is None else leadership.token
        return calls.encode(calls.wrap_response(answer, term))

    async def _answer(self, request: message.Request) -> message.Response:
        """Answer a worker or an operator, or forward to the leader."""
        answer = await self._control_here(request)
        if not isinstance(answer, outcomes.Refusal):
            return answer
        leader = self.replica.state.leader
        if leader and leader != self.network.name:
            reply = await self.network.call(
                leader,
                calls.CONTROL_CALL,
                calls.encode(request),
                FORWARD_TIMEOUT_SECONDS,
            )
            if not isinstance(reply, outcomes.Refusal):
                forwarded = calls.decode_answer(reply)
                if forwarded.kind == calls.Kind.ANSWERED:
                    return forwarded.response()
            elif reply.reason == outcomes.RefusalReason.TOO_LARGE:
                body = msgspec.json.encode({"error": [reply.detail]})
                return message.Response(413, body)
            elif reply.reason not in (
                outcomes.RefusalReason.UNREACHABLE,
                outcomes.RefusalReason.OVERLOADED,
            ):
                return message.Response(504)
        return client_requests.failure_response(leader_apis.NO_QUORUM)
