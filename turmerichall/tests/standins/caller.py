"""A caller that sends a load to several gateways and keeps a trail."""

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
    """What a caller sends.

    Attributes:
        customer: Name of the customer.
        service: Name of the service.
        gateways: `host:port` of the gateways, used in turn at random.
        requests_per_second: Rate at which requests are sent.
        non_idempotent_ratio: Share of requests that must run once at most.
        deadline_seconds: How long an answer is waited for.
        resends: How often a request without a final answer is sent again,
            with the same id, to another gateway.
    """

    customer: str
    service: str
    gateways: tuple[str, ...]
    requests_per_second: float = 20.0
    non_idempotent_ratio: float = 0.5
    deadline_seconds: float = 3.0
    resends: int = 1


class Answer(NamedTuple):
    """What came of one send.

    Attributes:
        outcome: `ran`, `not-run` or `unknown`; `unknown` without an answer.
        status: HTTP status, or 0 without an answer.
        right: Whether the answer belongs to the request.
        detail: The error without an answer, or the start of the body.
    """

    outcome: str
    status: int = 0
    right: bool = True
    detail: str = ""


class Caller:
    """Sends requests at a steady rate until told to stop.

    Attributes:
        name: Name of the caller.
        load: What it sends.
        record: The audit trail.
        outcome_counts: Count of final outcomes.
        ready_gateways: Gateways that the balancer sends to; all if it is empty.
        stopped: Whether it sends no more.
    """

    def __init__(
        self, name: str, load: Load, record: audit_trail.AuditTrail, seed: int
    ):
        self.name = name
        self.load = load
        self.record = record
        self.outcome_counts: dict[str, int] = {}
        self.ready_gateways: frozenset[str] = frozenset()
        self.stopped = False
        self._random = random.Random(seed)
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def run(self) -> None:
        """Sends until `stopped`, then waits for the last answers."""
        period = 1.0 / self.load.requests_per_second
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                nursery.start_soon(self.send_request)
                await trio.sleep(period)

    async def send_request(self) -> Answer:
        """Sends one request, and again while its fate is open."""
        request_id = request_ids.make()
        once = self._random.random() < self.load.non_idempotent_ratio
        gateways = sorted(self.ready_gateways or self.load.gateways)
        self._random.shuffle(gateways)
        answer = Answer(UNKNOWN)
        for gateway in itertools.islice(
            itertools.cycle(gateways), 1 + self.load.resends
        ):
            answer = await self._send(gateway, request_id, not once)
            if answer.outcome == RAN:
                break
        self.outcome_counts[answer.outcome] = (
            self.outcome_counts.get(answer.outcome, 0) + 1
        )
        return answer

    async def _send(
        self, gateway: str, request_id: str, idempotent: bool
    ) -> Answer:
        self.record.write(
            "sent",
            request=request_id,
            gateway=gateway,
            idempotent=idempotent,
        )
        answer = await self._exchange(gateway, request_id, idempotent)
        self.record.write(
            "answered",
            request=request_id,
            gateway=gateway,
            idempotent=idempotent,
            **answer._asdict(),
        )
        return answer

    async def _exchange(
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
    """Reads the outcome of an answer and whether it is the right one."""
    headers = {name.lower(): value for name, value in response.headers}
    outcome = headers.get(b"turmerichall-outcome", b"").decode() or UNKNOWN
    echoed = headers.get(b"turmerichall-request-id", b"").decode()
    right = echoed == request_id
    if outcome == RAN and response.status == 200:
        try:
            body = msgspec.json.decode(response.content)
            echo = (body["request_id"], body["echo"])
            right = right and echo == (request_id, request_id)
        except (msgspec.DecodeError, KeyError, TypeError):
            right = False
    detail = response.content[:200].decode(errors="replace")
    return Answer(outcome, response.status, right, detail)
