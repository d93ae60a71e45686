"""Server of an ASGI application with unmodified hypercorn."""

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
    """Serve until `stop` is set and requests in flight are complete.

    Args:
        app: The ASGI application.
        listen: Address as `host:port`; port 0 selects a free port.
        stop: Event that closes the listener.
        drain_limit_seconds: Time-out for requests in flight after `stop` is
            set.
        task_status: Started with the listener's address as `host:port`.
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
