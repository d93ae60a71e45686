"""HTTP server that accepts and serves connections of callers."""

from collections.abc import Callable
import functools
import logging
from typing import Any

import hypercorn
import hypercorn.app_wrappers
import hypercorn.trio.lifespan
import hypercorn.trio.worker_context
import trio

from turmerichall.gateway import caller_connection
from turmerichall.gateway import limits as limits_module
from turmerichall.intake import budget as budgets
from turmerichall.intake import limits as intake_limits

__all__ = ["serve"]

BACKLOG = 512
KEEP_ALIVE_SECONDS = 60.0
DEFAULT_LIMITS = limits_module.Limits()

_LOGGER = logging.getLogger("turmerichall.gateway.server")


async def serve(
    app: Any,
    listen: str,
    stop: trio.Event,
    drain_limit_seconds: float,
    limits: limits_module.Limits = DEFAULT_LIMITS,
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    on_given_up: Callable[[budgets.Reason], None] = lambda _: None,
    *,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stop` is set and the requests in flight are finished.

    Args:
        app: The ASGI application.
        listen: `host:port`; port 0 chooses a free port.
        stop: Once it is set, the listener and idle connections are closed.
        drain_limit_seconds: How long requests in flight may take after that.
        limits: Limits of the request path.
        keep_alive_seconds: How long a connection may be idle; also the timeout
            for the head of a request.
        on_given_up: Called with the reason when a connection gives way to
            others, or a request is refused for them.
        task_status: Receives the `host:port` of the listener.
    """
    wrapped = hypercorn.app_wrappers.ASGIWrapper(app)
    config = _config(keep_alive_seconds)
    lifespan = hypercorn.trio.lifespan.Lifespan(wrapped, config, {})
    async with trio.open_nursery() as nursery:
        await nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        budget = budgets.Budget(
            intake_limits.Limits(limits.held_bytes, limits.caller_connections),
            on_given_up,
            copies=1,
        )
        handler = _Handler(wrapped, config, limits, budget)
        host, _, port = listen.rpartition(":")
        listeners = list(
            await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        )
        address = listeners[0].socket.getsockname()
        task_status.started(f"{address[0]}:{address[1]}")
        await _accept(handler, listeners, stop, drain_limit_seconds)
        await lifespan.wait_for_shutdown()
        nursery.cancel_scope.cancel()


async def _accept(
    handler: "_Handler",
    listeners: list[trio.SocketListener],
    stop: trio.Event,
    drain_limit_seconds: float,
) -> None:
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handler.serve,
                    listeners,
                    handler_nursery=connections,
                )
            )
            await stop.wait()
            accepting.cancel_scope.cancel()
        await handler.context.terminated.set()
        drain_deadline = trio.current_time() + drain_limit_seconds
        connections.cancel_scope.deadline = drain_deadline


class _Handler:
    """Handler of accepted connections.

    Attributes:
        context: Signals connections that the server is stopping.
        budget: Limits what the connections take together.
    """

    def __init__(
        self,
        app: Any,
        config: hypercorn.Config,
        limits: limits_module.Limits,
        budget: budgets.Budget,
    ):
        self.app = app
        self.config = config
        self.limits = limits
        self.context = hypercorn.trio.worker_context.WorkerContext(None)
        self.budget = budget

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection; an error in it doesn't affect the others."""
        connection = caller_connection.CallerConnection(
            self.app,
            self.config,
            self.context,
            self.limits.caller_stall_seconds,
            stream,
            self.budget,
        )
        if not connection.open():
            await trio.aclose_forcefully(stream)
            return
        try:
            await connection.run()
        except Exception:  # pylint: disable=broad-exception-caught
            _LOGGER.exception("gateway: connection of a caller failed")


def _config(keep_alive_seconds: float) -> hypercorn.Config:
    config = hypercorn.Config()
    config.accesslog = None
    config.errorlog = _LOGGER
    config.keep_alive_timeout = keep_alive_seconds
    config.include_server_header = False
    config.include_date_header = False
    return config
