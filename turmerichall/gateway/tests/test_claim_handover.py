"""Tests of a keeper's memory across restarts."""

from typing import Any

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.gateway import claims
from turmerichall.gateway import claim_handover as custody
from turmerichall.gateway import claim_store as keeper
from turmerichall.gateway import request_id

ZONES = {"a": "z1", "b": "z2", "c": "z3"}
BORN_BEFORE_SECONDS = 5.0


class _Hub:
    """Joins the networks of instances in memory."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], Any] = {}
        self.down: set[str] = set()


class _Net:
    """The network of one instance."""

    def __init__(self, name: str, hub: _Hub):
        self.name = name
        self.hub = hub

    def handle(self, kind: str, handler: Any) -> None:
        """Registers a handler."""
        self.hub.handlers[(self.name, kind)] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler of another instance."""
        del timeout_seconds
        await trio.lowlevel.checkpoint()
        if instance in self.hub.down:
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        handler = self.hub.handlers[(instance, kind)]
        answer: bytes = await handler(self.name, body)
        return answer

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Sends nothing."""
        del instance, kind, body
        return True


class _Instances:
    """Keepers of three instances on one clock."""

    def __init__(self) -> None:
        self.hub = _Hub()
        self.parts: dict[str, custody.Custody] = {}

    def start(self, name: str) -> custody.Custody:
        """Starts an instance, or anew with no memory."""
        net = _Net(name, self.hub)
        made = claims.Claims(name, net, ZONES, trio.current_time)
        self.hub.down.discard(name)
        self.parts[name] = custody.Custody(name, net, made)
        return self.parts[name]

    async def start_all(self) -> None:
        """Starts all instances and lets them ask each other."""
        for name in ZONES:
            self.start(name)
        for part in list(self.parts.values()):
            await part.take_back()
        await trio.sleep(2 * keeper.SKEW_SECONDS + BORN_BEFORE_SECONDS)

    def claim(self, name: str, text: str, token: str) -> keeper.State:
        """Claims an id at one keeper."""
        kept = self.parts[name].claims.keeper
        return kept.claim(text, token, trio.current_time()).state

    async def stop(self, name: str) -> bool:
        """Stops an instance as planned."""
        given = await self.parts[name].hand_over()
        self.hub.down.add(name)
        return given


def _new_id() -> str:
    return request_id.make(now=trio.current_time())


class TestPlannedRestart:

    async def test_keeper_knows_what_it_granted_and_vouches_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        first, second = _new_id(), _new_id()
        instances.claim("a", first, "t1")
        assert await instances.stop("a")
        await trio.sleep(1)
        await instances.start("a").take_back()
        assert instances.claim("a", first, "t2") == keeper.State.IN_PROGRESS
        assert instances.claim("a", second, "t3") == keeper.State.GRANTED

    async def test_large_memory_comes_back_whole(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        ids = [_new_id() for _ in range(2 * custody.CLAIMS_PER_PART + 1)]
        for number, text in enumerate(ids):
            instances.claim("a", text, str(number))
        assert await instances.stop("a")
        await instances.start("a").take_back()
        states = {instances.claim("a", text, "again") for text in ids}
        assert states == {keeper.State.IN_PROGRESS}

    async def test_stopping_keeper_grants_nothing_more(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        await instances.stop("a")
        assert instances.claim("a", _new_id(), "t") == keeper.State.ABSTAINED


class TestUnplannedRestart:

    async def test_killed_keeper_abstains_from_older_ids(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        text = _new_id()
        await instances.start("a").take_back()
        assert instances.claim("a", text, "t") == keeper.State.ABSTAINED

    async def test_memory_of_an_earlier_run_is_not_taken_after_a_later_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        assert await instances.stop("a")
        instances.hub.down.add("b")
        await instances.start("a").take_back()
        await trio.sleep(2 * keeper.SKEW_SECONDS)
        text = _new_id()
        assert instances.claim("a", text, "t1") == keeper.State.GRANTED
        instances.hub.down.discard("b")
        await instances.start("a").take_back()
        assert instances.claim("a", text, "t2") == keeper.State.ABSTAINED

    async def test_it_waits_while_a_memory_may_be_out_of_reach(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        instances = _Instances()
        await instances.start_all()
        instances.hub.down.add("b")
        nursery.start_soon(instances.start("a").take_back)
        await trio.sleep(custody.KEPT_SECONDS - 1)
        assert instances.claim("a", _new_id(), "t") == keeper.State.ABSTAINED
        await trio.sleep(2)
        assert instances.claim("a", _new_id(), "t") == keeper.State.GRANTED
