"""Listens for callers and serves each of their connections."""

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
    *,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until `stop` is set and the requests in flight are done.

    Args:
        app: The ASGI application.
        listen: `host:port`; port 0 takes any.
        stop: Closes the listener and idle connections once it is set.
        drain_limit_seconds: How long requests in flight may take from then on.
        limits: Bounds of the request path.
        keep_alive_seconds: How long a connection may be idle, which bounds
            the time for the head of a request too.
        task_status: Started with the `host:port` that is listened on.
    """
    wrapped = hypercorn.app_wrappers.ASGIWrapper(app)
    config = _config(keep_alive_seconds)
    lifespan = hypercorn.trio.lifespan.Lifespan(wrapped, config, {})
    async with trio.open_nursery() as nursery:
        await nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        handler = _Handler(wrapped, config, limits)
        host, _, port = listen.rpartition(":")
        listeners = list(
            await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        )
        bound = listeners[0].socket.getsockname()
        task_status.started(f"{bound[0]}:{bound[1]}")
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
        limit = trio.current_time() + drain_limit_seconds
        connections.cancel_scope.deadline = limit


class _Handler:
    """Serves accepted connections.

    Attributes:
        context: Tells connections that the server stops.
        open: Connections open now.
    """

    def __init__(
        self, app: Any, config: hypercorn.Config, limits: limits_module.Limits
    ):
        self.app = app
        self.config = config
        self.limits = limits
        self.context = hypercorn.trio.worker_context.WorkerContext(None)
        self.open = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection; its failure ends no other."""
        if self.open >= self.limits.caller_connections:
            await trio.aclose_forcefully(stream)
            return
        self.open += 1
        connection = caller_connection.CallerConnection(
            self.app,
            self.config,
            self.context,
            self.limits.caller_stall_seconds,
            stream,
        )
        try:
            await connection.run()
        except Exception:  # pylint: disable=broad-exception-caught
            _LOGGER.exception("gateway: a caller's connection failed")
        finally:
            self.open -= 1


def _config(keep_alive_seconds: float) -> hypercorn.Config:
    config = hypercorn.Config()
    config.accesslog = None
    config.errorlog = _LOGGER
    config.keep_alive_timeout = keep_alive_seconds
    config.include_server_header = False
    config.include_date_header = False
    return config
