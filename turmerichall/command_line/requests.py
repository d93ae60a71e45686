"""Commands that send requests as a caller does."""

import pathlib
import sys
from typing import Any

import httpcore

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.gateway import request_id as request_ids
from turmerichall.settings import values

__all__ = ["Requests"]

# Longer than the deadline, so that the instance's own answer arrives.
GRACE_SECONDS = 5.0
_EXIT_CODES = {
    "ran": commands.ExitCode.DONE,
    "not-run": commands.ExitCode.REFUSED,
}


class Requests:
    """Requests of callers, for trying a service."""

    def __init__(self, options: commands.Options):
        self._options = options

    def send(
        self,
        service: str,
        *,
        customer: str,
        body: str = "",
        body_file: str = "",
        idempotent: str = "",
        deadline: str = "10 s",
        request_id: str = "",
        zone: str = "",
    ) -> commands.Command:
        """Sends one request and prints its outcome and answer.

        The next instance is tried only if the request was provably not sent.

        Args:
            service: Name of the service template.
            customer: Name of the customer.
            body: Body of the request.
            body_file: File with the body.
            idempotent: `true` or `false`; as the template says if not given.
            deadline: How long the caller waits, such as `10 s`.
            request_id: Id of the request; a resend carries the same one.
            zone: Zone whose instances keep the request from running twice; it
                can then be served while that zone is cut off.
        """
        seconds = commands.value("--deadline", deadline, values.duration)
        headers = {
            "Turmerichall-Request-Id": request_id or request_ids.make(zone),
            "Turmerichall-Deadline-Ms": f"{seconds * 1000:g}",
        }
        if idempotent:
            flag = commands.value("--idempotent", idempotent, values.flag)
            headers["Turmerichall-Idempotent"] = "true" if flag else "false"
        commands.value("--customer", customer, values.name)
        commands.value("SERVICE", service, values.name)
        path = f"/v1/requests/{customer}/{service}"

        def run() -> commands.ExitCode:
            data = body.encode()
            if body_file:
                data = pathlib.Path(body_file).read_bytes()
            outcome = self._exchange(path, headers, data, seconds)
            return self._print(outcome, headers["Turmerichall-Request-Id"])

        return commands.Command(run)

    def _exchange(
        self, path: str, headers: dict[str, str], body: bytes, seconds: float
    ) -> httpcore.Response | clients.Unreachable | clients.Lost:
        outcome: httpcore.Response | clients.Unreachable | clients.Lost
        outcome = clients.Unreachable("no instance was named: see --callers")
        for server in self._options.callers:
            outcome = clients.exchange(
                "POST",
                f"http://{server}{path}",
                headers,
                body,
                seconds + GRACE_SECONDS,
            )
            if not isinstance(outcome, clients.Unreachable):
                return outcome
        return outcome

    def _print(
        self,
        answer: httpcore.Response | clients.Unreachable | clients.Lost,
        request_id: str,
    ) -> commands.ExitCode:
        shown: dict[str, Any] = {"request_id": request_id}
        if not isinstance(answer, httpcore.Response):
            sent = isinstance(answer, clients.Lost)
            shown |= {
                "outcome": "unknown" if sent else "not-run",
                "detail": answer.detail,
            }
        else:
            fields = {n.lower(): v.decode("latin-1") for n, v in answer.headers}
            shown |= {
                "outcome": fields.get(b"turmerichall-outcome", "unknown"),
                "status": answer.status,
                "answer": answer.content.decode("utf-8", "replace"),
            }
            if b"retry-after" in fields:
                shown["retry_after"] = fields[b"retry-after"]
        if self._options.form == "json":
            output.show_json(shown)
        else:
            output.show(shown)
        if not isinstance(answer, httpcore.Response):
            print(answer.detail, file=sys.stderr)
            return commands.ExitCode.UNKNOWN
        outcome = shown["outcome"]
        return _EXIT_CODES.get(outcome, commands.ExitCode.UNKNOWN)
