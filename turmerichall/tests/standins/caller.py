"""A caller that sends requests to several gateways and records the answers."""

import itertools
import random
from typing import NamedTuple

import httpcore
import msgspec
import trio

from turmerichall.gateway import request_id as request_ids
from turmerichall.tests.standins import audit_trail

__all__ = ["Answer", "Caller", "Load"]

RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Load(NamedTuple):
    """The requests that a caller sends.

    Attributes:
        customer: Name of the customer.
        service: Name of the service.
        gateways: `host:port` of the gateways; one is drawn at random for each
            request.
        requests_per_second: Rate at which requests are sent.
        non_idempotent_ratio: Fraction of requests that are marked as not
            idempotent, so that they must run at most once.
        deadline_seconds: Deadline of each request.
        resends: How often a request that is not known to have run is sent
            again, with the same id, to another gateway.
    """

    customer: str
    service: str
    gateways: tuple[str, ...]
    requests_per_second: float = 20.0
    non_idempotent_ratio: float = 0.5
    deadline_seconds: float = 3.0
    resends: int = 1


class Answer(NamedTuple):
    """Outcome of sending a request once.

    Attributes:
        outcome: `ran`, `not-run` or `unknown`.  Without an answer it is
            `not-run` if the connection failed and `unknown` otherwise.
        status: HTTP status, or 0 without an answer.
        right: Whether the answer belongs to the request.
        detail: Start of the body, or the error without an answer.
    """

    outcome: str
    status: int = 0
    right: bool = True
    detail: str = ""


class Caller:
    """Sends requests at a steady rate until it is stopped.

    Attributes:
        name: Name of the caller.
        load: The requests that it sends.
        audit_trail: Its audit trail.
        outcome_counts: Number of requests by final outcome.
        ready_gateways: Gateways that the load balancer sends to; if empty, all
            gateways are used.
        stopped: Whether it sends no further requests.
    """

    def __init__(
        self, name: str, load: Load, trail: audit_trail.AuditTrail, seed: int
    ):
        self.name = name
        self.load = load
        self.audit_trail = trail
        self.outcome_counts: dict[str, int] = {}
        self.ready_gateways: frozenset[str] = frozenset()
        self.stopped = False
        self._random = random.Random(seed)
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def run(self) -> None:
        """Send requests until `stopped`, then wait for pending answers."""
        period = 1.0 / self.load.requests_per_second
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                nursery.start_soon(self.send_request)
                await trio.sleep(period)

    async def send_request(self) -> Answer:
        """Send a request, and resend it until it is known to have run."""
        request_id = request_ids.make()
        non_idempotent = self._random.random() < self.load.non_idempotent_ratio
        gateways = sorted(self.ready_gateways or self.load.gateways)
        self._random.shuffle(gateways)
        answer = Answer(UNKNOWN)
        for gateway in itertools.islice(
            itertools.cycle(gateways), 1 + self.load.resends
        ):
            answer = await self._send(gateway, request_id, not non_idempotent)
            if answer.outcome == RAN:
                break
        self.outcome_counts[answer.outcome] = (
            self.outcome_counts.get(answer.outcome, 0) + 1
        )
        return answer

    async def _send(
        self, gateway: str, request_id: str, idempotent: bool
    ) -> Answer:
        self.audit_trail.write(
            "sent",
            request=request_id,
            gateway=gateway,
            idempotent=idempotent,
        )
        answer = await self._post(gateway, request_id, idempotent)
        self.audit_trail.write(
            "answered",
            request=request_id,
            gateway=gateway,
            idempotent=idempotent,
            **answer._asdict(),
        )
        return answer

    async def _post(
        self, gateway: str, request_id: str, idempotent: bool
    ) -> Answer:
        load = self.load
        headers = [
            ("Turmerichall-Request-Id", request_id),
            ("Turmerichall-Idempotent", "true" if idempotent else "false"),
            (
                "Turmerichall-Deadline-Ms",
                str(round(load.deadline_seconds * 1000)),
            ),
        ]
        timeouts = dict.fromkeys(
            ("connect", "read", "write", "pool"), load.deadline_seconds + 1.0
        )
        try:
            response = await self._pool.request(
                "POST",
                f"http://{gateway}/v1/requests/{load.customer}/{load.service}",
                headers=headers,
                content=request_id.encode(),
                extensions={"timeout": timeouts},
            )
        except httpcore.ConnectError as error:
            return Answer(NOT_RUN, detail=f"connect: {error}")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            return Answer(UNKNOWN, detail=type(error).__name__)
        return parse_response(request_id, response)


def parse_response(request_id: str, response: httpcore.Response) -> Answer:
    """Return the outcome of a response and whether it fits the request."""
    headers = {name.lower(): value for name, value in response.headers}
    outcome = headers.get(b"turmerichall-outcome", b"").decode() or UNKNOWN
    echoed_id = headers.get(b"turmerichall-request-id", b"").decode()
    right = echoed_id == request_id
    if outcome == RAN and response.status == 200:
        try:
            body = msgspec.json.decode(response.content)
            echoed = (body["request_id"], body["echo"])
            right = right and echoed == (request_id, request_id)
        except (msgspec.DecodeError, KeyError, TypeError):
            right = False
    detail = response.content[:200].decode(errors="replace")
    return Answer(outcome, response.status, right, detail)
