"""Workers of a soak: they fall silent, and start again under their id."""

import json

import trio

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.platform import sound_messages
from turmerichall.platform.tests import wire_worker

__all__ = ["ServedWorker"]

HEARTBEAT_SECONDS = 1.1
CALL_SECONDS = 3.0


class ServedWorker:
    """A worker that is reached over sockets, which end with each life.

    Attributes:
        worker: The worker.
        address: Its address; empty before its first life.
    """

    def __init__(self, number: int, run_seconds: float):
        self.worker = wire_worker.WireWorker(f"worker-{number}")
        self.worker.run_seconds = self.worker.life.run_seconds = run_seconds
        self.worker.stop_seconds = self.worker.life.stop_seconds = 0.3
        self.address = ""
        self._number = number
        self._life_scope = trio.CancelScope()

    async def run(self, controls: list[http_client.Client]) -> None:
        """Serve and send heartbeats, one life after the other.

        Args:
            controls: Clients of the replicas' control ports.
        """
        port = "0"
        while True:
            with trio.CancelScope() as self._life_scope:
                async with trio.open_nursery() as nursery:
                    self.address = await nursery.start(
                        server.Server(self._answer).run, f"127.0.0.1:{port}"
                    )
                    port = self.address.rpartition(":")[2]
                    await self._send_heartbeats(controls)
            self.worker.restart()

    async def fall(self, seconds: float) -> None:
        """Be silent for a time, then start again with nothing of before."""
        self.worker.life.silent = True
        await trio.sleep(seconds)
        self._life_scope.cancel()

    async def _answer(self, request: message.Request) -> message.Response:
        life = self.worker.life
        result: message.Response | http_client.CallFailure | None = None
        if not life.silent:
            result = await self.worker.call(
                request.method,
                request.target,
                request.body,
                request.headers,
                CALL_SECONDS,
            )
        while not isinstance(result, message.Response) or life.silent:
            # The connection ends with the life.
            await trio.sleep(CALL_SECONDS)
        return result

    async def _send_heartbeats(
        self, controls: list[http_client.Client]
    ) -> None:
        life, sequence = self.worker.life, 0
        while True:
            sequence += 1
            document = sound_messages.heartbeat(
                self.address,
                f"m-{self._number}",
                sequence,
                life.clock_ms(),
                sound_messages.SERVICE,
            )
            document["born"] = life.born_ms
            path = sound_messages.control_path("heartbeat", self.worker.name)
            for client in controls if not life.silent else ():
                body = json.dumps(document).encode()
                response = await client.call("POST", path, body, {}, 1.0)
                if isinstance(response, message.Response) and (
                    response.status == 200
                ):
                    break
            await trio.sleep(HEARTBEAT_SECONDS)
