"""Commands that send requests to services, as callers do."""

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

# How long the command waits beyond the deadline of the request, so that an
# answer that the instance sends at the deadline still arrives.
ANSWER_GRACE_SECONDS = 5.0
_EXIT_CODES = {
    "ran": commands.ExitCode.DONE,
    "not-run": commands.ExitCode.REFUSED,
}


class Requests:
    """Requests of callers, for testing a service."""

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
        """Send one request and print its outcome and answer.

        Another instance is tried only if the request was provably not sent.

        Args:
            service: Name of the service template.
            customer: Name of the customer.
            body: Body of the request.
            body_file: File that holds the body; replaces `body`.
            idempotent: `true` or `false`; the setting of the template if not
                given.
            deadline: Time that the caller waits, such as `10 s`.
            request_id: Idempotency key of the request; a resend must have the
                same one.
            zone: Zone whose instances prevent the request from running twice;
                it can then be served while that zone is partitioned from the
                others.
        """
        seconds = commands.parse_flag("--deadline", deadline, values.duration)
        headers = {
            "Turmerichall-Request-Id": request_id or request_ids.make(zone),
            "Turmerichall-Deadline-Ms": f"{seconds * 1000:g}",
        }
        if idempotent:
            flag = commands.parse_flag("--idempotent", idempotent, values.flag)
            headers["Turmerichall-Idempotent"] = "true" if flag else "false"
        commands.parse_flag("--customer", customer, values.name)
        commands.parse_flag("SERVICE", service, values.name)
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
    ) -> httpcore.Response | clients.Unreachable | clients.AnswerLost:
        outcome: httpcore.Response | clients.Unreachable | clients.AnswerLost
        outcome = clients.Unreachable("no instance was named: see --callers")
        for server in self._options.callers:
            outcome = clients.exchange(
                "POST",
                f"http://{server}{path}",
                headers,
                body,
                seconds + ANSWER_GRACE_SECONDS,
            )
            if not isinstance(outcome, clients.Unreachable):
                return outcome
        return outcome

    def _print(
        self,
        answer: httpcore.Response | clients.Unreachable | clients.AnswerLost,
        request_id: str,
    ) -> commands.ExitCode:
        result: dict[str, Any] = {"request_id": request_id}
        if not isinstance(answer, httpcore.Response):
            sent = isinstance(answer, clients.AnswerLost)
            result |= {
                "outcome": "unknown" if sent else "not-run",
                "detail": answer.detail,
            }
        else:
            headers = {
                n.lower(): v.decode("latin-1") for n, v in answer.headers
            }
            result |= {
                "outcome": headers.get(b"turmerichall-outcome", "unknown"),
                "status": answer.status,
                "answer": answer.content.decode("utf-8", "replace"),
            }
            if b"retry-after" in headers:
                result["retry_after"] = headers[b"retry-after"]
        if self._options.output_format == "json":
            output.print_json(result)
        else:
            output.print_fields(result)
        if not isinstance(answer, httpcore.Response):
            print(answer.detail, file=sys.stderr)
            return commands.ExitCode.UNKNOWN
        outcome = result["outcome"]
        return _EXIT_CODES.get(outcome, commands.ExitCode.UNKNOWN)
