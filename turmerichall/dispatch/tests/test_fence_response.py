"""Tests of what a leader does after workers refused its token."""

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import fence_response
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import state as states

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

ALL = {"w1", "w2", "w3"}


class _Replica(fakes.FakeReplica):
    """A replica whose leadership a quorum confirms, or not.

    Attributes:
        has_quorum: Whether a quorum answers.
        replaced: Whether another leader answers the next barrier.
        resigned: Term and time of each resignation.
    """

    def __init__(self) -> None:
        super().__init__(states.QueueState())
        self.has_quorum = True
        self.replaced = False
        self.resigned: list[tuple[int, float]] = []

    async def barrier(self, timeout_seconds: float) -> outcomes.Refusal | None:
        """See `FakeReplica`."""
        if not self.has_quorum:
            return await super().barrier(timeout_seconds)
        await trio.sleep(0.01)
        if self.replaced:
            self.lead(0)
        return None

    def resign(self, term: int) -> None:
        """See `FakeReplica`."""
        self.resigned.append((term, trio.current_time()))
        super().resign(term)


class _Responder:
    """A response under test, with its replica and log."""

    def __init__(self) -> None:
        self.replica = _Replica()
        self.log = fakes.RecordingLog()
        self.response = fence_response.FenceResponse(
            self.replica, self.log  # type: ignore[arg-type]
        )

    async def fence(
        self, *fencers: str, workers: set[str] | None = None
    ) -> frozenset[str]:
        """Fence the leader in its term; elect it again if it resigned."""
        term = self.replica.term
        kept_out = await self.response.respond(
            term, set(fencers), ALL if workers is None else workers
        )
        if not self.replica.term:
            self.replica.lead(term + 1)
        return kept_out


class TestConfirmation:

    async def test_nothing_happens_without_a_quorum(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        responder.replica.has_quorum = False
        with trio.move_on_after(60.0) as scope:
            await responder.fence("w1")
        assert scope.cancelled_caught
        assert not responder.replica.resigned

    async def test_a_quorum_that_answers_later_confirms(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        responder.replica.has_quorum = False
        nursery.start_soon(responder.fence, "w1")
        await trio.sleep(5.0)
        responder.replica.has_quorum = True
        await trio.sleep(2.0)
        assert [term for term, _ in responder.replica.resigned] == [1]

    async def test_a_barrier_that_another_leader_answered_confirms_nothing(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        responder.replica.replaced = True
        for _ in range(2):
            assert not await responder.fence("w1")
        assert not responder.replica.resigned


class TestBackOff:

    async def test_pauses_grow_to_their_maximum(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        pauses = []
        for _ in range(9):
            began_at = trio.current_time()
            assert not await responder.fence(*ALL)
            pauses.append(round(trio.current_time() - began_at))
        assert pauses == [0, 1, 2, 4, 8, 16, 30, 30, 30]
        assert len(responder.replica.resigned) == 9

    async def test_pauses_start_again_after_a_calm_time(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        for _ in range(4):
            await responder.fence(*ALL)
        await trio.sleep(fence_response.CALM_SECONDS + 1.0)
        began_at = trio.current_time()
        await responder.fence(*ALL)
        assert trio.current_time() - began_at < 0.1

    async def test_a_pause_ends_with_the_leadership(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        for _ in range(6):
            await responder.fence(*ALL)
        replica = responder.replica
        began_at = trio.current_time()

        async def be_replaced() -> None:
            await trio.sleep(3.0)
            replica.lead(0)

        nursery.start_soon(be_replaced)
        await responder.fence(*ALL)
        assert trio.current_time() - began_at < 3.5
        assert replica.term == 8


class TestWrongToken:

    async def test_the_second_fence_within_a_minute_keeps_a_worker_out(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        assert not await responder.fence("w1")
        await trio.sleep(50.0)
        assert await responder.fence("w1") == {"w1"}
        assert [term for term, _ in responder.replica.resigned] == [1]
        message, fields = responder.log.lines[-1]
        assert message.startswith("worker is kept out of use")
        assert fields == {"worker": "w1", "term": 2}

    async def test_a_second_fence_later_is_a_first_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        await responder.fence("w1")
        await trio.sleep(70.0)
        assert not await responder.fence("w1")
        assert len(responder.replica.resigned) == 2

    async def test_fences_of_different_workers_are_counted_apart(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        await responder.fence("w1")
        assert not await responder.fence("w2")
        assert not await responder.fence("w2", "w3")
        assert await responder.fence("w1") == {"w1"}

    # The term is too low for all workers, and has to rise further.
    async def test_the_last_workers_are_not_kept_out(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        responder = _Responder()
        for _ in range(3):
            assert not await responder.fence("w1", workers={"w1"})
        assert len(responder.replica.resigned) == 3
