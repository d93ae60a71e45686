"""Unary grpcio calls whose threads are bridged to trio."""

from concurrent import futures
from typing import Any

import grpc
import trio

from turmerichall.benchmarks import wire

__all__ = ["run"]

METHOD = "/echo"
GRPC_THREADS = 8


async def run(calls: int) -> wire.Round:
    """Measure unary calls with client and server in this process."""
    token = trio.lowlevel.current_trio_token()

    def handle(body: bytes, _: grpc.ServicerContext) -> bytes:
        return trio.from_thread.run(wire.echo, "", body, trio_token=token)

    class Handlers(grpc.GenericRpcHandler):
        """Serves a single method without generated code."""

        def service(self, _: grpc.HandlerCallDetails) -> Any:
            """Return the same handler for any method."""
            return grpc.unary_unary_rpc_method_handler(handle)

    server = grpc.server(futures.ThreadPoolExecutor(GRPC_THREADS))
    server.add_generic_rpc_handlers((Handlers(),))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    channel = grpc.insecure_channel(f"127.0.0.1:{port}")
    method = channel.unary_unary(METHOD)

    async def call() -> Any:
        return await trio.to_thread.run_sync(
            lambda: method(wire.BODY, timeout=wire.CALL_SECONDS)
        )

    measured = await wire.measure(call, calls)
    await trio.to_thread.run_sync(channel.close)
    await trio.to_thread.run_sync(lambda: server.stop(0).wait())
    return measured
