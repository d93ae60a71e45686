"""Poll that only asks whether a worker answers."""

from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes

__all__ = ["poll_once"]


async def poll_once(
    make_client: worker_client.MakeClient,
    record: changes.WorkerRecord,
    token: int,
) -> worker_client.WorkerStatus | worker_client.PollFailure:
    """Poll an incarnation, on a connection of its own.

    The poll neither renews a lease nor acknowledges ends.

    Args:
        make_client: Makes the client.
        record: The incarnation.
        token: The leader's fencing token.
    """
    client = make_client(record)
    try:
        return await client.poll(token, 0, None, 0)
    finally:
        client.close()
