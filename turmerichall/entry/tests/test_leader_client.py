"""Tests of the way from an entry instance to the leader."""

import trio

from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch.tests import fakes
from turmerichall.entry import calls
from turmerichall.entry import leader_client as leader_clients
from turmerichall.http1 import message

REQUEST = message.Request("POST", "/jobs/1", {"host": "a.example"}, b"{}")
UNREACHABLE = outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
TIMEOUT = outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)


class StandinNetwork:
    """Answers each address with what a test sets.

    Attributes:
        replies: What each address answers.
        called: Addresses that were called, in order.
    """

    def __init__(self) -> None:
        self.replies: dict[str, bytes | outcomes.Refusal] = {}
        self.called: list[str] = []
        self.addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """See `peers.network.Network`."""
        self.addresses = addresses

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """See `peers.network.Network`."""
        del kind, body
        self.called.append(instance)
        reply = self.replies.get(instance, UNREACHABLE)
        waits = reply == TIMEOUT
        await trio.sleep(timeout_seconds if waits else 0.002)
        return reply


def leader_client(network: StandinNetwork) -> leader_clients.LeaderClient:
    return leader_clients.LeaderClient(
        network,  # type: ignore[arg-type]
        ("a", "b", "c"),
        fakes.RecordingLog(),
    )


def done(status: int = 200) -> bytes:
    return calls.encode(calls.wrap_response(message.Response(status, b"x")))


class TestPassOn:

    async def test_follows_the_way_to_the_leader(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = StandinNetwork()
        network.replies = {
            "a": calls.encode(calls.not_leading("c")),
            "c": done(),
        }
        answer = await leader_client(network).pass_on(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 200
        assert network.called == ["a", "c"]

    async def test_what_no_replica_was_given_has_not_run(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        began_at = trio.current_time()
        answer = await leader_client(StandinNetwork()).pass_on(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 503
        assert answer.headers["retry-after"] == "1"
        waited = trio.current_time() - began_at
        assert waited < leader_clients.PATIENCE_SECONDS + 0.1

    async def test_what_a_replica_was_given_may_have_run(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = StandinNetwork()
        network.replies = {"a": TIMEOUT}
        answer = await leader_client(network).pass_on(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 504

    async def test_a_call_without_an_answer_goes_to_the_next_leader(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = StandinNetwork()
        network.replies = {"a": TIMEOUT, "b": done(201)}
        answer = await leader_client(network).pass_on(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 201

    async def test_ends_when_the_caller_has_no_time_left(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = StandinNetwork()
        network.replies = {"a": TIMEOUT}
        answer = await leader_client(network).pass_on(
            calls.CLIENT_CALL, REQUEST, -0.5
        )
        assert answer.status == 504


class TestReadiness:

    async def test_needs_news_of_a_configured_leader(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = StandinNetwork()
        way = leader_client(network)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(way.run)
            await trio.sleep(1.0)
            assert not way.ready()
            leader = leader_apis.Leader(
                "b", True, ("a", "b", "c"), configured=True
            )
            network.replies["b"] = calls.encode(leader)
            await trio.sleep(1.0)
            assert way.ready()
            network.replies.clear()
            await trio.sleep(leader_clients.NEWS_SECONDS + 0.1)
            assert not way.ready()
            nursery.cancel_scope.cancel()
