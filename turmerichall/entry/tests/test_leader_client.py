"""Tests of finding the leader and forwarding calls to it."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch.tests import fakes
from turmerichall.entry import calls
from turmerichall.entry import leader_client as leader_clients
from turmerichall.http1 import message

REQUEST = message.Request("POST", "/jobs/1", {"host": "a.example"}, b"{}")
UNREACHABLE = outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
TIMEOUT = outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)


class FakeNetwork:
    """Fake of `peers.network.Network` with a fixed reply for each address.

    Attributes:
        replies: Reply of each address; addresses without one are unreachable.
        called: Addresses in the order in which they were called.
        addresses: Last addresses that were set.
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
        is_timeout = reply == TIMEOUT
        await trio.sleep(timeout_seconds if is_timeout else 0.002)
        return reply


def make_client(network: FakeNetwork) -> leader_clients.LeaderClient:
    return leader_clients.LeaderClient(
        network,  # type: ignore[arg-type]
        ("a", "b", "c"),
        fakes.RecordingLog(),
    )


def response_bytes(status: int = 200) -> bytes:
    return calls.encode(calls.wrap_response(message.Response(status, b"x")))


class TestForward:

    async def test_follows_the_redirect_to_the_leader(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        network.replies = {
            "a": calls.encode(calls.not_leading("c")),
            "c": response_bytes(),
        }
        answer = await make_client(network).forward(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 200
        assert network.called == ["a", "c"]

    async def test_call_that_reached_no_replica_is_unavailable(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        began_at = trio.current_time()
        answer = await make_client(FakeNetwork()).forward(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 503
        assert answer.headers["retry-after"] == "1"
        elapsed_seconds = trio.current_time() - began_at
        assert elapsed_seconds < leader_clients.LEADER_WAIT_SECONDS + 0.1

    async def test_call_that_reached_a_replica_times_out(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        network.replies = {"a": TIMEOUT}
        answer = await make_client(network).forward(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 504

    async def test_retries_a_timed_out_call_at_another_replica(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        network.replies = {"a": TIMEOUT, "b": response_bytes(201)}
        answer = await make_client(network).forward(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 201

    # Such a call ended the process of the entry instance.
    async def test_call_that_is_too_large_is_rejected_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        network.replies = {
            "a": outcomes.Refusal(outcomes.RefusalReason.TOO_LARGE)
        }
        answer = await make_client(network).forward(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 413
        assert network.called == ["a"]

    # Jobs were accepted and run for callers that waited no longer.
    async def test_call_without_time_for_an_answer_is_not_sent(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        network.replies = {"a": TIMEOUT}
        answer = await make_client(network).forward(
            calls.CLIENT_CALL, REQUEST, -0.5
        )
        assert answer.status == 504
        assert not network.called


class TickingClock(trio.abc.Clock):
    """A clock on which 1 ms passes whenever it is read, and none otherwise."""

    def __init__(self) -> None:
        self.now = 0.0

    def start_clock(self) -> None:
        """See `trio.abc.Clock`."""

    def current_time(self) -> float:
        """See `trio.abc.Clock`."""
        self.now += 0.001
        return self.now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """See `trio.abc.Clock`."""
        self.now = max(self.now, min(deadline, self.now + 10.0))
        return 0.0


class TestDeadline:

    # The process ended with ValueError: the deadline passed between two looks
    # at the clock, so that a replica was called with a negative timeout.
    @pytest.mark.parametrize("milliseconds", range(1, 9))
    def test_no_attempt_has_a_negative_timeout(self, milliseconds: int) -> None:
        timeouts: list[float] = []

        class Network(FakeNetwork):
            """Records the timeouts."""

            async def call(
                self,
                instance: str,
                kind: str,
                body: bytes,
                timeout_seconds: float,
            ) -> bytes | outcomes.Refusal:
                timeouts.append(timeout_seconds)
                return await super().call(
                    instance, kind, body, max(0.0, timeout_seconds)
                )

        async def forward() -> message.Response:
            return await make_client(Network()).forward(
                calls.CLIENT_CALL, REQUEST, (milliseconds + 0.5) / 1000
            )

        answer = trio.run(forward, clock=TickingClock())
        assert answer.status in (503, 504)
        assert all(seconds > 0 for seconds in timeouts)


class TestReadiness:

    async def test_needs_a_recent_answer_of_a_configured_leader(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        client = make_client(network)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)
            await trio.sleep(1.0)
            assert not client.ready()
            leader = leader_apis.Leader(
                "b", True, ("a", "b", "c"), configured=True
            )
            network.replies["b"] = calls.encode(leader)
            await trio.sleep(1.0)
            assert client.ready()
            network.replies.clear()
            await trio.sleep(leader_clients.MAX_LEADER_AGE_SECONDS + 0.1)
            assert not client.ready()
            nursery.cancel_scope.cancel()


class TestLog:

    async def test_tells_the_attempts_of_a_call_apart(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        refused = calls.wrap_response(message.Response(503), term=7)
        network.replies = {"a": TIMEOUT, "b": calls.encode(refused)}
        client = make_client(network)
        await client.forward(calls.CLIENT_CALL, REQUEST, 3.0)
        log = client.log
        assert isinstance(log, fakes.RecordingLog)
        attempts = next(
            fields["attempts"]
            for text, fields in log.lines
            if text == "call not served"
        )
        assert isinstance(attempts, list)
        assert attempts[0].startswith("a timeout at 0.00+1.20 s")
        assert attempts[1].startswith("b 503 (term 7) at 1.25+")


class TestUntrueRefusal:

    # A job ran though its caller had been told that it was refused: the first
    # attempt was proposed and committed late, and the second one was refused.
    @pytest.mark.parametrize("status", (429, 503, 404))
    async def test_refusal_after_an_unanswered_attempt_is_not_passed_on(
        self, autojump_clock: trio.testing.MockClock, status: int
    ) -> None:
        network = FakeNetwork()
        network.replies = {"a": TIMEOUT, "b": response_bytes(status)}
        answer = await make_client(network).forward(
            calls.CLIENT_CALL, REQUEST, 3.0
        )
        assert answer.status == 504
