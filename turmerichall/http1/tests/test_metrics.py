"""Tests of the port for metrics."""

import trio

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1 import metrics
from turmerichall.telemetry import lightweight_metrics


class TestManyScrapes:

    # Each scrape took milliseconds, so that a crowd of them would have kept a
    # leader from its heartbeats.
    async def test_one_exposition_serves_those_of_a_moment(
        self, nursery: trio.Nursery
    ) -> None:
        registry = lightweight_metrics.MetricsRegistry()
        reads = 0

        def read() -> float:
            nonlocal reads
            reads += 1
            return reads

        registry.add_gauge("reads", "Number of reads.", read)
        server = metrics.make_server(registry)
        address = await nursery.start(server.run, "127.0.0.1:0")
        client = http_client.Client(address)
        began_at = trio.current_time()
        for _ in range(100):
            response = await client.call("GET", "/metrics", b"", {}, 2.0)
            assert isinstance(response, message.Response)
            assert b"turmerichall_reads" in response.body
        seconds = trio.current_time() - began_at
        assert reads <= 1 + seconds / metrics.MAX_AGE_SECONDS
        await trio.sleep(metrics.MAX_AGE_SECONDS)
        before = reads
        await client.call("GET", "/metrics", b"", {}, 2.0)
        assert reads == before + 1
        client.close()
        nursery.cancel_scope.cancel()
