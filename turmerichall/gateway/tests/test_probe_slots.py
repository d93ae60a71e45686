"""Tests of probes of ejected servers that never reach the server."""

import functools
from typing import Any

import pytest
import trio

from turmerichall.gateway import request_id

# Past the end of every ejection, and of the additional delay for requests that
# are not idempotent.
LONG_AGO_SECONDS = 100.0


class TestProbeThatWasNotSent:

    # The server counted as being probed from then on, and got no work until it
    # was restarted.
    async def test_a_duplicate_request_leaves_the_server_to_be_probed(
        self, testbed: Any
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend, attempts=1)
        headers = {
            "turmerichall_request_id": request_id.make(),
            "turmerichall_idempotent": "false",
        }
        first = await caller.send(**headers)
        assert first.status == 200
        health = caller.gateway.application.fleet.pools["w1"].health
        health.eject(trio.current_time() - LONG_AGO_SECONDS)
        duplicate = await caller.send(**headers)
        assert duplicate.status != 200
        assert health.may_probe(trio.current_time())
        response = await caller.send(turmerichall_idempotent="true")
        assert (response.status, health.ejected) == (200, False)

    async def test_cancelled_claim_leaves_the_server_to_be_probed(
        self, testbed: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend, attempts=1)
        application = caller.gateway.application
        await caller.send(turmerichall_idempotent="true")
        health = application.fleet.pools["w1"].health
        health.eject(trio.current_time() - LONG_AGO_SECONDS)

        async def wait_forever(_: str) -> None:
            await trio.sleep_forever()

        claims = application.dispatcher.claims
        monkeypatch.setattr(claims, "acquire", wait_forever)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    caller.send,
                    turmerichall_request_id=request_id.make(),
                    turmerichall_idempotent="false",
                )
            )
            await testbed.wait_until(lambda: health.probing)
            nursery.cancel_scope.cancel()
        await testbed.wait_until(lambda: health.may_probe(trio.current_time()))
        response = await caller.send(turmerichall_idempotent="true")
        assert (response.status, health.ejected) == (200, False)
