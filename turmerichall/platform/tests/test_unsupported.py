"""Tests of requested features that are not all supported yet.

KNOWN-RED.txt lists the tests that still fail.
"""

import json

import trio
import trio.testing

from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import message
from turmerichall.platform import control_requests
from turmerichall.queues import demand as demands

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument


async def _send_control_request(
    cluster: fakes.FakeCluster, request: message.Request
) -> message.Response:
    answer = await control_requests.handle(
        cluster.leader_api, request, "10.0.0.1:80", cluster.log
    )
    assert isinstance(answer, message.Response)
    return answer


class TestUnsupported:

    async def test_a_maintenance_wave_is_accepted(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        wave = {"wave": 1, "machines": ["m1"], "duration_s": 20, "max_count": 1}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.leader_api.run)
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is not None
            )
            body = json.dumps(wave).encode()
            request = message.Request("POST", "/v1/wave-start", {}, body)
            answer = await _send_control_request(cluster, request)
            nursery.cancel_scope.cancel()
        assert answer.status == 200

    async def test_same_rack_step_runs_on_one_rack(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [fakes.FakeWorker(f"w{i}", cpu=2000) for i in range(4)]
        for number, worker in enumerate(workers):
            rack = f"r{number % 2}"
            worker.record = worker.record._replace(rack=rack)
        cluster = fakes.FakeCluster(*workers)
        step = demands.StepDemand(
            4, cpu=1000, memory_mb=10, gang=True, same_rack=True
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.leader_api.run)
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is not None
            )
            await cluster.leader_api.submit(
                fakes.QUEUE, "a7", demands.JobDemand("", (step,))
            )
            await cluster.wait_until(lambda: len(cluster.starts()) == 4)
            nursery.cancel_scope.cancel()
        racks = {worker.record.rack for worker in workers if worker.history}
        assert len(racks) == 1
