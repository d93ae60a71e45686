"""Tests of the claims of an instance after planned and other restarts."""

from typing import Any

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.gateway import claim_handover
from turmerichall.gateway import claim_store
from turmerichall.gateway import claims
from turmerichall.gateway import request_id as request_ids

ZONES = {"a": "z1", "b": "z2", "c": "z3"}
ID_AGE_SECONDS = 5.0


class _NetworkHub:
    """Connection of the in-memory networks of the instances."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], Any] = {}
        self.down: set[str] = set()
        self.loses_answers: set[str] = set()


class _FakeNetwork:
    """The network of one instance."""

    def __init__(self, name: str, hub: _NetworkHub):
        self.name = name
        self.hub = hub

    def handle(self, kind: str, handler: Any) -> None:
        """Register a handler."""
        self.hub.handlers[(self.name, kind)] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Call a handler of another instance."""
        del timeout_seconds
        await trio.lowlevel.checkpoint()
        if instance in self.hub.down:
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        handler = self.hub.handlers[(instance, kind)]
        reply: bytes = await handler(self.name, body)
        if instance in self.hub.loses_answers:
            return outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)
        return reply

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Drop a one-way message."""
        del instance, kind, body
        return True


class _Instances:
    """Claim stores of three instances that share a clock."""

    def __init__(self) -> None:
        self.hub = _NetworkHub()
        self.handovers: dict[str, claim_handover.ClaimHandover] = {}

    def start(self, name: str) -> claim_handover.ClaimHandover:
        """Start or restart an instance with an empty claim store."""
        network = _FakeNetwork(name, self.hub)
        instance_claims = claims.Claims(name, network, ZONES, trio.current_time)
        self.hub.down.discard(name)
        self.handovers[name] = claim_handover.ClaimHandover(
            name, network, instance_claims
        )
        return self.handovers[name]

    async def start_all(self) -> None:
        """Start all instances and run their restore."""
        for name in ZONES:
            self.start(name)
        for handover in list(self.handovers.values()):
            await handover.restore()
        await trio.sleep(
            2 * claim_store.MAX_CLOCK_SKEW_SECONDS + ID_AGE_SECONDS
        )

    def claim(
        self, name: str, request_id: str, token: str
    ) -> claim_store.ClaimState:
        """Claim an id at one instance."""
        store = self.handovers[name].claims.store
        return store.claim(request_id, token, trio.current_time()).state

    async def stop(self, name: str) -> bool:
        """Stop an instance as planned."""
        handed_over = await self.handovers[name].hand_over()
        self.hub.down.add(name)
        return handed_over


def _new_id() -> str:
    return request_ids.make(now=trio.current_time())


class TestPlannedRestart:

    async def test_granted_claims_are_known_and_new_ones_granted_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        first, second = _new_id(), _new_id()
        instances.claim("a", first, "t1")
        assert await instances.stop("a")
        await trio.sleep(1)
        await instances.start("a").restore()
        assert (
            instances.claim("a", first, "t2")
            == claim_store.ClaimState.IN_PROGRESS
        )
        assert (
            instances.claim("a", second, "t3") == claim_store.ClaimState.GRANTED
        )

    async def test_snapshot_of_several_chunks_is_restored(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        ids = [
            _new_id() for _ in range(2 * claim_handover.CLAIMS_PER_CHUNK + 1)
        ]
        for number, request_id in enumerate(ids):
            instances.claim("a", request_id, str(number))
        assert await instances.stop("a")
        await instances.start("a").restore()
        states = {
            instances.claim("a", request_id, "again") for request_id in ids
        }
        assert states == {claim_store.ClaimState.IN_PROGRESS}

    async def test_stopping_instance_grants_no_more_claims(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        await instances.stop("a")
        assert (
            instances.claim("a", _new_id(), "t")
            == claim_store.ClaimState.ABSTAINED
        )


class TestUnplannedRestart:

    async def test_killed_instance_abstains_from_older_ids(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        request_id = _new_id()
        await instances.start("a").restore()
        assert (
            instances.claim("a", request_id, "t")
            == claim_store.ClaimState.ABSTAINED
        )

    async def test_outdated_snapshot_is_not_restored(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        assert await instances.stop("a")
        instances.hub.down.add("b")
        await instances.start("a").restore()
        await trio.sleep(2 * claim_store.MAX_CLOCK_SKEW_SECONDS)
        request_id = _new_id()
        assert (
            instances.claim("a", request_id, "t1")
            == claim_store.ClaimState.GRANTED
        )
        instances.hub.down.discard("b")
        await instances.start("a").restore()
        assert (
            instances.claim("a", request_id, "t2")
            == claim_store.ClaimState.ABSTAINED
        )

    @pytest.mark.parametrize("seconds", [1, 4, 7, 9])
    async def test_snapshot_whose_answer_was_lost_is_not_restored_later(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        seconds: int,
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        request_id = _new_id()
        instances.hub.loses_answers.add("b")
        await instances.stop("a")
        instances.hub.loses_answers.clear()
        instances.hub.down.add("b")
        nursery.start_soon(instances.start("a").restore)
        await trio.sleep(seconds)
        first = instances.claim("a", request_id, "t1")
        instances.hub.down.discard("b")
        await instances.start("a").restore()
        second = instances.claim("a", request_id, "t2")
        assert (first, second) != (
            claim_store.ClaimState.GRANTED,
            claim_store.ClaimState.GRANTED,
        )

    async def test_restore_waits_while_a_snapshot_may_be_unreachable(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        instances.hub.down.add("b")
        nursery.start_soon(instances.start("a").restore)
        await trio.sleep(claim_handover.RETENTION_SECONDS - 1)
        assert (
            instances.claim("a", _new_id(), "t")
            == claim_store.ClaimState.ABSTAINED
        )
        await trio.sleep(2)
        assert (
            instances.claim("a", _new_id(), "t")
            == claim_store.ClaimState.GRANTED
        )
