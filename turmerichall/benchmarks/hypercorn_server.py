"""Serves an ASGI application with hypercorn as it comes."""

import functools
import logging
from typing import Any

import hypercorn
import hypercorn.trio
import trio

__all__ = ["serve"]

BACKLOG = 512


async def serve(
    app: Any,
    listen: str,
    stop: trio.Event,
    drain_limit_seconds: float,
    *,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until `stop` is set and the requests in flight are done.

    Args:
        app: The ASGI application.
        listen: `host:port`; port 0 takes any.
        stop: Closes the listener once it is set.
        drain_limit_seconds: How long requests in flight may take from then on.
        task_status: Started with the `host:port` that is listened on.
    """
    config = hypercorn.Config()
    config.bind = [listen]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = _quiet_logger()
    config.graceful_timeout = drain_limit_seconds
    config.include_server_header = False
    config.include_date_header = False
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            functools.partial(
                hypercorn.trio.serve,
                app,
                config,
                shutdown_trigger=stop.wait,
                mode="asgi",
            )
        )
        task_status.started(binds[0].split("//", 1)[1])


def _quiet_logger() -> logging.Logger:
    logger = logging.getLogger("turmerichall.benchmarks.hypercorn_server")
    logger.setLevel(logging.WARNING)
    return logger
