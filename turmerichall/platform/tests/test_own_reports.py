"""Fuzz test: after any odd heartbeat, the worker's own reports take effect."""

import json
import random

import pytest
import trio
import trio.testing

from turmerichall import errors
from turmerichall.dispatch.heartbeats.tests import test_sequence
from turmerichall.dispatch.tests import test_leadership
from turmerichall.fuzzing import mutations
from turmerichall.platform import control_requests
from turmerichall.platform import sound_messages

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

PAIRS = 100
# Reports after which the worker's capacity has to be followed again.
REPORTS = 5


class TestOwnReports:

    # A number out of the worker's reach made all of its reports count as late.
    @pytest.mark.parametrize("seed", range(4))
    async def test_they_take_effect_after_an_odd_heartbeat(
        self, mocked_clocks: trio.testing.MockClock, seed: int
    ) -> None:
        await play(seed, PAIRS)


async def play(seed: int, pairs: int) -> None:
    """Send pairs of an odd heartbeat and reports of the worker.

    Args:
        seed: Seed of the odd heartbeats.
        pairs: Number of pairs.
    """
    rng = random.Random(seed)
    reporter = test_sequence.Reporter()
    record = reporter.worker.record
    sound = sound_messages.heartbeat(record.address, "m", 1, 1, record.service)
    odd_count = 0

    async def script() -> None:
        nonlocal odd_count
        assert await reporter.report()
        for _ in range(pairs):
            body = mutations.hostile_document(sound, rng)
            if rng.random() < 0.3:
                number = rng.choice((2**53 - 1, 10**15, 10**6, 0))
                body = json.dumps(sound | {"seq": number}).encode()
            odd = control_requests.heartbeat_from_wire("w1", body)
            if not isinstance(odd, errors.Finding) and not odd.draining:
                odd_count += 1
                await reporter.cluster.leader_api.heartbeat(odd)
            cpu = rng.randint(1000, 9000)
            for _ in range(REPORTS):
                assert await reporter.report(cpu=cpu)
                await trio.sleep(test_sequence.HEARTBEAT_SECONDS)
            assert reporter.known.cpu == cpu
        assert await reporter.report(draining=True)
        assert reporter.cluster.queue_state.draining == {"w1"}

    await test_leadership.run_script(reporter.cluster, script)
    assert odd_count > pairs / 10
