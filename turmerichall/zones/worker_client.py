"""Sends commands to workers over HTTP."""

from typing import NamedTuple

import httpcore
import trio

from turmerichall import documents
from turmerichall import errors
from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements

__all__ = ["CommandResult", "WorkerClient"]

COMMAND_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 1 << 20


class CommandResult(NamedTuple):
    """A worker's answer to one command.

    Attributes:
        task_id: Id of the task.
        attempt: Number of the attempt.
        accepted: Whether the worker executes the command.
        detail: Why the worker does not execute the command, or empty.
    """

    task_id: str
    attempt: int
    accepted: bool
    detail: str = ""


class WorkerClient:
    """Sends commands to workers without waiting for their announcements.

    Otherwise a worker gets a command only in the reply to its next
    announcement.

    Attributes:
        key: Shared key that authenticates the commands to workers.
        pool: Connections to workers.
    """

    def __init__(self, key: str):
        self.key = key
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=128, keepalive_expiry=30.0
        )

    async def send(
        self, address: str, commands: list[announcements.Command]
    ) -> list[CommandResult] | outcomes.Refusal | outcomes.Unknown:
        """Send commands to one worker.

        Args:
            address: `host:port` of the worker.
            commands: The commands.

        Returns:
            The worker's answers; a refusal if the commands were not delivered;
            `Unknown` if the worker may have executed them.
        """
        try:
            with trio.fail_after(COMMAND_TIMEOUT_SECONDS):
                response = await self.pool.request(
                    "POST",
                    f"http://{address}/v1/tasks",
                    headers=self._headers(),
                    content=documents.encode(commands),
                )
        except httpcore.ConnectError as error:
            return outcomes.Refusal(
                outcomes.RefusalReason.CONNECT_FAILED, str(error)
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return outcomes.Unknown(
                outcomes.UnknownReason.CONNECTION_LOST, str(error)
            )
        except (httpcore.TimeoutException, trio.TooSlowError):
            return outcomes.Unknown(outcomes.UnknownReason.SILENT, address)
        return _parse(response)

    def _headers(self) -> list[tuple[str, str]]:
        return [
            ("Authorization", f"Bearer {self.key}"),
            ("Content-Type", "application/json"),
        ]


def _parse(
    response: httpcore.Response,
) -> list[CommandResult] | outcomes.Unknown:
    if response.status != 200 or len(response.content) > MAX_ANSWER_BYTES:
        return outcomes.Unknown(
            outcomes.UnknownReason.TRUNCATED, f"status {response.status}"
        )
    try:
        return documents.decode(response.content, list[CommandResult])
    except errors.InputError as error:
        return outcomes.Unknown(outcomes.UnknownReason.TRUNCATED, str(error))
