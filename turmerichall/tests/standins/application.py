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
    """ASGI application that accepts task commands, service requests and faults.

    Attributes:
        name: Name of the worker.
        key: Key with which commands and faults must be authorized.
        slots: Number of requests that it runs concurrently.
        runner: The task attempts of the worker.
        audit_trail: Audit trail of the worker.
        faults: The faults that are active.
        pending_requests: Ids of requests whose answer is not complete.
        running_requests: Ids of the pending requests that occupy a slot; the
            slot is freed just before the answer is sent.
        leaving: Whether the worker is leaving, so that it refuses requests.
        announcement_due: Event that is set when an announcement is due.
    """

    def __init__(
        self,
        name: str,
        key: str,
        slots: int,
        runner: task_runner.TaskRunner,
        trail: audit_trail.AuditTrail,
    ):
        self.name = name
        self.key = key
        self.slots = slots
        self.runner = runner
        self.audit_trail = trail
        self.faults = faults.Faults()
        self.pending_requests: set[str] = set()
        self.running_requests: set[str] = set()
        self.leaving = False
        self.announcement_due = trio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        headers = dict(scope["headers"])
        path = scope["path"]
        if scope["method"] == "POST" and path.startswith("/v1/services/"):
            await self._handle_request(path, headers, body, send)
        elif scope["method"] == "GET" and path.startswith("/v1/requests/"):
            pending = (
                path.removeprefix("/v1/requests/") in self.pending_requests
            )
            await _send_response(send, 200 if pending else 404, b"{}")
        elif scope["method"] == "POST" and path == "/v1/tasks":
            await self._handle_commands(headers, body, send)
        elif scope["method"] == "POST" and path == "/v1/faults":
            await self._handle_faults(headers, body, send)
        else:
            await _send_response(send, 404, b"{}")

    def set_faults(self, new_faults: faults.Faults) -> None:
        """Replace the active faults."""
        self.faults = new_faults
        self.runner.fail_starts = new_faults.fail_starts
        self.runner.behaviours = {
            behaviour.template: behaviour for behaviour in new_faults.templates
        }

    def _authorized(self, headers: dict[bytes, bytes]) -> bool:
        value = headers.get(b"authorization", b"")
        return hmac.compare_digest(value, b"Bearer " + self.key.encode())

    async def _handle_commands(
        self, headers: dict[bytes, bytes], body: bytes, send: Any
    ) -> None:
        if not self._authorized(headers):
            await _send_response(send, 401, b"{}")
            return
        try:
            commands = documents.decode(body, list[announcement.Command])
        except errors.InputError as error:
            content = msgspec.json.encode({"detail": str(error)})
            await _send_response(send, 400, content)
            return
        now = trio.current_time()
        results = [self.runner.execute(command, now) for command in commands]
        self.announcement_due.set()
        await _send_response(send, 200, documents.encode(results))

    async def _handle_faults(
        self, headers: dict[bytes, bytes], body: bytes, send: Any
    ) -> None:
        if not self._authorized(headers):
            await _send_response(send, 401, b"{}")
            return
        self.set_faults(documents.decode(body, faults.Faults))
        await _send_response(send, 200, b"{}")

    async def _handle_request(
        self, path: str, headers: dict[bytes, bytes], body: bytes, send: Any
    ) -> None:
        customer, _, service = path.removeprefix("/v1/services/").partition("/")
        request_id = headers.get(REQUEST_ID_HEADER, b"").decode()
        reason = self._refusal_reason(customer, service)
        if reason:
            self.audit_trail.write(
                "request_refused", request=request_id, detail=reason
            )
            content = msgspec.json.encode({"detail": reason})
            echoed_id = (REQUEST_ID_HEADER, request_id.encode())
            await _send_response(
                send, 503, content, (NOT_RUN_HEADER, echoed_id)
            )
            return
        self.pending_requests.add(request_id)
        self.running_requests.add(request_id)
        self.audit_trail.write(
            "request_start",
            request=request_id,
            customer=customer,
            service=service,
            idempotent=headers.get(IDEMPOTENT_HEADER, b"").decode(),
        )
        try:
            await self._run_request(request_id, body, send)
        finally:
            self.pending_requests.discard(request_id)
            self.running_requests.discard(request_id)
            self.audit_trail.write("request_end", request=request_id)

    def _refusal_reason(self, customer: str, service: str) -> str:
        if self.leaving:
            return "the worker is leaving"
        if not self.runner.serves(customer, service, trio.current_time()):
            return "the service does not run on this worker"
        if len(self.running_requests) >= self.slots:
            return "all slots are in use"
        return ""

    async def _run_request(
        self, request_id: str, body: bytes, send: Any
    ) -> None:
        active_faults = self.faults
        await trio.sleep(active_faults.slow_seconds)
        if active_faults.silent:
            await trio.sleep_forever()
        self.running_requests.discard(request_id)
        if active_faults.error:
            headers = ((REQUEST_ID_HEADER, request_id.encode()),)
            await _send_response(send, 500, b"{}", headers)
            return
        response_id = (
            "wrong-id" if active_faults.wrong_request_id else request_id
        )
        content = msgspec.json.encode(
            {
                "request_id": response_id,
                "server": self.name,
                "echo": body.decode(errors="replace"),
            }
        )
        headers = ((REQUEST_ID_HEADER, response_id.encode()),)
        await _send_response(
            send, 200, content, headers, truncate=active_faults.truncate
        )


async def _handle_lifespan(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Any) -> bytes | None:
    """Return the body; None if it is too large or the client disconnects."""
    body = bytearray()
    while len(body) <= MAX_BODY_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)
    return None


async def _send_response(
    send: Any,
    status: int,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    truncate: bool = False,
) -> None:
    common_headers = (
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*common_headers, *headers],
        }
    )
    content = body[: len(body) // 2] if truncate else body
    await send(
        {"type": "http.response.body", "body": content, "more_body": truncate}
    )
    if truncate:
        raise ConnectionAbortedError("response truncated by fault injection")
