"""The HTTP application of a stand-in worker."""

import hmac
from typing import Any

import msgspec
import trio

from turmerichall import documents
from turmerichall import errors
from turmerichall.backend_servers import announcement
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import faults
from turmerichall.tests.standins import task_runner

__all__ = ["Application", "MAX_BODY_BYTES"]

MAX_BODY_BYTES = 1 << 20
REQUEST_ID_HEADER = b"turmerichall-request-id"
IDEMPOTENT_HEADER = b"turmerichall-idempotent"
NOT_RUN_HEADER = (b"turmerichall-not-run", b"true")


class Application:
    """Takes task commands, requests of services and faults (ASGI).

    Attributes:
        name: Name of the worker.
        key: Key that commands must carry.
        slots: Requests that run at once.
        held: Its attempts.
        record: The audit trail.
        faults: Faults that are on.
        running: Ids of requests that are not answered yet.
        working: Those of them that fill a slot, until their answer is sent.
        leaving: Whether no new request is taken.
        changed: Set when an announcement is due.
    """

    def __init__(
        self,
        name: str,
        key: str,
        slots: int,
        held: task_runner.TaskRunner,
        record: audit_trail.AuditTrail,
    ):
        self.name = name
        self.key = key
        self.slots = slots
        self.held = held
        self.record = record
        self.faults = faults.Faults()
        self.running: set[str] = set()
        self.working: set[str] = set()
        self.leaving = False
        self.changed = trio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        headers = dict(scope["headers"])
        path = scope["path"]
        if scope["method"] == "POST" and path.startswith("/v1/services/"):
            await self._serve(path, headers, body, send)
        elif scope["method"] == "GET" and path.startswith("/v1/requests/"):
            running = path.removeprefix("/v1/requests/") in self.running
            await _answer(send, 200 if running else 404, b"{}")
        elif scope["method"] == "POST" and path == "/v1/tasks":
            await self._tasks(headers, body, send)
        elif scope["method"] == "POST" and path == "/v1/faults":
            await self._switch_faults(headers, body, send)
        else:
            await _answer(send, 404, b"{}")

    def set_faults(self, wanted: faults.Faults) -> None:
        """Switches faults."""
        self.faults = wanted
        self.held.fail_starts = wanted.fail_starts
        self.held.behaviours = {
            told.template: told for told in wanted.templates
        }

    def _authorized(self, headers: dict[bytes, bytes]) -> bool:
        given = headers.get(b"authorization", b"")
        return hmac.compare_digest(given, b"Bearer " + self.key.encode())

    async def _tasks(
        self, headers: dict[bytes, bytes], body: bytes, send: Any
    ) -> None:
        if not self._authorized(headers):
            await _answer(send, 401, b"{}")
            return
        try:
            commands = documents.decode(body, list[announcement.Command])
        except errors.InputError as error:
            found = msgspec.json.encode({"detail": str(error)})
            await _answer(send, 400, found)
            return
        now = trio.current_time()
        answers = [self.held.take(command, now) for command in commands]
        self.changed.set()
        await _answer(send, 200, documents.encode(answers))

    async def _switch_faults(
        self, headers: dict[bytes, bytes], body: bytes, send: Any
    ) -> None:
        if not self._authorized(headers):
            await _answer(send, 401, b"{}")
            return
        self.set_faults(documents.decode(body, faults.Faults))
        await _answer(send, 200, b"{}")

    async def _serve(
        self, path: str, headers: dict[bytes, bytes], body: bytes, send: Any
    ) -> None:
        customer, _, service = path.removeprefix("/v1/services/").partition("/")
        request_id = headers.get(REQUEST_ID_HEADER, b"").decode()
        refused_for = self._refused_for(customer, service)
        if refused_for:
            self.record.write(
                "request_refused", request=request_id, detail=refused_for
            )
            found = msgspec.json.encode({"detail": refused_for})
            echoed = (REQUEST_ID_HEADER, request_id.encode())
            await _answer(send, 503, found, (NOT_RUN_HEADER, echoed))
            return
        self.running.add(request_id)
        self.working.add(request_id)
        self.record.write(
            "request_start",
            request=request_id,
            customer=customer,
            service=service,
            idempotent=headers.get(IDEMPOTENT_HEADER, b"").decode(),
        )
        try:
            await self._run(request_id, body, send)
        finally:
            self.running.discard(request_id)
            self.working.discard(request_id)
            self.record.write("request_end", request=request_id)

    def _refused_for(self, customer: str, service: str) -> str:
        if self.leaving:
            return "the worker is leaving"
        if not self.held.serves(customer, service, trio.current_time()):
            return "the service does not run here"
        if len(self.working) >= self.slots:
            return "all slots are taken"
        return ""

    async def _run(self, request_id: str, body: bytes, send: Any) -> None:
        shown = self.faults
        await trio.sleep(shown.slow_seconds)
        if shown.silent:
            await trio.sleep_forever()
        self.working.discard(request_id)
        if shown.error:
            headers = ((REQUEST_ID_HEADER, request_id.encode()),)
            await _answer(send, 500, b"{}", headers)
            return
        answered_id = "wrong-id" if shown.wrong_request_id else request_id
        answer = msgspec.json.encode(
            {
                "request_id": answered_id,
                "server": self.name,
                "echo": body.decode(errors="replace"),
            }
        )
        headers = ((REQUEST_ID_HEADER, answered_id.encode()),)
        await _answer(send, 200, answer, headers, truncate=shown.truncate)


async def _lifespan(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Any) -> bytes | None:
    body = bytearray()
    while len(body) <= MAX_BODY_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)
    return None


async def _answer(
    send: Any,
    status: int,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    truncate: bool = False,
) -> None:
    fixed = (
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*fixed, *headers],
        }
    )
    sent = body[: len(body) // 2] if truncate else body
    await send(
        {"type": "http.response.body", "body": sent, "more_body": truncate}
    )
    if truncate:
        raise ConnectionAbortedError("truncated on purpose")
