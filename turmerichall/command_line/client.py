"""HTTP client of the commands.

Instances are tried in order.  Every attempt of a change carries the same
operation id, so that a resend after a lost answer is never applied twice.
"""

import time
from typing import Any, NamedTuple, TypeGuard

import httpcore
import msgspec

from turmerichall import documents
from turmerichall.command_line import commands

__all__ = ["Answer", "AnswerLost", "Client", "Unreachable"]

CONNECT_TIMEOUT_SECONDS = 2.0
# Maximum number of times that all instances are tried.  With the pauses between
# the rounds, they take long enough for the election of another leader.
MAX_ROUNDS = 10
ROUND_PAUSE_SECONDS = 0.5
# Maximum number of rounds while no instance could be reached; waiting for an
# election does not help then.
MAX_UNREACHABLE_ROUNDS = 2
# HTTP statuses after which another instance is tried: no quorum, or an unknown
# outcome.
_RETRYABLE_STATUSES = (502, 503, 504)
_DONE_STATUS = 200
_UNKNOWN_OUTCOME_STATUS = 504
# Precedence of the outcome of an attempt that may have been carried out.
_MAY_HAVE_RUN = 2


class Answer(NamedTuple):
    """Answer of an instance.

    Attributes:
        status: HTTP status.
        document: The decoded body.
        server: Address of the instance that answered, `host:port`.
    """

    status: int
    document: dict[str, Any]
    server: str


class Unreachable(NamedTuple):
    """No instance could be reached; the request was provably not sent."""

    detail: str


class AnswerLost(NamedTuple):
    """The request was sent, but its answer was lost; it may have been run."""

    detail: str


Outcome = Answer | Unreachable | AnswerLost


class Client:
    """Sends the requests of commands to the first instance that answers.

    Attributes:
        options: Options of the command, such as the addresses of instances.
    """

    def __init__(self, options: commands.Options):
        self.options = options

    def read(self, path: str, fresh: str = "prefer") -> Outcome:
        """Read a document.

        Args:
            path: Path of the document.
            fresh: How recent the document must be; `prefer` accepts a stale
                document if no quorum answers.
        """
        separator = "&" if "?" in path else "?"
        return self._send("GET", f"{path}{separator}fresh={fresh}", b"")

    def change(self, method: str, path: str, document: Any = None) -> Outcome:
        """Request a change and return its outcome."""
        body = b"" if document is None else documents.encode(document)
        return self._send(method, path, body)

    def _send(self, method: str, target: str, body: bytes) -> Outcome:
        outcomes: list[Outcome] = [
            Unreachable(
                "no instance was named; give --server or $TURMERICHALL_SERVERS"
            )
        ]
        for round_number in range(MAX_ROUNDS):
            if round_number:
                time.sleep(ROUND_PAUSE_SECONDS)
            for server in self.options.servers:
                outcome = self._send_once(server, method, target, body)
                if _is_final(outcome):
                    return _combined(method, outcomes, outcome)
                outcomes.append(outcome)
            if round_number + 1 >= MAX_UNREACHABLE_ROUNDS and not any(
                map(_precedence, outcomes)
            ):
                break
        return _decisive(outcomes)

    def _send_once(
        self, server: str, method: str, target: str, body: bytes
    ) -> Outcome:
        headers = {
            "Authorization": f"Bearer {self.options.key}",
            "Content-Type": "application/json",
            "Turmerichall-Operation-Id": self.options.operation_id,
            "Turmerichall-Operator": self.options.operator,
        }
        outcome = exchange(
            method,
            f"http://{server}{target}",
            headers,
            body,
            self.options.timeout_seconds,
        )
        if not isinstance(outcome, httpcore.Response):
            return outcome
        try:
            document = msgspec.json.decode(outcome.content, type=dict)
        except msgspec.DecodeError:
            return AnswerLost(f"{server} did not answer with a document")
        return Answer(outcome.status, document, server)


def exchange(
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes,
    timeout_seconds: float,
) -> httpcore.Response | Unreachable | AnswerLost:
    """Send one request and read the complete response.

    Args:
        method: HTTP method.
        url: URL of the request.
        headers: Header fields.
        body: The body.
        timeout_seconds: Time within which each read or write must succeed.

    Returns:
        The response; `Unreachable` if the request was provably not sent, and
        `AnswerLost` if it may have been run.
    """
    timeout = {
        "connect": CONNECT_TIMEOUT_SECONDS,
        "read": timeout_seconds,
        "write": timeout_seconds,
        "pool": timeout_seconds,
    }
    try:
        return httpcore.request(
            method,
            url,
            headers=list(headers.items()),
            content=body,
            extensions={"timeout": timeout},
        )
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        return Unreachable(f"{url}: {error or 'no connection'}")
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as error:
        return AnswerLost(f"{url}: {type(error).__name__} {error}".strip())


def _is_final(outcome: Outcome) -> TypeGuard[Answer]:
    return (
        isinstance(outcome, Answer)
        and outcome.status not in _RETRYABLE_STATUSES
    )


def _combined(method: str, earlier: list[Outcome], last: Answer) -> Outcome:
    """Return the outcome of a request whose last attempt had a final answer.

    If an earlier attempt of a change may have been carried out, a refusal is
    conclusive only if it is recorded with the operation id: an instance can
    refuse a request without knowing what became of another one.

    Args:
        method: HTTP method of the request.
        earlier: Outcomes of the earlier attempts.
        last: The answer to the last attempt.
    """
    decisive = _decisive(earlier)
    if (
        method == "GET"
        or last.status == _DONE_STATUS
        or last.document.get("recorded") is True
        or _precedence(decisive) < _MAY_HAVE_RUN
    ):
        return last
    before = (
        decisive.document.get("detail", "")
        if isinstance(decisive, Answer)
        else decisive.detail
    )
    reason = last.document.get("error", last.status)
    return AnswerLost(
        f"{before}; then {last.server} refused the resent request ({reason}):"
        f" {last.document.get('detail')}"
    )


def _decisive(outcomes: list[Outcome]) -> Outcome:
    """Return the outcome of several attempts that is reported."""
    decisive: Outcome = max(reversed(outcomes), key=_precedence)
    return decisive


def _precedence(outcome: Outcome) -> int:
    """Return the rank of an outcome among those of several attempts.

    The outcome with the highest rank is reported to the operator.
    """
    if isinstance(outcome, Unreachable):
        return 0
    if (
        isinstance(outcome, AnswerLost)
        or outcome.status == _UNKNOWN_OUTCOME_STATUS
    ):
        # This attempt may have been carried out, so a refusal of another
        # attempt must not be reported instead.
        return _MAY_HAVE_RUN
    return 1
