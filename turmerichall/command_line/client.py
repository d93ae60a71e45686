"""HTTP client of the commands.

Instances are tried in order.  A change carries one operation id on every try,
so that a resend after a lost answer is the same change and never a second.
"""

import time
from typing import Any, NamedTuple

import httpcore
import msgspec

from turmerichall import documents
from turmerichall.command_line import commands

__all__ = ["Answer", "Client", "Lost", "Unreachable"]

CONNECT_TIMEOUT_SECONDS = 2.0
# Long enough for an election of another leader.
ROUNDS = 10
PAUSE_SECONDS = 0.5
# Instances that all refuse connections are not coming back in an election.
UNREACHABLE_ROUNDS = 2
# Another instance may do better: no quorum here, or not known what happened.
_TRY_NEXT = (502, 503, 504)
_UNKNOWN_STATUS = 504


class Answer(NamedTuple):
    """What an instance answered.

    Attributes:
        status: HTTP status.
        document: The decoded body.
        server: Which instance answered, as `host:port`.
    """

    status: int
    document: dict[str, Any]
    server: str


class Unreachable(NamedTuple):
    """No instance took the request; it was provably not sent."""

    detail: str


class Lost(NamedTuple):
    """The request was sent and its answer lost; it may have been run."""

    detail: str


Outcome = Answer | Unreachable | Lost


class Client:
    """Talks to the operators' interface of the first instance that answers.

    Attributes:
        options: Addresses, key and operation id.
    """

    def __init__(self, options: commands.Options):
        self.options = options

    def read(self, path: str, fresh: str = "prefer") -> Outcome:
        """Reads a document, as fresh as can be had."""
        joint = "&" if "?" in path else "?"
        return self._send("GET", f"{path}{joint}fresh={fresh}", b"")

    def change(self, method: str, path: str, document: Any = None) -> Outcome:
        """Asks for a change and awaits its result."""
        body = b"" if document is None else documents.encode(document)
        return self._send(method, path, body)

    def _send(self, method: str, target: str, body: bytes) -> Outcome:
        seen: list[Outcome] = [
            Unreachable(
                "no instance was named; give --server or $TURMERICHALL_SERVERS"
            )
        ]
        for number in range(ROUNDS):
            if number:
                time.sleep(PAUSE_SECONDS)
            for server in self.options.servers:
                outcome = self._send_once(server, method, target, body)
                if _is_final(outcome):
                    return outcome
                seen.append(outcome)
            if number + 1 >= UNREACHABLE_ROUNDS and not any(map(_weight, seen)):
                break
        weightiest: Outcome = max(reversed(seen), key=_weight)
        return weightiest

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
            return Lost(f"{server} did not answer with a document")
        return Answer(outcome.status, document, server)


def exchange(
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes,
    timeout_seconds: float,
) -> httpcore.Response | Unreachable | Lost:
    """Sends one request and reads the whole response.

    Args:
        method: HTTP method.
        url: Where to send it.
        headers: Header fields.
        body: The body.
        timeout_seconds: How long the response may be silent.

    Returns:
        The response; `Unreachable` if the request was provably not sent, and
        `Lost` if it may have been run.
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
        return Lost(f"{url}: {type(error).__name__} {error}".strip())


def _is_final(outcome: Outcome) -> bool:
    return isinstance(outcome, Answer) and outcome.status not in _TRY_NEXT


def _weight(outcome: Outcome) -> int:
    """Tells which of several outcomes stands for the whole command."""
    if isinstance(outcome, Unreachable):
        return 0
    if isinstance(outcome, Lost) or outcome.status == _UNKNOWN_STATUS:
        # What may have been run is never reported as refused.
        return 2
    return 1
